/// The settings of plantainpierd. All settings are read once at the start and validated before a port is opened.
#pragma once

#include "Base/Result.h"
#include "Decision/Process/SideCore.h"

#include <string>
#include <vector>

namespace Plantainpier {

/// The role of a daemon process.
enum class Role {
    Entry,
    Side,
};
std::string_view name(Role role);

/// The address of an HTTP service of the platform.
struct ServiceAddress {
    std::string address;
    int port = 0;
};

/// The settings of one daemon. Each key has a help page under Help/setting.
struct Settings {
    Role role = Role::Entry;
    std::string id;
    std::string zone;
    std::string listenAddress;
    int httpPort = 0;
    int peerPort = 0;
    /// The port at which peers connect; differs from peerPort if the port is translated between the hosts.
    int announcedPeerPort = 0;
    std::vector<std::string> trustedKeys;
    std::string logLevel;
    /// Entry only.
    std::string cell;
    ServiceAddress log;
    /// Side only.
    std::string rack;
    Wire::Resources capacity;
    ServiceAddress worker;
    std::vector<PeerAddress> entries;
};

/// Parses and validates settings text. The error lists all invalid fields with their JSON paths.
Result<Settings> parseSettings(const std::string& text);

/// Reads and validates a settings file.
Result<Settings> loadSettings(const std::string& path);

/// All top-level keys of a settings file; each has a help page.
const std::vector<std::string>& settingKeys();

} // namespace Plantainpier
