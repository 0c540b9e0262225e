#include "Decision/Process/OwnerRecords.h"

#include "Base/LogLine.h"
#include "Wire/Codec.h"

namespace Plantainpier {

Result<Wire::OwnerClaim> decodeClaim(const StoreRecord& record)
{
    constexpr int maximumPort = 65'535;
    if (record.key != OwnerRecords::claimKey)
        return Error { ErrorCode::InvalidField, "the key is not that of a claim" };
    std::optional<Wire::OwnerClaim> claim = Wire::decode<Wire::OwnerClaim>(record.value);
    if (!claim)
        return Error { ErrorCode::MalformedBody, "the value is no claim" };
    if (claim->nodeId.empty() || claim->address.empty())
        return Error { ErrorCode::MissingField, "the claim names no process" };
    if (claim->port < 1 || claim->port > maximumPort)
        return Error { ErrorCode::InvalidField, "port " + std::to_string(claim->port) + " is out of range" };
    return std::move(*claim);
}

Result<Wire::OwnerPulse> decodePulse(const StoreRecord& record)
{
    if (record.key != OwnerRecords::pulseKey)
        return Error { ErrorCode::InvalidField, "the key is not that of a sign of life" };
    std::optional<Wire::OwnerPulse> pulse = Wire::decode<Wire::OwnerPulse>(record.value);
    if (!pulse)
        return Error { ErrorCode::MalformedBody, "the value is no sign of life" };
    return std::move(*pulse);
}

WriteLog passedOver(const char* event, const StoreRecord& record, const Error& error)
{
    return WriteLog {
        LogLine(event).add("key", record.key).add("offset", record.offset).add("why", error.message).text()
    };
}

} // namespace Plantainpier
