#include "Decision/Version/BundleRegistry.h"

#include "Decision/Version/Signature.h"

namespace Plantainpier {

namespace {

    constexpr std::size_t maximumTextBytes = 256;

}

std::string canonicalText(const Json& content) { return content.dump(); }

std::string makeEnvelope(const Json& content, const std::string& signer, const std::string& signature)
{
    return Json { { "content", content }, { "signer", signer }, { "signature", signature } }.dump();
}

Result<BundleRegistry> BundleRegistry::create(const std::vector<std::string>& trustedKeys)
{
    BundleRegistry registry;
    for (const std::string& key : trustedKeys) {
        const Result<std::string> id = keyIdOfPublicKey(key);
        if (!isOk(id))
            return errorOf(id);
        registry.m_trustedKeys[valueOf(id)] = key;
    }
    return registry;
}

Result<Bundle> BundleRegistry::verify(const std::string& envelope) const
{
    const Result<Json> parsed = parseJsonObject(envelope);
    if (!isOk(parsed))
        return Error { ErrorCode::BundleInvalid, errorOf(parsed).message };
    JsonReader reader(valueOf(parsed), "");
    const Json content = reader.optionalObject("content");
    const std::string signer = reader.requiredString("signer", maximumTextBytes);
    const std::string signature = reader.requiredString("signature", maximumTextBytes);
    reader.rejectUnknownFields();
    if (!content.is_object())
        reader.addError(ErrorCode::MissingField, "content", "is required");
    if (!reader.errors().empty())
        return Error { ErrorCode::BundleInvalid, joinErrors(reader.errors()).message };
    std::map<std::string, std::string>::const_iterator it = m_trustedKeys.find(signer);
    if (it == m_trustedKeys.end())
        return Error { ErrorCode::SignerUnknown, "the signer " + signer + " is not a trusted key" };
    if (!isSignatureValid(canonicalText(content), signature, it->second))
        return Error { ErrorCode::SignatureInvalid, "the signature of " + signer + " does not match the content" };
    return Bundle::parse(content);
}

Result<Success> BundleRegistry::activate(const std::string& envelope)
{
    if (m_current && envelope == m_envelope)
        return Success {};
    Result<Bundle> verified = verify(envelope);
    if (!isOk(verified))
        return errorOf(verified);
    if (valueOf(verified).version() <= version()) {
        return Error { ErrorCode::VersionNotNewer,
            "version " + std::to_string(valueOf(verified).version()) + " is not above version "
                + std::to_string(version()) + " in force" };
    }
    m_current = std::make_shared<const Bundle>(takeValue(std::move(verified)));
    m_envelope = envelope;
    return Success {};
}

} // namespace Plantainpier
