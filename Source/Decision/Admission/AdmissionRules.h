/// The settings of admission and of the order under overload.
#pragma once

#include "Base/NameTable.h"

#include <array>

namespace Plantainpier {

enum class AdmissionMode {
    /// Every job that fits the hosts is accepted.
    Off,
    /// Jobs that cannot be completed even late are rejected at submission.
    RejectUnservable,
};

inline constexpr std::array admissionModeNames {
    NamedValue { AdmissionMode::Off, "off" },
    NamedValue { AdmissionMode::RejectUnservable, "reject_unservable" },
};

enum class OverloadOrder {
    /// Steps that can be on time are placed by least slack.
    LeastSlack,
    /// Jobs that cannot all be on time together are reduced to a set that can; see FeasibleOrder.
    FeasibleSet,
};

inline constexpr std::array overloadOrderNames {
    NamedValue { OverloadOrder::LeastSlack, "least_slack" },
    NamedValue { OverloadOrder::FeasibleSet, "feasible_set" },
};

} // namespace Plantainpier
