/// How fillers are placed, limited and moved: the setting `filler_placement`.
#pragma once

#include "Base/NameTable.h"

namespace Plantainpier {

enum class FillerPlacement {
    /// A filler is placed where the newest list lets it run, and is moved when it would complete earlier elsewhere.
    Pace,
    /// A filler is placed where it can stay, and is moved only if that is sure to pay.
    Stay,
};

inline constexpr std::array fillerPlacementNames {
    NamedValue { FillerPlacement::Pace, "pace" },
    NamedValue { FillerPlacement::Stay, "stay" },
};

} // namespace Plantainpier
