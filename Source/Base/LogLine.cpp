#include "Base/LogLine.h"

namespace Plantainpier {

namespace {

    bool needsQuotes(std::string_view value)
    {
        return value.empty() || value.find_first_of(" \"=\n\r\t\\") != std::string_view::npos;
    }

    void appendQuoted(std::string& text, std::string_view value)
    {
        text += '"';
        for (char c : value) {
            if (c == '"' || c == '\\')
                text += '\\';
            if (c == '\n')
                text += "\\n";
            else
                text += c;
        }
        text += '"';
    }

} // namespace

LogLine::LogLine(std::string_view event)
    : m_text("event=")
{
    m_text += event;
}

LogLine& LogLine::add(std::string_view key, std::string_view value)
{
    m_text += ' ';
    m_text += key;
    m_text += '=';
    if (needsQuotes(value))
        appendQuoted(m_text, value);
    else
        m_text += value;
    return *this;
}

} // namespace Plantainpier
