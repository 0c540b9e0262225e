#include "Base/Json.h"

namespace Plantainpier {

namespace {

    /// Limit on the nesting of arrays and objects. JSON from the platform and from plantainpier has fewer than ten
    /// levels.
    constexpr int maximumNesting = 64;

    bool isNestedTooDeep(const std::string& text)
    {
        int level = 0;
        bool inString = false;
        for (std::size_t n = 0; n < text.size(); ++n) {
            const char c = text[n];
            if (inString) {
                if (c == '\\')
                    ++n;
                else if (c == '"')
                    inString = false;
                continue;
            }
            if (c == '"')
                inString = true;
            else if ((c == '[' || c == '{') && ++level > maximumNesting)
                return true;
            else if (c == ']' || c == '}')
                --level;
        }
        return false;
    }

} // namespace

Json parseJson(const std::string& text)
{
    if (isNestedTooDeep(text))
        return Json(Json::value_t::discarded);
    return Json::parse(text, nullptr, false);
}

Result<Json> parseJsonObject(const std::string& text)
{
    Json json = parseJson(text);
    if (json.is_discarded())
        return Error { ErrorCode::MalformedBody, "the text is not valid JSON, or is nested too deeply" };
    if (!json.is_object())
        return Error { ErrorCode::MalformedBody, "the JSON is not an object" };
    return json;
}

JsonReader::JsonReader(const Json& object, std::string path)
    : m_object(object)
    , m_path(std::move(path))
{
}

std::string JsonReader::pathOf(const std::string& key) const { return m_path + "/" + key; }

void JsonReader::addError(ErrorCode code, const std::string& key, const std::string& text)
{
    m_errors.push_back(Error { code, pathOf(key) + ": " + text });
}

void JsonReader::addErrors(const std::vector<Error>& errors)
{
    m_errors.insert(m_errors.end(), errors.begin(), errors.end());
}

const Json* JsonReader::find(const std::string& key, bool required)
{
    m_readKeys.insert(key);
    Json::const_iterator it = m_object.find(key);
    if (it != m_object.end())
        return &*it;
    if (required)
        addError(ErrorCode::MissingField, key, "is required");
    return nullptr;
}

std::string JsonReader::checkString(const std::string& key, const Json& value, std::size_t maximumLength)
{
    if (!value.is_string()) {
        addError(ErrorCode::InvalidField, key, "must be a string");
        return {};
    }
    std::string text = value.get<std::string>();
    if (text.size() > maximumLength)
        addError(ErrorCode::InvalidField, key, "must have at most " + std::to_string(maximumLength) + " bytes");
    return text;
}

std::int64_t JsonReader::checkInteger(
    const std::string& key, const Json& value, std::int64_t minimum, std::int64_t maximum)
{
    const bool fits = value.is_number_integer()
        && !(value.is_number_unsigned()
            && value.get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()));
    if (fits && value.get<std::int64_t>() >= minimum && value.get<std::int64_t>() <= maximum)
        return value.get<std::int64_t>();
    addError(ErrorCode::InvalidField, key,
        "must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return minimum;
}

bool JsonReader::checkBool(const std::string& key, const Json& value)
{
    if (value.is_boolean())
        return value.get<bool>();
    addError(ErrorCode::InvalidField, key, "must be true or false");
    return false;
}

std::string JsonReader::requiredString(const std::string& key, std::size_t maximumLength)
{
    const Json* value = find(key, true);
    if (!value)
        return {};
    std::string text = checkString(key, *value, maximumLength);
    if (value->is_string() && text.empty())
        addError(ErrorCode::InvalidField, key, "must not be empty");
    return text;
}

std::string JsonReader::optionalString(
    const std::string& key, std::size_t maximumLength, const std::string& defaultValue)
{
    const Json* value = find(key, false);
    return value ? checkString(key, *value, maximumLength) : defaultValue;
}

std::int64_t JsonReader::requiredInteger(const std::string& key, std::int64_t minimum, std::int64_t maximum)
{
    const Json* value = find(key, true);
    return value ? checkInteger(key, *value, minimum, maximum) : minimum;
}

std::int64_t JsonReader::optionalInteger(
    const std::string& key, std::int64_t minimum, std::int64_t maximum, std::int64_t defaultValue)
{
    const Json* value = find(key, false);
    return value ? checkInteger(key, *value, minimum, maximum) : defaultValue;
}

bool JsonReader::optionalBool(const std::string& key, bool defaultValue)
{
    const Json* value = find(key, false);
    return value ? checkBool(key, *value) : defaultValue;
}

bool JsonReader::requiredBool(const std::string& key)
{
    const Json* value = find(key, true);
    return value && checkBool(key, *value);
}

Json JsonReader::optionalObject(const std::string& key)
{
    const Json* value = find(key, false);
    if (!value)
        return {};
    if (value->is_object())
        return *value;
    addError(ErrorCode::InvalidField, key, "must be an object");
    return {};
}

Json JsonReader::optionalArray(const std::string& key)
{
    const Json* value = find(key, false);
    if (!value)
        return {};
    if (value->is_array())
        return *value;
    addError(ErrorCode::InvalidField, key, "must be an array");
    return {};
}

void JsonReader::rejectUnknownFields()
{
    for (Json::const_iterator it = m_object.begin(); it != m_object.end(); ++it) {
        if (!m_readKeys.contains(it.key()))
            addError(ErrorCode::UnknownField, it.key(), "is not a known field");
    }
}

Error joinErrors(const std::vector<Error>& errors)
{
    Error joined { errors.front().code, errors.front().message };
    for (std::size_t n = 1; n < errors.size(); ++n)
        joined.message += "; " + errors[n].message;
    return joined;
}

} // namespace Plantainpier
