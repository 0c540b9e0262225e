/// Signing keys in files: readable by their owner only, sealed by a passphrase if one is given.
#pragma once

#include "Decision/Version/Signature.h"

#include <string>

namespace Plantainpier {

/// Writes a new key file; refuses to overwrite one. An empty passphrase leaves the secret unsealed.
Result<Success> writeKeyFile(const std::string& path, const SigningKey& key, const std::string& passphrase);

/// Reads a key file; refuses one that others than its owner may read.
Result<SigningKey> readKeyFile(const std::string& path, const std::string& passphrase);

/// The public half of a key file in hexadecimal; needs no passphrase.
Result<std::string> readPublicKey(const std::string& path);

} // namespace Plantainpier
