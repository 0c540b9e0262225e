/// Learns how much headroom fillers of each image take from serving tasks of each image; only few pairs of images
/// interfere. Tasks of one serving job share their load, so differences in headroom between hosts come from co-located
/// fillers; a ridge regression over these differences identifies the interfering pairs within seconds.
#pragma once

#include "Decision/Job/HostRegistry.h"

#include <map>
#include <vector>

namespace Plantainpier {

/// The pressure of each pair of images: the headroom that the filler takes when it uses the whole host. Updated by
/// JobOwner, read by PaceController.
class InterferenceModel {
public:
    /// What the model has learned, for a later owner.
    Wire::InterferenceRecord record() const;
    /// Begins with what an earlier owner has learned. Samples of this owner replace it within seconds. Ignores parts of
    /// the record that do not fit together.
    void restore(const Wire::InterferenceRecord& record);
    /// Updates the model from the newest lists of all hosts.
    void updatePressures(Instant now, const HostRegistry& hosts);
    /// The pressure of a filler image on a serving image; never below zero.
    double pressure(const std::string& serving, const std::string& filler) const;
    /// Headroom that a filler at full pace takes from serving tasks of an image on the host.
    double headroomCost(
        const Host& host, const std::string& serving, const std::string& filler, std::int64_t milliCores) const;
    /// The serving tasks of a host that report a tail latency and have completed their warm-up, grouped by image.
    std::vector<ServingGroup> servingGroups(Instant now, const Host& host) const;

private:
    /// The headroom of one serving task and, by filler index, the share of its host that fillers of each image use.
    struct Sample {
        double headroom;
        std::vector<double> fillerShares;
    };
    /// The normal equations for one serving image and their solution.
    struct Regression {
        std::vector<std::vector<double>> normalMatrix;
        std::vector<double> normalVector;
        std::vector<double> pressures;
        /// Pressures that an earlier owner has learned, and their weights in the normal equations.
        std::vector<double> inheritedPressures;
        std::vector<double> inheritedWeights;
    };

    std::size_t fillerIndex(const std::string& filler);
    std::vector<double> sharesOfFillers(const Host& host);
    /// Extends the regression to all filler images seen so far.
    void extend(Regression& regression) const;
    /// Removes samples whose headroom is too close to zero to reflect all the headroom that fillers take.
    static void removeCensored(const Regression& regression, std::vector<Sample>& samples);
    /// Adds the samples of one job to the normal equations, as differences from their mean.
    void addSamples(Regression& regression, const std::vector<Sample>& samples) const;
    static void solve(Regression& regression);

    std::map<std::string, std::size_t> m_fillerIndexes;
    std::map<std::string, Regression> m_regressions;
    Instant m_observedAt;
};

} // namespace Plantainpier
