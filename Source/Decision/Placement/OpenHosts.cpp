#include "Decision/Placement/OpenHosts.h"

namespace Plantainpier {

HostEligibility OpenHosts::eligibility(const Host& host)
{
    if (!host.listed)
        return HostEligibility::NotListed;
    if (host.draining)
        return HostEligibility::Draining;
    if (host.zoneClosed)
        return HostEligibility::ZoneClosed;
    if (host.link == noLink)
        return HostEligibility::NoLink;
    return host.refusesConnections ? HostEligibility::RefusesConnections : HostEligibility::Eligible;
}

OpenHosts::OpenHosts(HostRegistry& hosts)
{
    std::map<std::string, int> hostsOfService;
    for (std::pair<const std::string, Host>& entry : hosts.hosts()) {
        Host& host = entry.second;
        OpenHostGroup& group = m_groups[host.service];
        ++hostsOfService[host.service];
        const HostEligibility reason = eligibility(host);
        if (reason == HostEligibility::Eligible)
            group.hosts.push_back(&host);
        else
            group.closed.add(reason);
    }
    const int count = static_cast<int>(hosts.hosts().size());
    for (std::pair<const std::string, OpenHostGroup>& group : m_groups)
        group.second.closed.add(HostEligibility::OtherService, count - hostsOfService[group.first]);
    m_noHosts.closed.add(HostEligibility::OtherService, count);
}

const OpenHostGroup& OpenHosts::ofService(const std::string& service) const
{
    const std::map<std::string, OpenHostGroup>::const_iterator it = m_groups.find(service);
    return it == m_groups.end() ? m_noHosts : it->second;
}

} // namespace Plantainpier
