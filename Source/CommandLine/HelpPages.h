/// The help pages in the folder Help, embedded in the tool at build time.
#pragma once

#include <string>
#include <vector>

namespace Plantainpier {

/// One help page. The kind is the name of its folder (command, node, rule, setting); the name is its
/// file name without the extension.
struct HelpPage {
    std::string kind;
    std::string name;
    std::string text;
};

/// All pages, sorted by kind and name. Utilities/EmbedHelp.cmake generates the definition.
const std::vector<HelpPage>& helpPages();

} // namespace Plantainpier
