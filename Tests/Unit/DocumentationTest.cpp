/// The pages say what the code says: errors, settings, rules and commands.
#include "CommandLine/HelpPages.h"
#include "Shell/Process/NodeSettings.h"
#include "Shell/Process/Settings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fstream>
#include <sstream>

using namespace Plantainpier;

class DocumentationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(DocumentationTest);
    CPPUNIT_TEST(theErrorPageIsTheTable);
    CPPUNIT_TEST(everySettingHasAPage);
    CPPUNIT_TEST(everyRuleAndCommandHasAPage);
    CPPUNIT_TEST_SUITE_END();

    static bool hasPage(const std::string& kind, const std::string& pageName)
    {
        for (const HelpPage& page : helpPages()) {
            if (page.kind == kind && page.name == pageName)
                return true;
        }
        return false;
    }

    void theErrorPageIsTheTable()
    {
        std::ifstream file(std::string(PROJECT_DIRECTORY) + "/docs/ERRORS.md");
        std::ostringstream text;
        text << file.rdbuf();
        for (const ErrorCodeRow& row : errorCodeTable) {
            std::ostringstream line;
            line << "| " << static_cast<int>(row.code) << " | `" << row.name << "` | " << row.httpStatus << " | "
                 << row.meaning << " |\n";
            CPPUNIT_ASSERT_MESSAGE(
                "docs/ERRORS.md lacks: " + line.str(), text.str().find(line.str()) != std::string::npos);
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
