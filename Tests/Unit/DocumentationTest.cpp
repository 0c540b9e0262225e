/// The documentation agrees with the code: errors, settings, bundle rules, commands and log events.
#include "CommandLine/HelpPages.h"
#include "Shell/Process/NodeSettings.h"
#include "Shell/Process/Settings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>

using namespace Plantainpier;

class DocumentationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DocumentationTest);
    CPPUNIT_TEST(theErrorPageMatchesTheTable);
    CPPUNIT_TEST(everySettingHasAPage);
    CPPUNIT_TEST(everyRuleAndCommandHasAPage);
    CPPUNIT_TEST(everyEventOnThePlatformIsInTheTable);
    CPPUNIT_TEST_SUITE_END();

    static bool hasPage(const std::string& kind, const std::string& pageName)
    {
        for (const HelpPage& page : helpPages()) {
            if (page.kind == kind && page.name == pageName)
                return true;
        }
        return false;
    }

    static std::string textOf(const std::filesystem::path& path)
    {
        std::ifstream file(path);
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    /// Log events of the programs on the users' platform: they come from platform/ and from these files under
    /// Source/Decision.
    void everyEventOnThePlatformIsInTheTable()
    {
        const std::filesystem::path root(PROJECT_DIRECTORY);
        const std::string table = textOf(root / "docs/OPERATIONS.md");
        std::vector<std::filesystem::path> sources;
        for (const std::filesystem::directory_entry& entry : std::filesystem::directory_iterator(root / "platform"))
            sources.push_back(entry.path());
        for (const char* name : { "Admission/OverloadControl", "Job/CapacityLogger", "Job/JobOwner",
                 "Job/PaceController", "Job/RunTracker", "Job/TaskScheduler", "Job/WaitLogger", "Process/HostAgent",
                 "Process/JobEntryCore", "Process/Ownership", "Process/PeerLink" })
            sources.push_back(root / "Source/Decision" / (std::string(name) + ".cpp"));
        const std::regex event(R"re(LogLine(?: line)?\("([a-z_]+)"\))re");
        std::size_t found = 0;
        for (const std::filesystem::path& path : sources) {
            const std::string text = textOf(path);
            for (std::sregex_iterator it(text.begin(), text.end(), event), end; it != end; ++it) {
                const std::string name = (*it)[1].str();
                ++found;
                CPPUNIT_ASSERT_MESSAGE("docs/OPERATIONS.md lacks the event " + name + " of " + path.string(),
                    table.find("`" + name + "`") != std::string::npos);
            }
        }
        CPPUNIT_ASSERT(found > 30);
    }

    void theErrorPageMatchesTheTable()
    {
        const std::string text = textOf(std::string(PROJECT_DIRECTORY) + "/docs/ERRORS.md");
        for (const ErrorCodeRow& row : errorCodeTable) {
            std::ostringstream line;
            line << "| " << static_cast<int>(row.code) << " | `" << row.name << "` | " << row.httpStatus << " | "
                 << row.meaning << " |\n";
            CPPUNIT_ASSERT_MESSAGE("docs/ERRORS.md lacks: " + line.str(), text.find(line.str()) != std::string::npos);
        }
    }

    void everySettingHasAPage()
    {
        for (const std::string& key : settingKeys())
            CPPUNIT_ASSERT_MESSAGE("Help/setting/" + key + ".md", hasPage("setting", key));
        for (const std::string& key : nodeSettingKeys())
            CPPUNIT_ASSERT_MESSAGE("Help/node/" + key + ".md", hasPage("node", key));
    }

    void everyRuleAndCommandHasAPage()
    {
        for (const char* rule : { "version", "classes", "retry_percent", "witness_count", "keep_answers_seconds",
                 "batch_percent", "quotas" })
            CPPUNIT_ASSERT_MESSAGE(rule, hasPage("rule", rule));
        for (const char* command :
            { "request", "outcome", "job", "status", "bundle", "key", "config", "help", "exit-codes" })
            CPPUNIT_ASSERT_MESSAGE(command, hasPage("command", command));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(DocumentationTest);
