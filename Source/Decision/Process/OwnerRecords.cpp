#include "Decision/Process/OwnerRecords.h"

#include "Base/LogLine.h"
#include "Wire/Codec.h"

namespace Plantainpier {

Result<Wire::OwnerClaim> decodeClaim(const StoreRecord& record)
{
    constexpr int maximumPort = 65'535;
    if (record.key != OwnerRecords::claimKey)
        return Error { ErrorCode::InvalidField, "the record key is not that of an owner claim" };
    std::optional<Wire::OwnerClaim> claim = Wire::decode<Wire::OwnerClaim>(record.value);
    if (!claim)
        return Error { ErrorCode::MalformedBody, "the record value is not an owner claim" };
    if (claim->nodeId.empty() || claim->address.empty())
        return Error { ErrorCode::MissingField, "the owner claim lacks the node id or the address" };
    if (claim->port < 1 || claim->port > maximumPort)
        return Error { ErrorCode::InvalidField, "port " + std::to_string(claim->port) + " is out of range" };
    return std::move(*claim);
}

Result<Wire::OwnerPulse> decodePulse(const StoreRecord& record)
{
    if (record.key != OwnerRecords::pulseKey)
        return Error { ErrorCode::InvalidField, "the record key is not that of an owner pulse" };
    std::optional<Wire::OwnerPulse> pulse = Wire::decode<Wire::OwnerPulse>(record.value);
    if (!pulse)
        return Error { ErrorCode::MalformedBody, "the record value is not an owner pulse" };
    return std::move(*pulse);
}

WriteLog skippedRecordLog(const char* event, const StoreRecord& record, const Error& error)
{
    return WriteLog {
        LogLine(event).add("key", record.key).add("offset", record.offset).add("why", error.message).text()
    };
}

} // namespace Plantainpier
