/// The settings of a process on the users' platform: checked as a whole before anything is opened.
#pragma once

#include "Base/Result.h"
#include "Base/Time.h"

#include <string>
#include <vector>

namespace Plantainpier {

/// An IP address and a port.
struct Endpoint {
    std::string address;
    int port = 0;

    bool isSet() const { return port != 0; }
};

/// Everything that such a process is told. Docs: one help page a key under Help/node.
struct NodeSettings {
    std::string id;
    std::string zone;
    /// Where peers reach this process.
    Endpoint peers;
    /// Entry: where clients and the balancer's health checks arrive.
    Endpoint clients;
    Endpoint health;
    /// Side: where the host beside it announces itself, and where the host takes orders.
    Endpoint announcements;
    Endpoint host;
    std::string service;
    Endpoint store;
    Endpoint advice;
    Endpoint machines;
    double processorShare = 1;
    Duration longestLease = seconds(10);
    Duration harmBound = seconds(4);
    Duration statusMemory = seconds(120);
    /// Time between the request to stop and the end by force.
    Duration shutdown = seconds(6);
};

/// Checks settings text. All faults come back in one error, each with its JSON path.
Result<NodeSettings> parseNodeSettings(const std::string& text);

/// Reads and checks a settings file.
Result<NodeSettings> loadNodeSettings(const std::string& path);

/// Every key that the file may have; each has a help page.
const std::vector<std::string>& nodeSettingKeys();

} // namespace Plantainpier
