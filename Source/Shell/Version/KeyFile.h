/// Reads and writes files with signing keys. The files are readable only by their owner, and the secret is encrypted if
/// a passphrase is given. Used by the command line.
#pragma once

#include "Decision/Version/Signature.h"

#include <string>

namespace Plantainpier {

/// Writes a new key file; fails if the file exists. With an empty passphrase the secret is not encrypted.
Result<Success> writeKeyFile(const std::string& path, const SigningKey& key, const std::string& passphrase);

/// Reads a key file; fails if users other than its owner can read the file.
Result<SigningKey> readKeyFile(const std::string& path, const std::string& passphrase);

/// Reads the public key of a key file in hexadecimal; needs no passphrase.
Result<std::string> readPublicKey(const std::string& path);

} // namespace Plantainpier
