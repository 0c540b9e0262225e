/// Learns how much fillers of each image push serving tasks of each image. Answers the pattern "few pairs of many are
/// noisy": tasks of one serving job share their load, so that their headroom on different hosts differs by what runs
/// beside them; a ridge regression over these differences tells the pairs apart within seconds.
#pragma once

#include "Decision/Job/HostRegistry.h"

#include <map>
#include <vector>

namespace Plantainpier {

/// Pressures by pair of images: the headroom that a filler takes when it uses the whole host.
class InterferenceModel {
public:
    /// Takes the newest lists of all hosts in.
    void observe(Instant now, const HostRegistry& hosts);
    /// The pressure of a filler image on a serving image; never below zero.
    double pressure(const std::string& serving, const std::string& filler) const;
    /// Headroom that a filler at full pace takes from serving tasks of an image on the host.
    double push(const Host& host, const std::string& serving, const std::string& filler, std::int64_t milliCores) const;
    /// The serving tasks of a host that are at work, by image.
    std::vector<ServingGroup> groups(Instant now, const Host& host) const;

private:
    struct Sample {
        double headroom;
        std::vector<double> use;
    };
    /// Normal equations of one serving image and their solution.
    struct Regression {
        std::vector<std::vector<double>> squares;
        std::vector<double> products;
        std::vector<double> pressures;
    };

    std::size_t indexOf(const std::string& filler);
    std::vector<double> uses(const Host& host);
    void grow(Regression& regression) const;
    /// Removes samples whose tail cannot show all that is known to be taken.
    static void dropCensored(const Regression& regression, std::vector<Sample>& group);
    void learn(Regression& regression, const std::vector<Sample>& group) const;
    static void solve(Regression& regression);

    std::map<std::string, std::size_t> m_fillers;
    std::map<std::string, Regression> m_regressions;
    Instant m_observedAt;
};

} // namespace Plantainpier
