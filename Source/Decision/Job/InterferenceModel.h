/// Learns how much each image of fillers pushes the tasks that serve beside it. Answers the pattern "few of many images
/// are noisy": tasks of one serving job share their load, so that their headroom on different hosts differs by what
/// runs beside them; a ridge regression over these differences tells the images apart within seconds.
#pragma once

#include "Decision/Job/HostBook.h"

#include <map>
#include <vector>

namespace Plantainpier {

/// Headroom is the target over the tail: 1 at the target, 3 when the tail is a third of it. A filler that uses the
/// whole host lowers it by the pressure of its image.
class InterferenceModel {
public:
    /// Takes the newest lists of all hosts in.
    void observe(Instant now, const HostBook& hosts);
    /// The pressure of an image; never below zero.
    double pressure(const std::string& image) const;
    /// The pressure that the fillers of a host exert now, by the processors that they use.
    double exerted(const Host& host) const;
    /// The least headroom of the serving tasks of a host, as listed; a large number when nothing serves there.
    static double headroom(Instant now, const Host& host);

private:
    struct Sample {
        double headroom;
        std::vector<double> use;
    };

    std::size_t indexOf(const std::string& image);
    std::vector<double> uses(const Host& host);
    void learn(const std::vector<Sample>& group);
    void solve();

    std::map<std::string, std::size_t> m_images;
    /// Normal equations of the regression.
    std::vector<std::vector<double>> m_squares;
    std::vector<double> m_products;
    std::vector<double> m_pressures;
    Instant m_observedAt;
};

} // namespace Plantainpier
