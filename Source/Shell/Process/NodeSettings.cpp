#include "Shell/Process/NodeSettings.h"

#include "Base/Json.h"

#include <arpa/inet.h>
#include <charconv>
#include <fstream>
#include <sstream>

namespace Plantainpier {

namespace {

    /// A part of a job's progress has to fit.
    constexpr std::int64_t minimumRecordBytes = 65'536;
    constexpr std::int64_t maximumRecordBytes = std::int64_t(1) << 30;
    constexpr std::size_t maximumNameBytes = 256;
    constexpr int maximumPort = 65'535;
    constexpr double millisecondsPerSecond = 1000;
    /// Below this, an owner that reads the operator's topic without a fault would still hold back starts: its reads
    /// wait for 0.7 s, and one second is left for the delivery of an order.
    constexpr Duration minimumZoneClosureBound = milliseconds(2500);

    Endpoint readEndpoint(JsonReader& reader, const std::string& key, bool required)
    {
        const std::string text = required ? reader.requiredString(key, maximumNameBytes)
                                          : reader.optionalString(key, maximumNameBytes, "");
        Endpoint endpoint;
        if (text.empty())
            return endpoint;
        const std::size_t colon = text.rfind(':');
        in_addr unused {};
        endpoint.address = text.substr(0, colon);
        const char* end = text.data() + text.size();
        const bool isAddress = colon != std::string::npos && inet_pton(AF_INET, endpoint.address.c_str(), &unused) == 1;
        const std::from_chars_result port
            = std::from_chars(isAddress ? text.data() + colon + 1 : end, end, endpoint.port);
        if (!isAddress || port.ec != std::errc() || port.ptr != end || endpoint.port < 1 || endpoint.port > maximumPort)
            reader.addError(ErrorCode::InvalidField, key, "must be an IPv4 address and a port, like 10.1.0.13:8161");
        return endpoint;
    }

    /// Reads one of the names of a table.
    template <typename Enum, std::size_t size>
    Enum readName(
        JsonReader& reader, const std::string& key, const std::array<NamedValue<Enum>, size>& table, Enum defaultValue)
    {
        const std::string name = reader.optionalString(key, maximumNameBytes, std::string(nameIn(table, defaultValue)));
        if (const Enum* value = valueIn(table, name))
            return *value;
        std::string names;
        for (const NamedValue<Enum>& row : table)
            names += (names.empty() ? "" : " or ") + std::string(row.name);
        reader.addError(ErrorCode::InvalidField, key, "must be " + names);
        return defaultValue;
    }

    /// Limit on values in milliseconds, seconds or cores; a billion milliseconds are about eleven days.
    constexpr double maximumNumber = 1'000'000'000;

