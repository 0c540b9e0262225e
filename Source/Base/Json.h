/// The JSON type and a strict reader of JSON objects, used for all external input.
#pragma once

#include "Base/Result.h"

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace Plantainpier {

using Json = nlohmann::json;

/// Parses external JSON text. The result is discarded (is_discarded()) if the text is not valid JSON or is nested
/// deeper than maximumNesting, because copying and serializing recurse with at least one stack frame per level.
Json parseJson(const std::string& text);

/// Parses one JSON object; other input gives the error MalformedBody.
Result<Json> parseJsonObject(const std::string& text);

/// Reads fields of one JSON object and collects all errors with their JSON paths instead of stopping at the first. Used
/// for request bodies, settings and bundles.
class JsonReader {
public:
    JsonReader(const Json& object, std::string path);

    std::string requiredString(const std::string& key, std::size_t maximumLength);
    std::string optionalString(const std::string& key, std::size_t maximumLength, const std::string& defaultValue);
    std::int64_t requiredInteger(const std::string& key, std::int64_t minimum, std::int64_t maximum);
    std::int64_t optionalInteger(
        const std::string& key, std::int64_t minimum, std::int64_t maximum, std::int64_t defaultValue);
    bool optionalBool(const std::string& key, bool defaultValue);
    bool requiredBool(const std::string& key);
    /// A member object or array; null if the member is absent or of another type.
    Json optionalObject(const std::string& key);
    Json optionalArray(const std::string& key);

    /// Adds an error at the path of this object followed by the key.
    void addError(ErrorCode code, const std::string& key, const std::string& text);
    /// To be called after the last read: adds an error for every field that was not read.
    void rejectUnknownFields();
    const std::vector<Error>& errors() const { return m_errors; }
    /// Adds the errors of another reader, usually of a nested object.
    void addErrors(const std::vector<Error>& errors);
    std::string pathOf(const std::string& key) const;

private:
    const Json* find(const std::string& key, bool required);
    std::string checkString(const std::string& key, const Json& value, std::size_t maximumLength);
    std::int64_t checkInteger(const std::string& key, const Json& value, std::int64_t minimum, std::int64_t maximum);
    bool checkBool(const std::string& key, const Json& value);

    const Json& m_object;
    std::string m_path;
    std::set<std::string> m_readKeys;
    std::vector<Error> m_errors;
};

/// Combines errors into one with the code of the first error and the messages of all.
Error joinErrors(const std::vector<Error>& errors);

} // namespace Plantainpier
