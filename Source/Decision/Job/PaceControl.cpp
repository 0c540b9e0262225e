#include "Decision/Job/PaceControl.h"

#include <algorithm>

namespace Plantainpier {

namespace {

    constexpr std::int64_t fullPace = 100;

    /// The worst tail of the host's serving tasks as a share of its target.
    double worstTail(const Host& host)
    {
        double worst = 0;
        for (const std::pair<const RunKey, HostRun>& entry : host.runs) {
            const HostRun& run = entry.second;
            if (run.targetMilliseconds > 0 && run.listed)
                worst = std::max(worst, static_cast<double>(run.usage) / static_cast<double>(run.targetMilliseconds));
        }
        return worst;
    }

} // namespace

int PaceControl::adjust(Instant now, Host& host) const
{
    const double tail = worstTail(host);
    if (now - host.paceChangedAt >= m_rules.settle) {
        std::int64_t wanted = host.pacePercent;
        if (tail > m_rules.high)
            wanted = static_cast<std::int64_t>(static_cast<double>(wanted) * m_rules.downFactor);
        else if (tail < m_rules.low)
            wanted = std::min(fullPace, wanted + m_rules.upStep);
        if (wanted != host.pacePercent) {
            host.pacePercent = wanted;
            host.paceChangedAt = now;
        }
    }
    int sent = 0;
    for (std::pair<const RunKey, HostRun>& entry : host.runs) {
        HostRun& run = entry.second;
        if (!run.filler || run.phase != RunPhase::Running || run.percent == host.pacePercent)
            continue;
        Wire::PaceOrder order;
        order.task = run.task;
        order.run = run.run;
        order.percent = static_cast<std::int32_t>(host.pacePercent);
        host.orders.paces.push_back(std::move(order));
        run.percent = static_cast<int>(host.pacePercent);
        ++sent;
    }
    return sent;
}

} // namespace Plantainpier
