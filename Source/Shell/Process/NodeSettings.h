/// The settings of a process on the users' platform, read by platform/main.cpp. All settings are validated before a
/// port is opened.
#pragma once

#include "Base/Result.h"
#include "Base/Time.h"
#include "Decision/Admission/AdmissionRules.h"
#include "Decision/Locality/LocalityWait.h"
#include "Decision/Placement/FillerPlacement.h"

#include <optional>
#include <string>
#include <vector>

namespace Plantainpier {

/// An IP address and a port.
struct Endpoint {
    std::string address;
    int port = 0;

    bool isSet() const { return port != 0; }
};

/// The settings of one process. Each key has a help page under Help/node.
struct NodeSettings {
    std::string id;
    std::string zone;
    /// The address at which peers connect to this process.
    Endpoint peers;
    /// Entry: the addresses for clients and for the load balancer's health checks.
    Endpoint clients;
    Endpoint health;
    /// Side: the address at which the host beside the side announces itself, and the address at which the host accepts
    /// orders.
    Endpoint announcements;
    Endpoint host;
    std::string service;
    Endpoint store;
    Endpoint advice;
    Endpoint machines;
    double processorShare = 1;
    Duration longestLease = seconds(10);
    Duration interferenceBound = seconds(4);
    Duration longestHalt = milliseconds(900);
    /// Time after which nothing starts in a zone that operators have closed. Unset: no bound is kept.
    std::optional<Duration> zoneClosureBound;
    /// Interval at which an owner stores the interference between images that it has learned. Unset: not stored.
    std::optional<Duration> interferenceRecordInterval;
    /// A run away from its data or group takes this many times as long. Unset: not known, and no task waits.
    std::optional<double> remoteFactor;
    LocalityWaitMode localityWait = LocalityWaitMode::Off;
    FillerPlacement fillerPlacement = FillerPlacement::Pace;
    AdmissionMode admission = AdmissionMode::Off;
    OverloadOrder overloadOrder = OverloadOrder::LeastSlack;
    Duration finishedJobRetention = seconds(120);
    /// The largest record that the store takes, in bytes.
    std::size_t maximumRecordBytes = 262'144;
    /// Time between the request to shut down and the forced end of the process.
    Duration shutdownTimeout = seconds(6);
};

/// Parses and validates settings text. The error lists all invalid fields with their JSON paths.
Result<NodeSettings> parseNodeSettings(const std::string& text);

/// Reads and validates a settings file.
Result<NodeSettings> loadNodeSettings(const std::string& path);

/// All keys of a settings file; each has a help page.
const std::vector<std::string>& nodeSettingKeys();

} // namespace Plantainpier
