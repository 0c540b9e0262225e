/// Reads the records of owners and their signs of life. Another writer may have appended to the same topics: what names
/// no process to dial is an error, which readers log and pass over. Used by entries and sides.
#pragma once

#include "Base/Result.h"
#include "Decision/Process/Message.h"

namespace Plantainpier {

namespace OwnerRecords {
    constexpr const char* claimKey = "owner";
    constexpr const char* pulseKey = "pulse";
} // namespace OwnerRecords

Result<Wire::OwnerClaim> decodeClaim(const StoreRecord& record);
Result<Wire::OwnerPulse> decodePulse(const StoreRecord& record);

/// The log line of a record that was passed over.
WriteLog passedOver(const char* event, const StoreRecord& record, const Error& error);

} // namespace Plantainpier
