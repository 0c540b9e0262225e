/// Durations of runs that completed, by step and by image. The estimates of clients are off by up to 0.9 in either
/// direction, so LocalityWait uses what runs have shown.
#pragma once

#include "Decision/Job/HostRegistry.h"

#include <map>
#include <string>
#include <tuple>

namespace Plantainpier {

/// Durations near the data or group. Lives as long as the term.
class RunDurations {
public:
    /// Records a completed run that was not resumed from a checkpoint. slowdown is the remote factor for a run away
    /// from its data or group, and 1 otherwise.
    void record(Instant now, const Host& host, const HostRun& run, double slowdown);
    /// Returns the mean duration of the step, or else of the image; nothing if too few runs have completed.
    std::optional<Duration> find(
        const std::string& service, const Wire::TaskName& task, const std::string& image) const;

private:
    using StepKey = std::tuple<std::string, int, int>;
    using ImageKey = std::pair<std::string, std::string>;
    struct Mean {
        Duration value {};
        int runs = 0;
        Instant updatedAt;

        void add(Instant now, Duration duration);
    };

    void removeOld(Instant now);

    std::map<StepKey, Mean> m_steps;
    std::map<ImageKey, Mean> m_images;
    Instant m_cleanedAt;
};

} // namespace Plantainpier
