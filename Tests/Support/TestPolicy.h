/// A policy with one queue. Used by the tests of entries on the platform.
#pragma once

#include "Base/Result.h"
#include "Decision/Version/QueuePolicy.h"

#include <optional>
#include <string>

namespace Plantainpier {

/// Decodes any text as version 1 with the queue "checks", which desk.example serves below /checks/.
inline Result<PolicySnapshot> decodeTestPolicy(const std::string&)
{
    PolicySnapshot policy;
    policy.version = 1;
    QueuePolicy queue;
    queue.name = "checks";
    queue.hostName = "desk.example";
    queue.pathPrefix = "/checks/";
    queue.service = "desk";
    policy.queues.push_back(queue);
    return policy;
}

/// Returns the zone of a key such as closed/north.
inline std::optional<std::string> closedZoneOfTestKey(const std::string& key)
{
    const std::string prefix = "closed/";
    return key.starts_with(prefix) ? std::optional<std::string>(key.substr(prefix.size())) : std::nullopt;
}

} // namespace Plantainpier
