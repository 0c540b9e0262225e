/// Tests that a new owner knows the interference between images: adopted serving tasks count at once, and the pressures
/// that an earlier owner has learned are stored and restored.
#include "Decision/Placement/InterferenceModel.h"
#include "Support/JobFixture.h"
#include "Wire/Codec.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Plantainpier;

class InterferenceRecordTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(InterferenceRecordTest);
    CPPUNIT_TEST(anAdoptedServingTaskThatIsReadyCountsAtOnce);
    CPPUNIT_TEST(aNewOwnerBeginsWithTheLearnedPressures);
    CPPUNIT_TEST(samplesOfANewOwnerReplaceTheRecord);
    CPPUNIT_TEST(passesOverFiguresThatDoNotFit);
    CPPUNIT_TEST(anOwnerStoresWhatItHasLearnedAndLoadsIt);
    CPPUNIT_TEST(storesNothingWithoutTheSetting);
    CPPUNIT_TEST(logsARecordThatCannotBeDecoded);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char* servingImage = "desk-image";
    static constexpr const char* fillerImage = "plan-image";
    static constexpr std::int64_t targetMilliseconds = 100;
    /// Pressure of a pair of images without samples.
    static constexpr double priorPressure = 2.0;

    static HostRun makeServingRun(int index, std::int64_t tailMilliseconds)
    {
        HostRun run;
        run.task = makeTask("00000000000000aa", 0, index);
        run.run = 1;
        run.image = servingImage;
        run.longRunning = true;
        run.targetMilliseconds = targetMilliseconds;
        run.listed = true;
        run.usage = tailMilliseconds;
        run.progressPercent = 100;
        return run;
    }

    static HostRun makeFillerRun(std::int64_t milliCores)
    {
        HostRun run;
        run.task = makeTask("00000000000000bb", 0, 0);
        run.run = 1;
        run.image = fillerImage;
        run.filler = true;
        run.listed = true;
        run.usage = milliCores;
        return run;
    }

    /// Two hosts with one serving task each, the first one beside a filler that takes the given headroom when it uses
    /// the whole host. Updates the model ten seconds long.
    static void learn(InterferenceModel& model, double pressure)
    {
        constexpr std::int64_t capacity = 32'000;
        constexpr double headroomAlone = 5;
        constexpr double fillerShare = 0.5;
        HostRegistry hosts;
        for (int n = 0; n < 2; ++n) {
            Host& host = hosts.hosts()["host-" + std::to_string(n)];
            host.capacity.milliProcessors = capacity;
            const double headroom = headroomAlone - (n == 0 ? pressure * fillerShare : 0);
            HostRegistry::addRun(host, makeServingRun(n, static_cast<std::int64_t>(targetMilliseconds / headroom)));
        }
        HostRegistry::addRun(hosts.hosts()["host-0"], makeFillerRun(static_cast<std::int64_t>(fillerShare * capacity)));
        for (int now = 10'000; now < 20'000; now += 500) {
            for (std::pair<const std::string, Host>& entry : hosts.hosts())
                entry.second.clockReadAt = at(now);
            model.updatePressures(at(now), hosts);
        }
    }

    // Guards against fillers at full pace after a change of owner, until adopted serving tasks pass for warm.
    void anAdoptedServingTaskThatIsReadyCountsAtOnce()
    {
        const InterferenceModel model;
        Host host;
        host.capacity.milliProcessors = 32'000;
        HostRun run = makeServingRun(0, 2 * targetMilliseconds);
        run.placedAt = at(1000);
        HostRun& added = HostRegistry::addRun(host, run);
        CPPUNIT_ASSERT(model.servingGroups(at(1000), host).empty());
        added.adopted = true;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), model.servingGroups(at(1000), host).size());
        CPPUNIT_ASSERT(model.servingGroups(at(1000), host).front().headroom < 1);
        added.progressPercent = 40;
        CPPUNIT_ASSERT(model.servingGroups(at(1000), host).empty());
    }

    // Guards against a new owner that has to learn again which fillers interfere.
    void aNewOwnerBeginsWithTheLearnedPressures()
    {
        InterferenceModel earlier;
        learn(earlier, 6);
        const double learned = earlier.pressure(servingImage, fillerImage);
        CPPUNIT_ASSERT(learned > 2 * priorPressure);
        InterferenceModel model;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(priorPressure, model.pressure(servingImage, fillerImage), 1e-9);
        model.restore(earlier.record());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(learned, model.pressure(servingImage, fillerImage), 0.2 * learned);
    }

    // Guards against a record that outweighs what the hosts show now.
    void samplesOfANewOwnerReplaceTheRecord()
    {
        InterferenceModel earlier;
        learn(earlier, 6);
        InterferenceModel model;
        model.restore(earlier.record());
        for (int n = 0; n < 4; ++n)
            learn(model, 0);
        CPPUNIT_ASSERT(model.pressure(servingImage, fillerImage) < 0.7 * earlier.pressure(servingImage, fillerImage));
    }

    // Guards against a record of another writer whose figures reach the paces.
    void passesOverFiguresThatDoNotFit()
    {
        Wire::InterferenceRecord record;
        record.fillers = { fillerImage };
        Wire::ServingPressures tooMany;
        tooMany.image = servingImage;
        tooMany.pressures = { 9000, 9000 };
        tooMany.weights = { 3000, 3000 };
        Wire::ServingPressures unequal;
        unequal.image = servingImage;
        unequal.pressures = { 9000 };
        Wire::ServingPressures implausible;
        implausible.image = servingImage;
        implausible.pressures = { 2'000'000'000 };
        implausible.weights = { 3000 };
        record.serving = { tooMany, unequal, implausible };
        InterferenceModel model;
        model.restore(record);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(priorPressure, model.pressure(servingImage, fillerImage), 1e-9);
    }

    static StoreRecord learnedRecord()
    {
        InterferenceModel model;
        learn(model, 6);
        return StoreRecord { StoreKey::interference(), Wire::encode(model.record()) };
    }

    static std::size_t countStored(const OwnerHarness& harness)
    {
        return static_cast<std::size_t>(std::count_if(harness.storedRecords.begin(), harness.storedRecords.end(),
            [](const StoreRecord& record) { return record.key == StoreKey::interference(); }));
    }

    // Guards against an owner whose successors do not receive what it knows.
    void anOwnerStoresWhatItHasLearnedAndLoadsIt()
    {
        OwnerRules rules;
        rules.interferenceRecordInterval = seconds(2);
        OwnerHarness harness(1, rules);
        harness.owner.loadRecords({ learnedRecord() });
        harness.settle(3000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), countStored(harness));
        const std::optional<Wire::InterferenceRecord> stored
            = Wire::decode<Wire::InterferenceRecord>(harness.storedRecords.back().value);
        CPPUNIT_ASSERT(stored && stored->serving.size() == 1 && stored->serving.front().image == servingImage);
    }

    // Guards against writes in deployments that do not ask for them.
    void storesNothingWithoutTheSetting()
    {
        OwnerHarness harness;
        harness.owner.loadRecords({ learnedRecord() });
        harness.settle(3000);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countStored(harness));
    }

    // Guards against an unreadable record that is passed over without a trace, or that ends the take-over.
    void logsARecordThatCannotBeDecoded()
    {
        OwnerHarness harness;
        harness.owner.loadRecords({ StoreRecord { StoreKey::interference(), "\xff\xff\xff" } });
        Actions actions;
        harness.owner.finishLoad(at(0), 0, at(0), actions);
        harness.collectActions(actions);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.linesOf("record_unreadable").size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InterferenceRecordTest);
