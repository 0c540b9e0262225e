#include "Shell/Process/Settings.h"

#include "Base/Json.h"
#include "Base/NameTable.h"
#include "Decision/Version/Signature.h"

#include <arpa/inet.h>
#include <array>
#include <fstream>
#include <sstream>

namespace Plantainpier {

namespace {

    constexpr std::size_t maximumNameBytes = 128;
    constexpr std::size_t maximumKeyBytes = 128;
    constexpr int maximumPort = 65'535;
    constexpr int maximumEntries = 256;
    constexpr int maximumTrustedKeys = 64;
    constexpr std::int64_t maximumMilliProcessors = 10'000'000;
    constexpr std::int64_t maximumMemoryMegabytes = 100'000'000;
    constexpr std::int64_t maximumAccelerators = 1'000;

    constexpr std::array roleTable {
        NamedValue { Role::Entry, "entry" },
        NamedValue { Role::Side, "side" },
    };
    constexpr std::array<std::string_view, 5> logLevels { "debug", "info", "warn", "error", "off" };

    bool isIpAddress(const std::string& text)
    {
        in_addr v4 {};
        in6_addr v6 {};
        return inet_pton(AF_INET, text.c_str(), &v4) == 1 || inet_pton(AF_INET6, text.c_str(), &v6) == 1;
    }

    std::string readIpAddress(JsonReader& reader, const std::string& key)
    {
        std::string address = reader.requiredString(key, maximumNameBytes);
        if (!address.empty() && !isIpAddress(address))
            reader.addError(ErrorCode::InvalidField, key, "must be a numeric IP address, for example 127.0.0.1");
        return address;
    }

    int readPort(JsonReader& reader, const std::string& key)
    {
        return static_cast<int>(reader.requiredInteger(key, 1, maximumPort));
    }

    ServiceAddress readService(JsonReader& parent, const std::string& key)
    {
        const Json object = parent.optionalObject(key);
        if (!object.is_object()) {
            parent.addError(ErrorCode::MissingField, key, "is required for this role");
            return {};
        }
        JsonReader reader(object, parent.pathOf(key));
        ServiceAddress service;
        service.address = readIpAddress(reader, "address");
        service.port = readPort(reader, "port");
        reader.rejectUnknownFields();
        parent.addErrors(reader.errors());
        return service;
    }

    void readListen(JsonReader& parent, Settings& settings)
    {
        const Json object = parent.optionalObject("listen");
        if (!object.is_object()) {
            parent.addError(ErrorCode::MissingField, "listen", "is required");
            return;
        }
        JsonReader reader(object, "/listen");
        settings.listenAddress = readIpAddress(reader, "address");
        settings.httpPort = readPort(reader, "http_port");
        settings.peerPort = readPort(reader, "peer_port");
        settings.announcedPeerPort
            = static_cast<int>(reader.optionalInteger("announced_peer_port", 1, maximumPort, settings.peerPort));
        reader.rejectUnknownFields();
        if (settings.httpPort == settings.peerPort)
            reader.addError(ErrorCode::InvalidField, "peer_port", "must differ from http_port");
        parent.addErrors(reader.errors());
    }

    void readTrustedKeys(JsonReader& reader, Settings& settings)
    {
        const Json keys = reader.optionalArray("trusted_keys");
        if (keys.empty() || keys.size() > maximumTrustedKeys) {
            reader.addError(ErrorCode::InvalidField, "trusted_keys", "must hold 1 to 64 public keys");
            return;
        }
        for (std::size_t n = 0; n < keys.size(); ++n) {
            const std::string elementKey = "trusted_keys/" + std::to_string(n);
            const std::string key = keys[n].is_string() ? keys[n].get<std::string>() : std::string();
            if (key.size() > maximumKeyBytes || !isOk(keyIdOfPublicKey(key)))
                reader.addError(ErrorCode::InvalidField, elementKey, "must be an Ed25519 public key in hexadecimal");
            settings.trustedKeys.push_back(key);
        }
    }

