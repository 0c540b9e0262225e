/// Reads a passphrase from a file, so that it shows up in no process list.
#pragma once

#include "CommandLine/Command.h"

namespace Plantainpier {

/// The first line of the file; empty for an empty path.
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
