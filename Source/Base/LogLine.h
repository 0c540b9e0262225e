/// Builds the log line of an event: key=value pairs separated by blanks.
#pragma once

#include <concepts>
#include <string>
#include <string_view>

namespace Plantainpier {

/// One log line. The first pair is always event=NAME. Empty values and values with blanks, quotes or other special
/// characters are quoted.
class LogLine {
public:
    explicit LogLine(std::string_view event);

    LogLine& add(std::string_view key, std::string_view value);
    LogLine& add(std::string_view key, const std::string& value) { return add(key, std::string_view(value)); }
    LogLine& add(std::string_view key, const char* value) { return add(key, std::string_view(value)); }
    LogLine& add(std::string_view key, bool value) { return add(key, std::string_view(value ? "true" : "false")); }
    LogLine& add(std::string_view key, std::integral auto value)
    {
        return add(key, std::string_view(std::to_string(value)));
    }

    const std::string& text() const { return m_text; }

private:
    std::string m_text;
};

} // namespace Plantainpier