    void readCapacity(JsonReader& parent, Settings& settings)
    {
        const Json object = parent.optionalObject("capacity");
        if (!object.is_object()) {
            parent.addError(ErrorCode::MissingField, "capacity", "is required for role side");
            return;
        }
        JsonReader reader(object, "/capacity");
        settings.capacity.milliProcessors = reader.requiredInteger("milli_processors", 1, maximumMilliProcessors);
        settings.capacity.memoryMegabytes = reader.requiredInteger("memory_mb", 1, maximumMemoryMegabytes);
        settings.capacity.accelerators
            = static_cast<std::int32_t>(reader.optionalInteger("accelerators", 0, maximumAccelerators, 0));
        reader.rejectUnknownFields();
        parent.addErrors(reader.errors());
    }

    void readEntries(JsonReader& parent, Settings& settings)
    {
        const Json entries = parent.optionalArray("entries");
        if (entries.empty() || entries.size() > maximumEntries) {
            parent.addError(ErrorCode::InvalidField, "entries", "must hold 1 to 256 addresses of entries");
            return;
        }
        for (std::size_t n = 0; n < entries.size(); ++n) {
            const std::string elementKey = "entries/" + std::to_string(n);
            if (!entries[n].is_object()) {
                parent.addError(ErrorCode::InvalidField, elementKey, "must be an object");
                continue;
            }
            JsonReader reader(entries[n], parent.pathOf(elementKey));
            PeerAddress entry;
            entry.address = readIpAddress(reader, "address");
            entry.port = readPort(reader, "port");
            reader.rejectUnknownFields();
            parent.addErrors(reader.errors());
            settings.entries.push_back(entry);
        }
    }

    void readRole(JsonReader& reader, Settings& settings)
    {
        const std::string text = reader.requiredString("role", maximumNameBytes);
        const Role* parsedRole = valueIn(roleTable, text);
        if (!parsedRole) {
            reader.addError(ErrorCode::InvalidField, "role", "must be entry or side");
            return;
        }
        settings.role = *parsedRole;
        if (settings.role == Role::Entry) {
            settings.cell = reader.requiredString("cell", maximumNameBytes);
            settings.log = readService(reader, "log");
            return;
        }
        settings.rack = reader.requiredString("rack", maximumNameBytes);
        settings.worker = readService(reader, "worker");
        readCapacity(reader, settings);
        readEntries(reader, settings);
    }

    void readLogLevel(JsonReader& reader, Settings& settings)
    {
        settings.logLevel = reader.optionalString("log_level", maximumNameBytes, "info");
        for (std::string_view level : logLevels) {
            if (level == settings.logLevel)
                return;
        }
        reader.addError(ErrorCode::InvalidField, "log_level", "must be debug, info, warn, error or off");
    }

} // namespace

std::string_view name(Role role) { return nameIn(roleTable, role); }

const std::vector<std::string>& settingKeys()
{
    static const std::vector<std::string> keys { "role", "id", "zone", "listen", "trusted_keys", "log_level", "cell",
        "log", "rack", "worker", "capacity", "entries" };
    return keys;
}

Result<Settings> parseSettings(const std::string& text)
{
    const Result<Json> parsed = parseJsonObject(text);
    if (!isOk(parsed))
        return Error { ErrorCode::SettingsInvalid, errorOf(parsed).message };
    JsonReader reader(valueOf(parsed), "");
    Settings settings;
    settings.id = reader.requiredString("id", maximumNameBytes);
    settings.zone = reader.requiredString("zone", maximumNameBytes);
    readListen(reader, settings);
    readTrustedKeys(reader, settings);
    readLogLevel(reader, settings);
    readRole(reader, settings);
    reader.rejectUnknownFields();
    if (!reader.errors().empty())
        return Error { ErrorCode::SettingsInvalid, joinErrors(reader.errors()).message };
    return settings;
}

Result<Settings> loadSettings(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return Error { ErrorCode::SettingsInvalid, path + ": cannot be read; give the path of a JSON file" };
    std::ostringstream text;
    text << file.rdbuf();
    Result<Settings> settings = parseSettings(text.str());
    if (!isOk(settings))
        return Error { ErrorCode::SettingsInvalid, path + ": " + errorOf(settings).message };
    return settings;
}

} // namespace Plantainpier
