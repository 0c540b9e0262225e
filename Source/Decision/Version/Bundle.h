/// A policy bundle: the versioned rules that operators sign. Lives for a version.
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
    /// False turns the whole class away.
    bool admitted = true;
    /// Lower is more urgent.
    int priority = 0;
    /// Part of a target's slots that other classes cannot take while this class asks for them.
    int guaranteedPercent = 0;
    /// Requests that may wait at one side.
    int queueLimit = 0;
};

/// What one team may have running at once.
struct TeamQuota {
    std::string team;
    std::int64_t milliProcessors = 0;
    std::int64_t memoryMegabytes = 0;
    int accelerators = 0;
};

/// The rules of one version. Immutable once parsed; processes share it by pointer to const.
class Bundle {
public:
    /// Checks the rules; every fault is named with its JSON path.
    static Result<Bundle> parse(const Json& content);

    const RequestClass* findClass(const std::string& className) const;
    /// Index into classes(); -1 when there is none of this name.
    int indexOfClass(const std::string& className) const;
    const TeamQuota* findQuota(const std::string& team) const;

    std::int64_t version() const { return m_version; }
    const std::vector<RequestClass>& classes() const { return m_classes; }
    /// Retries and hedges allowed per hundred requests.
    int retryPercent() const { return m_retryPercent; }
    /// Sides that record a non-idempotent key before it runs.
    int witnessCount() const { return m_witnessCount; }
    /// How long sides keep answers and keys.
    Duration keepAnswers() const { return m_keepAnswers; }
    /// Part of each host that batch may commit.
    int batchPercent() const { return m_batchPercent; }

private:
    Bundle() = default;

    std::int64_t m_version = 0;
    std::vector<RequestClass> m_classes;
    std::map<std::string, TeamQuota> m_quotas;
    int m_retryPercent = 0;
    int m_witnessCount = 0;
    Duration m_keepAnswers {};
    int m_batchPercent = 0;
};

} // namespace Plantainpier