    double readNumber(JsonReader& reader, const Json& object, const std::string& key, double defaultValue)
    {
        Json::const_iterator it = object.find(key);
        if (it == object.end())
            return defaultValue;
        if (it->is_number() && it->get<double>() > 0 && it->get<double>() <= maximumNumber)
            return it->get<double>();
        reader.addError(ErrorCode::InvalidField, key,
            "must be a number above 0, at most " + std::to_string(static_cast<long long>(maximumNumber)));
        return defaultValue;
    }

} // namespace

Result<NodeSettings> parseNodeSettings(const std::string& text)
{
    const Result<Json> parsed = parseJsonObject(text);
    if (!isOk(parsed))
        return Error { ErrorCode::SettingsInvalid, errorOf(parsed).message };
    const Json& object = valueOf(parsed);
    JsonReader reader(object, "");
    NodeSettings settings;
    settings.id = reader.requiredString("id", maximumNameBytes);
    settings.zone = reader.requiredString("zone", maximumNameBytes);
    settings.peers.address = reader.requiredString("address", maximumNameBytes);
    settings.peers.port = static_cast<int>(reader.requiredInteger("peer_port", 1, maximumPort));
    settings.store = readEndpoint(reader, "store_address", true);
    settings.clients = readEndpoint(reader, "client_address", false);
    settings.health = readEndpoint(reader, "health_address", false);
    settings.announcements = readEndpoint(reader, "announce_address", false);
    settings.host = readEndpoint(reader, "host_address", false);
    settings.advice = readEndpoint(reader, "advice_address", false);
    settings.machines = readEndpoint(reader, "machines_address", false);
    settings.service = reader.optionalString("service", maximumNameBytes, "");
    settings.processorShare = readNumber(reader, object, "processor_share", settings.processorShare);
    const auto readMilliseconds = [&](const char* key, Duration defaultValue) {
        return milliseconds(
            static_cast<long long>(readNumber(reader, object, key, static_cast<double>(toMilliseconds(defaultValue)))));
    };
    const auto readSeconds = [&](const char* key, Duration defaultValue) {
        const double number = readNumber(
            reader, object, key, static_cast<double>(toMilliseconds(defaultValue)) / millisecondsPerSecond);
        return milliseconds(static_cast<long long>(number * millisecondsPerSecond));
    };
    settings.longestLease = readMilliseconds("longest_lease_ms", settings.longestLease);
    settings.interferenceBound = readMilliseconds("harm_ms", settings.interferenceBound);
    settings.longestHalt = readMilliseconds("halt_ms", settings.longestHalt);
    if (object.contains("zone_closure_ms"))
        settings.zoneClosureBound = readMilliseconds("zone_closure_ms", minimumZoneClosureBound);
    if (settings.zoneClosureBound && *settings.zoneClosureBound < minimumZoneClosureBound)
        reader.addError(ErrorCode::InvalidField, "zone_closure_ms",
            "must be at least " + std::to_string(toMilliseconds(minimumZoneClosureBound)));
    if (object.contains("interference_record_s"))
        settings.interferenceRecordInterval = readSeconds("interference_record_s", seconds(1));
    if (object.contains("remote_factor"))
        settings.remoteFactor = readNumber(reader, object, "remote_factor", 1);
    if (settings.remoteFactor && *settings.remoteFactor < 1)
        reader.addError(ErrorCode::InvalidField, "remote_factor",
            "must be at least 1; leave it out where the place of a task makes no difference");
    settings.localityWait = readName(reader, "locality_wait", localityWaitModeNames, settings.localityWait);
    settings.fillerPlacement = readName(reader, "filler_placement", fillerPlacementNames, settings.fillerPlacement);
    settings.admission = readName(reader, "admission", admissionModeNames, settings.admission);
    settings.overloadOrder = readName(reader, "overload_order", overloadOrderNames, settings.overloadOrder);
    settings.finishedJobRetention = readSeconds("status_memory_s", settings.finishedJobRetention);
    settings.shutdownTimeout = readSeconds("shutdown_s", settings.shutdownTimeout);
    settings.maximumRecordBytes = static_cast<std::size_t>(reader.optionalInteger("store_record_bytes",
        minimumRecordBytes, maximumRecordBytes, static_cast<std::int64_t>(settings.maximumRecordBytes)));
    if (!reader.errors().empty()) {
        Error error = joinErrors(reader.errors());
        error.code = ErrorCode::SettingsInvalid;
        return error;
    }
    return settings;
}

Result<NodeSettings> loadNodeSettings(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return Error { ErrorCode::SettingsInvalid, path + ": cannot be read; give the path of the settings file" };
    std::ostringstream text;
    text << file.rdbuf();
    Result<NodeSettings> settings = parseNodeSettings(text.str());
    if (isOk(settings))
        return settings;
    return Error { errorOf(settings).code, path + ": " + errorOf(settings).message };
}

const std::vector<std::string>& nodeSettingKeys()
{
    static const std::vector<std::string> keys { "id", "zone", "address", "peer_port", "store_address",
        "client_address", "health_address", "announce_address", "host_address", "advice_address", "machines_address",
        "service", "processor_share", "longest_lease_ms", "harm_ms", "halt_ms", "zone_closure_ms",
        "interference_record_s", "remote_factor", "locality_wait", "filler_placement", "admission", "overload_order",
        "status_memory_s", "shutdown_s", "store_record_bytes" };
    return keys;
}

} // namespace Plantainpier
