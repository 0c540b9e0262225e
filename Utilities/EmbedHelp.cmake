# Generates the C++ source OUTPUT that holds every page of HELP_DIRECTORY as a raw string. Source/CMakeLists.txt runs it
# at build time.
file(GLOB pages RELATIVE ${HELP_DIRECTORY} ${HELP_DIRECTORY}/*/*.md)
list(SORT pages)
set(rows "")
foreach(page IN LISTS pages)
  get_filename_component(kind ${page} DIRECTORY)
  get_filename_component(name ${page} NAME_WE)
  file(READ ${HELP_DIRECTORY}/${page} text)
  string(APPEND rows "        { \"${kind}\", \"${name}\", R\"help(${text})help\" },\n")
endforeach()
file(WRITE ${OUTPUT} "#include \"CommandLine/HelpPages.h\"

namespace Plantainpier {

const std::vector<HelpPage>& helpPages()
{
    static const std::vector<HelpPage> pages {
${rows}    };
    return pages;
}

} // namespace Plantainpier
")
