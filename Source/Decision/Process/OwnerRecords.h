/// Decodes owner claims and owner pulses from the store. Another writer may have appended to the same topics, so a
/// record that does not decode, or a claim without an address to connect to, is an error that readers log and skip.
/// Used by entries and sides.
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

/// The log line for a skipped record.
WriteLog skippedRecordLog(const char* event, const StoreRecord& record, const Error& error);

} // namespace Plantainpier
