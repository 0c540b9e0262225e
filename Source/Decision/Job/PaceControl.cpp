#include "Decision/Job/PaceControl.h"

#include "Base/LogLine.h"

#include <algorithm>
#include <vector>

namespace Plantainpier {

namespace {

    constexpr int fullPace = 100;

} // namespace

int PaceControl::order(Host& host, HostRun& run, int percent) const
{
    const int change = std::abs(percent - run.orderedPercent);
    const bool edge = percent == 0 || percent == fullPace;
    if (change == 0 || (change < m_rules.smallestChange && !edge))
        return 0;
    Wire::PaceOrder order;
    order.task = run.task;
    order.run = run.run;
    order.percent = percent;
    host.orders.paces.push_back(std::move(order));
    run.orderedPercent = percent;
    return 1;
}

int PaceControl::adjust(Instant now, Host& host, const InterferenceModel& model, Actions& actions) const
{
    std::vector<std::pair<double, HostRun*>> fillers;
    for (std::pair<const RunKey, HostRun>& entry : host.runs) {
        HostRun& run = entry.second;
        if (run.filler && run.phase == RunPhase::Running)
            fillers.emplace_back(model.pressure(run.image), &run);
    }
    if (fillers.empty())
        return 0;
    std::sort(fillers.begin(), fillers.end(), [](const auto& one, const auto& other) {
        return one.first < other.first || (one.first == other.first && one.second->since < other.second->since);
    });
    const double measured = InterferenceModel::headroom(now, host);
    const bool alarm = measured < m_rules.alarmHeadroom;
    if (!alarm)
        host.alarmSince = now;
    const bool lasting = now - host.alarmSince >= m_rules.alarmPatience;
    double bearable = measured + model.exerted(host) - m_rules.keptHeadroom;
    const double capacity = static_cast<double>(std::max<std::int64_t>(1, host.capacity.milliProcessors));
    int sent = 0;
    for (const std::pair<double, HostRun*>& entry : fillers) {
        HostRun& run = *entry.second;
        const double atFullPace = entry.first * static_cast<double>(run.demand.milliProcessors) / capacity;
        int percent = fullPace;
        if (entry.first < m_rules.quietPressure) {
            percent = lasting ? 0 : fullPace;
        } else if (alarm || bearable <= 0) {
            percent = 0;
        } else if (atFullPace > bearable) {
            percent = static_cast<int>(bearable / atFullPace * fullPace);
        }
        bearable -= atFullPace * percent / fullPace;
        sent += order(host, run, percent);
    }
    if (sent > 0)
        actions.push_back(WriteLog { LogLine("pace")
                                         .add("host", host.hostId)
                                         .add("orders", sent)
                                         .add("fillers", fillers.size())
                                         .add("headroom_percent", static_cast<int>(measured * 100))
                                         .add("exerted_percent", static_cast<int>(model.exerted(host) * 100))
                                         .add("alarm", alarm)
                                         .add("list_age_ms", toMilliseconds(now - host.clockReadAt))
                                         .text() });
    return sent;
}

} // namespace Plantainpier
