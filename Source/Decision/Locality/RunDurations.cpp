#include "Decision/Locality/RunDurations.h"

namespace Plantainpier {

namespace {

    constexpr int minimumRunsOfStep = 2;
    constexpr int minimumRunsOfImage = 3;
    /// A new run counts for at least one in this many, so that the mean follows a change.
    constexpr int maximumWeight = 16;
    constexpr Duration cleanupInterval = seconds(10);
    constexpr Duration retention = seconds(120);

} // namespace

void RunDurations::Mean::add(Instant now, Duration duration)
{
    runs = std::min(runs + 1, maximumWeight);
    value += (duration - value) / runs;
    updatedAt = now;
}

void RunDurations::record(Instant now, const Host& host, const HostRun& run, double slowdown)
{
    const double share = (run.filler ? run.recentPace : 1) / slowdown;
    const Duration duration = std::chrono::duration_cast<Duration>((now - run.placedAt) * share);
    m_steps[StepKey { run.task.jobId, run.task.occurrence, run.task.step }].add(now, duration);
    if (!run.image.empty())
        m_images[ImageKey { host.service, run.image }].add(now, duration);
    removeOld(now);
}

std::optional<Duration> RunDurations::find(
    const std::string& service, const Wire::TaskName& task, const std::string& image) const
{
    const std::map<StepKey, Mean>::const_iterator step
        = m_steps.find(StepKey { task.jobId, task.occurrence, task.step });
    if (step != m_steps.end() && step->second.runs >= minimumRunsOfStep)
        return step->second.value;
    const std::map<ImageKey, Mean>::const_iterator it = m_images.find(ImageKey { service, image });
    if (it != m_images.end() && it->second.runs >= minimumRunsOfImage)
        return it->second.value;
    return std::nullopt;
}

void RunDurations::removeOld(Instant now)
{
    if (now - m_cleanedAt < cleanupInterval)
        return;
    m_cleanedAt = now;
    const auto isOld = [now](const auto& entry) { return now - entry.second.updatedAt > retention; };
    std::erase_if(m_steps, isOld);
    std::erase_if(m_images, isOld);
}

} // namespace Plantainpier
