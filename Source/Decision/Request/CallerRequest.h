/// A latency-critical request as a caller sends it, and the answer as the caller gets it.
#pragma once

#include "Base/Json.h"
#include "Base/Time.h"
#include "Wire/Generated/plantainpier_types.h"

#include <string>

namespace Plantainpier {

/// Largest body of a caller's request, and largest answer of a target.
constexpr std::size_t maximumBodyBytes = 1U << 20;

/// The fields of POST /v1/requests.
struct CallerRequest {
    /// Names the request for resends and later questions; required when it is not idempotent.
    std::string key;
    std::string caller;
    std::string className;
    bool idempotent = false;
    /// The caller sent this request before and does not know what became of it.
    bool resend = false;
    Duration deadline {};
    std::string body;
};

/// Checks and reads a request body; every fault is named with its JSON path.
Result<CallerRequest> parseCallerRequest(const std::string& text);

/// The final answer to a caller.
struct CallerAnswer {
    Wire::Outcome::type outcome = Wire::Outcome::Unknown;
    ErrorCode code = ErrorCode::Ok;
    std::string requestId;
    std::string sideId;
    /// HTTP status and body of the target; only when done.
    int status = 0;
    std::string body;
    Duration retryAfter {};
    std::int64_t bundleVersion = 0;
};

/// The name of an outcome as callers and logs see it.
std::string_view name(Wire::Outcome::type outcome);

/// The JSON body of an answer. A target's body that is not UTF-8 goes as base64 under another name.
std::string encodeCallerAnswer(const CallerAnswer& answer);

} // namespace Plantainpier
