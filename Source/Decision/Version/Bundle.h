/// A policy bundle: one version of the admission and quota rules that operators sign. Used by entries and sides.
#pragma once

#include "Base/Json.h"
#include "Base/Time.h"

#include <map>
#include <string>
#include <vector>

namespace Plantainpier {

/// One class of latency-critical requests.
struct RequestClass {
    std::string name;
    /// If false, all requests of the class are refused.
    bool admitted = true;
    /// Lower is more urgent.
    int priority = 0;
    /// Percentage of a target's slots that other classes cannot use while requests of this class wait.
    int guaranteedPercent = 0;
    /// Maximum number of requests of the class that wait at one side.
    int queueLimit = 0;
};

/// The resources that one team's running tasks may use at the same time.
struct TeamQuota {
    std::string team;
    std::int64_t milliProcessors = 0;
    std::int64_t memoryMegabytes = 0;
    int accelerators = 0;
};

/// The parsed rules of one version. Immutable, so that the parts of a process share one instance.
class Bundle {
public:
    /// Parses and checks the rules. The error message lists every error in the rules with its JSON path.
    static Result<Bundle> parse(const Json& content);

    const RequestClass* findClass(const std::string& className) const;
    /// Index into classes(), or -1 if there is no class of this name.
    int indexOfClass(const std::string& className) const;
    const TeamQuota* findQuota(const std::string& team) const;

    std::int64_t version() const { return m_version; }
    const std::vector<RequestClass>& classes() const { return m_classes; }
    /// Maximum number of retries and hedged requests per hundred requests.
    int retryPercent() const { return m_retryPercent; }
    /// Number of sides that record the key of a non-idempotent request before the request runs.
    int witnessCount() const { return m_witnessCount; }
    /// How long sides retain answers and keys.
    Duration answerRetention() const { return m_answerRetention; }
    /// Percentage of each host's capacity that batch tasks may commit.
    int batchPercent() const { return m_batchPercent; }

private:
    Bundle() = default;

    std::int64_t m_version = 0;
    std::vector<RequestClass> m_classes;
    std::map<std::string, TeamQuota> m_quotas;
    int m_retryPercent = 0;
    int m_witnessCount = 0;
    Duration m_answerRetention {};
    int m_batchPercent = 0;
};

} // namespace Plantainpier
