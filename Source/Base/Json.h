/// The JSON type of the project and the strict reader of JSON objects used for every outside input.
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

/// Parses JSON text from outside. The result is discarded (is_discarded()) for text that is no JSON or is nested deeper
/// than maximumNesting: copying and writing go down one stack frame or more a level.
Json parseJson(const std::string& text);

/// Parses one JSON object; anything else is MalformedBody.
Result<Json> parseJsonObject(const std::string& text);

/// Reads fields of one JSON object and collects every fault with its JSON path instead of stopping at the first.
/// Used for callers' bodies, settings and bundles.
class JsonReader {
public:
    JsonReader(const Json& object, std::string path);

    std::string requiredString(const std::string& key, std::size_t maximumLength);
    std::string optionalString(const std::string& key, std::size_t maximumLength, const std::string& otherwise);
    std::int64_t requiredInteger(const std::string& key, std::int64_t minimum, std::int64_t maximum);
    std::int64_t optionalInteger(
        const std::string& key, std::int64_t minimum, std::int64_t maximum, std::int64_t otherwise);
    bool optionalBool(const std::string& key, bool otherwise);
    bool requiredBool(const std::string& key);
    /// A member object or array; null when it is absent or of another type.
    Json optionalObject(const std::string& key);
    Json optionalArray(const std::string& key);

    /// Adds a fault at this object's path followed by the key.
    void fault(ErrorCode code, const std::string& key, const std::string& text);
    /// Call after the last read: every field that was not asked for is a fault.
    void finish();
    const std::vector<Error>& faults() const { return m_faults; }
    void adopt(const std::vector<Error>& faults);
    std::string pathOf(const std::string& key) const;

private:
    const Json* find(const std::string& key, bool required);
    std::string checkString(const std::string& key, const Json& value, std::size_t maximumLength);
    std::int64_t checkInteger(const std::string& key, const Json& value, std::int64_t minimum, std::int64_t maximum);
    bool checkBool(const std::string& key, const Json& value);

    const Json& m_object;
    std::string m_path;
    std::set<std::string> m_asked;
    std::vector<Error> m_faults;
};

/// Joins faults to one error: the first one's code, all texts.
Error joinFaults(const std::vector<Error>& faults);

} // namespace Plantainpier
