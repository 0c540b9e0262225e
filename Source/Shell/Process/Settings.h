/// The settings of the daemon: read once at the start, checked as a whole before anything is opened.
#pragma once

#include "Base/Result.h"
#include "Decision/Process/SideCore.h"

#include <string>
#include <vector>

namespace Plantainpier {

/// What a daemon process does.
enum class Role {
    Entry,
    Side,
};
std::string_view name(Role role);

/// An HTTP service of the platform.
struct ServiceAddress {
    std::string address;
    int port = 0;
};

/// Everything a daemon is told. Docs: one help page a key under Help/setting.
struct Settings {
    Role role = Role::Entry;
    std::string id;
    std::string zone;
    std::string listenAddress;
    int httpPort = 0;
    int peerPort = 0;
    /// Where peers reach the peer port, when something between translates it.
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

/// Checks settings text. All faults come back in one error, each with its JSON path.
Result<Settings> parseSettings(const std::string& text);

/// Reads and checks a settings file.
Result<Settings> loadSettings(const std::string& path);

/// Every key that a settings file may have, as JSON paths; each has a help page.
const std::vector<std::string>& settingKeys();

} // namespace Plantainpier
