/// The numbered error codes of all programs. A test compares docs/ERRORS.md with this table.
#pragma once

#include <array>
#include <string_view>

namespace Plantainpier {

/// Error codes. The hundreds digit is the area. A number is not reused for another meaning.
enum class ErrorCode {
    Ok = 0,
    // 1xx: errors in the caller's request.
    MalformedBody = 101,
    UnknownField = 102,
    MissingField = 103,
    InvalidField = 104,
    BodyTooLarge = 105,
    UnknownResource = 106,
    WrongMethod = 107,
    KeyReused = 108,
    // 2xx: why a request did not run, or why its outcome is unknown.
    NoBundle = 201,
    NoTarget = 202,
    ShareExhausted = 203,
    DeadlineTooShort = 204,
    Leaving = 205,
    Fenced = 206,
    TargetUnreachable = 207,
    RetryBudgetSpent = 208,
    StaleIncarnation = 209,
    NotAdmitted = 210,
    OutcomeUnknown = 211,
    KeyContested = 212,
    WitnessUnreachable = 213,
    KeyUnknown = 214,
    Overloaded = 215,
    // 3xx: batch jobs.
    LogUnavailable = 301,
    JobNeverFits = 302,
    JobUnknown = 303,
    QuotaExceeded = 304,
    HostFull = 305,
    StaleTerm = 306,
    // 4xx: bundles and keys.
    BundleInvalid = 401,
    SignatureInvalid = 402,
    SignerUnknown = 403,
    VersionNotNewer = 404,
    KeyFileInvalid = 405,
    KeyFileUnsafe = 406,
    RollOutLost = 407,
    RollOutIncomplete = 408,
    // 5xx: processes and their environment.
    SettingsInvalid = 501,
    AddressInUse = 502,
    Unreachable = 503,
    Timeout = 504,
    ProtocolViolation = 505,
    Internal = 599,
};

/// One row of the table: code, name, HTTP status of answers with this code, and meaning.
struct ErrorCodeRow {
    ErrorCode code;
    std::string_view name;
    int httpStatus;
    std::string_view meaning;
};

constexpr std::array errorCodeTable {
    ErrorCodeRow { ErrorCode::Ok, "ok", 200, "Success." },
    ErrorCodeRow { ErrorCode::MalformedBody, "malformed_body", 400, "The body is not one JSON object." },
    ErrorCodeRow { ErrorCode::UnknownField, "unknown_field", 400, "The body has a field that is not known here." },
    ErrorCodeRow { ErrorCode::MissingField, "missing_field", 400, "A required field is missing." },
    ErrorCodeRow { ErrorCode::InvalidField, "invalid_field", 400, "A field has the wrong type or is out of range." },
    ErrorCodeRow { ErrorCode::BodyTooLarge, "body_too_large", 413, "The body is larger than the limit." },
    ErrorCodeRow { ErrorCode::UnknownResource, "unknown_resource", 404, "There is nothing at this path." },
    ErrorCodeRow { ErrorCode::WrongMethod, "wrong_method", 405, "The path exists but not for this method." },
    ErrorCodeRow { ErrorCode::KeyReused, "key_reused", 409, "The same key is already in progress at this entry." },
    ErrorCodeRow { ErrorCode::NoBundle, "no_bundle", 503, "Not run: the process knows no policy bundle yet." },
    ErrorCodeRow { ErrorCode::NoTarget, "no_target", 503, "Not run: no target is known that can take the request." },
    ErrorCodeRow { ErrorCode::ShareExhausted, "share_exhausted", 429, "Not run: the share of this class is used up." },
    ErrorCodeRow {
        ErrorCode::DeadlineTooShort, "deadline_too_short", 503, "Not run: it cannot be finished before its deadline." },
    ErrorCodeRow { ErrorCode::Leaving, "leaving", 503, "Not run: the process is shutting down." },
    ErrorCodeRow { ErrorCode::Fenced, "fenced", 503, "Not run: the dispatch was fenced before it arrived." },
    ErrorCodeRow {
        ErrorCode::TargetUnreachable, "target_unreachable", 503, "Not run: the target accepted no connection." },
    ErrorCodeRow {
        ErrorCode::RetryBudgetSpent, "retry_budget_spent", 503, "Not run: and the retry budget allows no other try." },
    ErrorCodeRow { ErrorCode::StaleIncarnation, "stale_incarnation", 503,
        "Not run: it was meant for an earlier incarnation of the side process." },
    ErrorCodeRow { ErrorCode::NotAdmitted, "not_admitted", 403, "Not run: the bundle does not admit this work." },
    ErrorCodeRow { ErrorCode::OutcomeUnknown, "outcome_unknown", 504,
        "Unknown: it may have run; whoever knew the outcome cannot be asked." },
    ErrorCodeRow { ErrorCode::KeyContested, "key_contested", 409,
        "Not run by this request: another request holds the same key at this moment." },
    ErrorCodeRow {
        ErrorCode::WitnessUnreachable, "witness_unreachable", 503, "Not run: a witness of its key did not answer." },
    ErrorCodeRow { ErrorCode::KeyUnknown, "key_unknown", 404, "No process that was asked knows the key." },
    ErrorCodeRow { ErrorCode::Overloaded, "overloaded", 503, "Not run: a queue inside the process is full." },
    ErrorCodeRow {
        ErrorCode::LogUnavailable, "log_unavailable", 503, "The log service did not confirm in time; see the text." },
    ErrorCodeRow { ErrorCode::JobNeverFits, "job_never_fits", 422, "No host is large enough for the job." },
    ErrorCodeRow { ErrorCode::JobUnknown, "job_unknown", 404, "No job has this id." },
    ErrorCodeRow { ErrorCode::QuotaExceeded, "quota_exceeded", 429, "The team's quota is used up." },
    ErrorCodeRow { ErrorCode::HostFull, "host_full", 503, "The host has not enough free resources." },
    ErrorCodeRow { ErrorCode::StaleTerm, "stale_term", 409, "The sender is no longer the leader of its cell." },
    ErrorCodeRow { ErrorCode::BundleInvalid, "bundle_invalid", 422, "The bundle breaks a rule; see the JSON path." },
    ErrorCodeRow { ErrorCode::SignatureInvalid, "signature_invalid", 403, "The signature does not fit the content." },
    ErrorCodeRow { ErrorCode::SignerUnknown, "signer_unknown", 403, "The signing key is not trusted here." },
    ErrorCodeRow { ErrorCode::VersionNotNewer, "version_not_newer", 409, "The version is not above the one in force." },
    ErrorCodeRow { ErrorCode::KeyFileInvalid, "key_file_invalid", 400, "The key file cannot be read as a key." },
    ErrorCodeRow { ErrorCode::KeyFileUnsafe, "key_file_unsafe", 400, "Others than the owner can read the key file." },
    ErrorCodeRow {
        ErrorCode::RollOutLost, "roll_out_lost", 409, "Another bundle of the same version was logged first." },
    ErrorCodeRow {
        ErrorCode::RollOutIncomplete, "roll_out_incomplete", 504, "Not every process confirmed the version in time." },
    ErrorCodeRow { ErrorCode::SettingsInvalid, "settings_invalid", 400, "The settings file is not valid." },
    ErrorCodeRow { ErrorCode::AddressInUse, "address_in_use", 500, "The listening address cannot be bound." },
    ErrorCodeRow { ErrorCode::Unreachable, "unreachable", 502, "The peer accepted no connection." },
    ErrorCodeRow { ErrorCode::Timeout, "timeout", 504, "The peer did not answer in time." },
    ErrorCodeRow {
        ErrorCode::ProtocolViolation, "protocol_violation", 502, "The peer sent what the protocol does not allow." },
    ErrorCodeRow { ErrorCode::Internal, "internal", 500, "A fault of the program; please report it." },
};

/// The row of a code. Unknown numbers, which a newer peer may send, get the row of Internal.
constexpr const ErrorCodeRow& errorCodeRow(ErrorCode code)
{
    for (const ErrorCodeRow& row : errorCodeTable) {
        if (row.code == code)
            return row;
    }
    return errorCodeTable.back();
}

/// The name of a code in logs and answers.
constexpr std::string_view name(ErrorCode code) { return errorCodeRow(code).name; }

/// The code for a number received from a peer.
constexpr ErrorCode errorCodeFromNumber(int number) { return errorCodeRow(static_cast<ErrorCode>(number)).code; }

} // namespace Plantainpier
