/// The JSON form of a latency-critical request and of its answer, as exchanged with callers over HTTP.
#pragma once

#include "Base/Json.h"
#include "Base/Time.h"
#include "Wire/Generated/plantainpier_types.h"

#include <string>

namespace Plantainpier {

/// Maximum size of a caller's request body and of a target's answer.
constexpr std::size_t maximumBodyBytes = 1U << 20;

/// The fields of POST /v1/requests.
struct CallerRequest {
    /// Identifies the request when it is resent or queried later. Required for non-idempotent requests.
    std::string key;
    std::string caller;
    std::string className;
    bool idempotent = false;
    /// The caller has sent this request before and did not receive its outcome.
    bool resend = false;
    Duration deadline {};
    std::string body;
};

/// Parses and validates a request body; the error lists every invalid field with its JSON path.
Result<CallerRequest> parseCallerRequest(const std::string& text);

/// The final answer to a caller.
struct CallerAnswer {
    Wire::Outcome::type outcome = Wire::Outcome::Unknown;
    ErrorCode code = ErrorCode::Ok;
    std::string requestId;
    std::string sideId;
    /// HTTP status and body of the target's answer; set only if the outcome is Done.
    int status = 0;
    std::string body;
    Duration retryAfter {};
    std::int64_t bundleVersion = 0;
};

/// The name of an outcome in answers and logs.
std::string_view name(Wire::Outcome::type outcome);

/// The JSON body of an answer. A target's body is in field "answer", or as base64 in "answer_base64" if it is not
/// valid UTF-8.
std::string encodeCallerAnswer(const CallerAnswer& answer);

} // namespace Plantainpier
