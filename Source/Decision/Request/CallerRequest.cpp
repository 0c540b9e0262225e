#include "Decision/Request/CallerRequest.h"

#include "Base/NameTable.h"

#include <sodium.h>

namespace Plantainpier {

namespace {

    constexpr std::size_t maximumNameBytes = 256;
    constexpr std::int64_t maximumDeadlineMilliseconds = 600'000;

    constexpr std::array outcomeTable {
        NamedValue { Wire::Outcome::Done, "done" },
        NamedValue { Wire::Outcome::NotRun, "not_run" },
        NamedValue { Wire::Outcome::Unknown, "unknown" },
        NamedValue { Wire::Outcome::Running, "running" },
    };

    std::string toBase64(const std::string& bytes)
    {
        constexpr int variant = sodium_base64_VARIANT_ORIGINAL;
        std::string text(sodium_base64_encoded_len(bytes.size(), variant), '\0');
        sodium_bin2base64(
            text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), variant);
        text.pop_back();
        return text;
    }

    /// Adds the body to the JSON answer: as a string if it is valid UTF-8, otherwise as base64.
    std::string serializeWithBody(Json json, const std::string& body)
    {
        json["answer"] = body;
        try {
            return json.dump();
        } catch (const Json::type_error&) {
            json.erase("answer");
            json["answer_base64"] = toBase64(body);
            return json.dump();
        }
    }

} // namespace

std::string_view name(Wire::Outcome::type outcome) { return nameIn(outcomeTable, outcome); }

Result<CallerRequest> parseCallerRequest(const std::string& text)
{
    const Result<Json> parsed = parseJsonObject(text);
    if (!isOk(parsed))
        return errorOf(parsed);
    JsonReader reader(valueOf(parsed), "");
    CallerRequest request;
    request.key = reader.optionalString("key", maximumNameBytes, "");
    request.caller = reader.requiredString("caller", maximumNameBytes);
    request.className = reader.requiredString("class", maximumNameBytes);
    request.idempotent = reader.requiredBool("idempotent");
    request.resend = reader.optionalBool("resend", false);
    request.deadline = milliseconds(reader.requiredInteger("deadline_ms", 1, maximumDeadlineMilliseconds));
    request.body = reader.optionalString("body", maximumBodyBytes, "");
    reader.rejectUnknownFields();
    if (!request.idempotent && request.key.empty())
        reader.addError(ErrorCode::MissingField, "key", "is required when idempotent is false");
    if (!reader.errors().empty())
        return joinErrors(reader.errors());
    return request;
}

std::string encodeCallerAnswer(const CallerAnswer& answer)
{
    Json json { { "outcome", name(answer.outcome) }, { "request", answer.requestId },
        { "bundle", answer.bundleVersion } };
    if (answer.outcome == Wire::Outcome::Done) {
        json["side"] = answer.sideId;
        json["status"] = answer.status;
        return serializeWithBody(std::move(json), answer.body);
    }
    json["code"] = static_cast<int>(answer.code);
    json["reason"] = name(answer.code);
    json["text"] = errorCodeRow(answer.code).meaning;
    if (answer.retryAfter > Duration::zero())
        json["retry_after_ms"] = toMilliseconds(answer.retryAfter);
    return json.dump();
}

} // namespace Plantainpier
