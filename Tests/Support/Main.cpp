/// Runs the registered tests that the arguments name, or all tests without arguments.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <csignal>
#include <iostream>
#include <sodium.h>

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (sodium_init() < 0)
        return 1;
    CppUnit::TestResult result;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    result.addListener(&collector);
    result.addListener(&progress);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    for (int n = 1; n < argc; ++n)
        runner.run(result, argv[n]);
    if (argc == 1)
        runner.run(result);
    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    std::cout << collector.runTests() - collector.testFailuresTotal() << " passed, " << collector.testFailuresTotal()
              << " failed\n";
    return collector.wasSuccessful() ? 0 : 1;
}
