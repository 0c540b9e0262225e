/// The hosts that may take tasks now, by service, and the number of the others by the reason. Made once for many
/// searches, so that a search spends nothing on hosts that are gone.
#pragma once

#include "Decision/Job/HostRegistry.h"
#include "Decision/Placement/HostEligibility.h"

#include <map>
#include <string>
#include <vector>

namespace Plantainpier {

/// The open hosts of one service.
struct OpenHostGroup {
    /// In the order of the registry.
    std::vector<Host*> hosts;
    /// The hosts that no request of the service needs to examine.
    HostEligibilityCounts closed;
};

/// Valid until a host is added, removed, listed, draining or connected. Used by TaskScheduler and FillerRelocator.
class OpenHosts {
public:
    OpenHosts() = default;
    explicit OpenHosts(HostRegistry& hosts);

    const OpenHostGroup& ofService(const std::string& service) const;
    /// Whether the host can take tasks of its service; if not, why. Eligible says nothing about room.
    static HostEligibility eligibility(const Host& host);

private:
    std::map<std::string, OpenHostGroup> m_groups;
    /// For services without a host.
    OpenHostGroup m_noHosts;
};

} // namespace Plantainpier
