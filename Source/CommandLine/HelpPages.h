/// The help pages under Help, built into the tool.
#pragma once

#include <string>
#include <vector>

namespace Plantainpier {

/// One page: its kind (command, setting, rule), its name, its text.
struct HelpPage {
    std::string kind;
    std::string name;
    std::string text;
};

/// All pages, sorted by kind and name. The definition is made from the files by the build.
const std::vector<HelpPage>& helpPages();

} // namespace Plantainpier
