/// Reads passphrases from files: an argument would be visible in the process list.
#pragma once

#include "CommandLine/Command.h"

namespace Plantainpier {

/// Returns the first line of the file, or an empty passphrase if the path is empty.
inline Result<std::string> readPassphrase(const std::string& path)
{
    if (path.empty())
        return std::string();
    Result<std::string> text = readFile(path);
    if (!isOk(text))
        return text;
    return valueOf(text).substr(0, valueOf(text).find('\n'));
}

} // namespace Plantainpier
