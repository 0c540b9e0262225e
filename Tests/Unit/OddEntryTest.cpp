/// Tests invalid input from other writers, such as records, announcements, settings and jobs: each invalid entry is
/// skipped or refused alone, ends no process, and does not affect the valid entries beside it.
#include "Decision/Process/HostAgent.h"
#include "Decision/Process/JobEntryCore.h"
#include "Shell/Process/NodeSettings.h"
#include "Support/JobFixture.h"
#include "Support/VirtualStore.h"
#include "Wire/Codec.h"
#include "platform/HostProtocol.h"
#include "platform/JobProtocol.h"
#include "platform/StoreProtocol.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/resource.h>

using namespace Plantainpier;
using namespace Plantainpier::Platform;

class OddEntryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OddEntryTest);
    CPPUNIT_TEST(aDeeplyNestedAnnouncementIsRefused);
    CPPUNIT_TEST(deeplyNestedTextIsRefusedEverywhere);
    CPPUNIT_TEST(ordinaryNestingIsRead);
    CPPUNIT_TEST(refusesAnnouncementsWithInvalidMembers);
    CPPUNIT_TEST(rowsWithRunNumbersOutOfRangeAreSkipped);
    CPPUNIT_TEST(rowsWithInformativeFiguresOutOfRangeAreKept);
    CPPUNIT_TEST(aResponseWithAnInvalidClockIsUncertain);
    CPPUNIT_TEST(refusesJobsWithNumbersOutOfRange);
    CPPUNIT_TEST(acceptsTheLargestOrdinaryJobs);
    CPPUNIT_TEST(aDeadlineOutOfRangeIsLong);
    CPPUNIT_TEST(anAnswerWithInvalidUtf8IsSent);
    CPPUNIT_TEST(anEmptyRecordAtTheEndOfAReadIsCounted);
    CPPUNIT_TEST(aListCountBeyondItsRecordAllocatesNoMemory);
    CPPUNIT_TEST(anInvalidClaimReplacesNoOwner);
    CPPUNIT_TEST(aSideKeepsItsOwnerAfterAnInvalidClaim);
    CPPUNIT_TEST(anInvalidPulseIsIgnored);
    CPPUNIT_TEST(invalidStoredJobsAreSkipped);
    CPPUNIT_TEST(largeNumbersOfAConfigurationStayLarge);
    CPPUNIT_TEST(reportsSettingsThatAreTooLarge);
    CPPUNIT_TEST_SUITE_END();

    /// This nesting takes two megabytes, half of the largest call that a process accepts.
    static constexpr std::size_t nestingLevels = 1'000'000;

    static std::string nested(std::size_t levels) { return std::string(levels, '[') + std::string(levels, ']'); }

    static std::string replaced(std::string text, const std::string& word, const std::string& replacement)
    {
        for (std::size_t at = text.find(word); at != std::string::npos; at = text.find(word, at + replacement.size()))
            text.replace(at, word.size(), replacement);
        return text;
    }

    static HttpResponse response(int status, const std::string& body)
    {
        HttpResponse response;
        response.kind = HttpResponse::Kind::Answered;
        response.status = status;
        response.body = body;
        return response;
    }

    /// A valid announcement with one member replaced or added.
    static std::string announcementWith(const char* key, const Json& value)
    {
        Json json { { "service", "desk" }, { "address", "10.0.0.1:80" }, { "zone", "north" }, { "state", "ready" },
            { "seq", 4 }, { "born", 1'700'000'000'000 }, { "capacity", { { "cpu", 16'000 }, { "mem_mb", 32'768 } } } };
        json[key] = value;
        return json.dump();
    }

    /// A client's call; the reply is discarded.
    class PostedJob : public HttpCall {
    public:
        explicit PostedJob(std::string text)
        {
            method = "POST";
            body = std::move(text);
        }
        bool replyWithHeaders(int status, const std::string& text,
            const std::vector<std::pair<std::string, std::string>>& headers) override
        {
            return status > 0 && !text.empty() && headers.empty();
        }
        bool reply(int status, const std::string& text, Duration pause) override
        {
            return status > 0 && !text.empty() && pause == Duration::zero();
        }
    };

    static ClientCall callWith(const std::string& body) { return decodeClientCall(PostedJob(body)); }
    static std::string jobWith(const std::string& step, const std::string& moreMembers = "")
    {
        return R"({"spec":"x","steps":[{"count":1,"cpu":100,)" + step + "}]" + moreMembers + "}";
    }

    static Wire::OwnerClaim claimOf(const std::string& nodeId, const std::string& address, int port)
    {
        Wire::OwnerClaim claim;
        claim.nodeId = nodeId;
        claim.incarnation = 1;
        claim.address = address;
        claim.port = port;
        return claim;
    }

    /// Records that another writer may append to the topic of owners; none of them names a process to follow.
    static std::vector<StoreRecord> invalidClaims()
    {
        return { StoreRecord { "owner", Wire::encode(claimOf("entry-9", "127.0.0.1", 70'000)) },
            StoreRecord { "owner", Wire::encode(claimOf("entry-9", "127.0.0.1", -1)) },
            StoreRecord { "owner", Wire::encode(claimOf("entry-9", "", 7720)) },
            StoreRecord { "owner", Wire::encode(claimOf("", "127.0.0.1", 7720)) },
            StoreRecord { "owner", std::string(1, '\0') }, StoreRecord { "owner", "no claim" },
            StoreRecord { "owner", nested(nestingLevels / 10) },
            StoreRecord { "else", Wire::encode(claimOf("entry-9", "127.0.0.1", 7720)) } };
    }

    static bool logs(const Actions& actions, const std::string& event)
    {
        const std::vector<WriteLog> lines = actionsOf<WriteLog>(actions);
        return std::any_of(lines.begin(), lines.end(),
            [&event](const WriteLog& line) { return line.line.starts_with("event=" + event + " "); });
    }

    /// One entry with a store that responds at once; a read waits until there are records to read.
    struct Entry {
        Entry()
            : ownership(NodeIdentity { "entry-1", 1, "127.0.0.1", 7720 }, OwnerRules {}, OwnershipTiming {})
        {
            ownership.onChange = [this](Instant, bool owns, Actions&) { ownershipChanges += owns ? 1 : 100; };
        }

        void run(int until)
        {
            for (; now < until; now += 5) {
                Actions actions;
                ownership.tick(at(now), now, actions);
                std::vector<ReadStore> waiting;
                waiting.swap(reads);
                for (const ReadStore& read : waiting)
                    actions.emplace_back(read);
                for (std::size_t n = 0; n < actions.size(); ++n) {
                    const Action action = actions[n];
                    handleStoreCall(action, actions);
                }
                log.insert(log.end(), actions.begin(), actions.end());
            }
        }

        void handleStoreCall(const Action& action, Actions& actions)
        {
            if (const AppendToStore* append = std::get_if<AppendToStore>(&action)) {
                ownership.onAppendResponse(at(now), append->callId, store.append(*append), actions);
            } else if (const ReadNewest* newest = std::get_if<ReadNewest>(&action)) {
                ownership.onNewestResponse(at(now), newest->callId, store.newest(*newest), actions);
            } else if (const ReadStore* read = std::get_if<ReadStore>(&action)) {
                const ReadResponse answer = store.read(*read);
                if (answer.records.empty())
                    reads.push_back(*read);
                else
                    ownership.onReadResponse(at(now), read->callId, answer, actions);
            }
        }

        void write(StoreTopic topic, std::vector<StoreRecord> records)
        {
            AppendToStore append;
            append.topic = topic;
            append.records = std::move(records);
            store.append(append);
        }

        Ownership ownership;
        VirtualStore store;
        std::vector<ReadStore> reads;
        Actions log;
        int now = 0;
        int ownershipChanges = 0;
    };

    // Guards against a stack overflow in a side: reading a nested member copied it recursively.
    void aDeeplyNestedAnnouncementIsRefused()
    {
        const std::string body = R"({"service":"desk","state":"ready","seq":1,"capacity":{"cpu":1,"mem_mb":1,"more":)"
            + nested(nestingLevels) + "}}";
        CPPUNIT_ASSERT(!isOk(decodeAnnouncement("i-1", body)));
    }

    // Guards against excessive use of memory and time for deeply nested text, which no valid writer sends.
    void deeplyNestedTextIsRefusedEverywhere()
    {
        const std::string deeplyNested = nested(nestingLevels);
        CPPUNIT_ASSERT(!isOk(parseJsonObject(R"({"a":)" + deeplyNested + "}")));
        CPPUNIT_ASSERT(!isOk(decodePolicy(R"({"version":7,"routes":[],"more":)" + deeplyNested + "}")));
        CPPUNIT_ASSERT(!callWith(jobWith(R"("more":)" + deeplyNested)).invalidReason.empty());
        CPPUNIT_ASSERT(!isOk(parseNodeSettings(
            R"({"id":"e","zone":"z","address":"10.0.0.1","peer_port":7720,"store_address":"10.0.0.2:81","new":)"
            + deeplyNested + "}")));
        CPPUNIT_ASSERT_EQUAL(HostAnswer::Uncertain,
            HostProtocol::decodeResponse(response(200, R"({"clock_ms":7,"running":)" + deeplyNested + "}")).answer);
        CPPUNIT_ASSERT_EQUAL(AppendOutcome::Uncertain,
            StoreProtocol::decodeAppend(response(200, R"({"offset":7,"end":)" + deeplyNested + "}")).outcome);
        CPPUNIT_ASSERT(!StoreProtocol::decodeNewest(response(200, R"({"items":)" + deeplyNested + "}")).answered);
        const std::string unclosed(nestingLevels, '{');
        CPPUNIT_ASSERT(!isOk(parseJsonObject(unclosed)));
    }

    // Guards against a nesting limit that counts brackets within strings.
    void ordinaryNestingIsRead()
    {
        const std::string text = R"({"a":"[[[\"[[\\","b":)" + nested(30) + "}";
        CPPUNIT_ASSERT(isOk(parseJsonObject(text)));
        const std::string quoted = R"({"a":")" + std::string(1000, '[') + R"(\"","b":[]})";
        CPPUNIT_ASSERT(isOk(parseJsonObject(quoted)));
        const std::string wide = R"({"a":[)" + std::string("[]") + R"(,[],{}],"b":[{},{}]})";
        CPPUNIT_ASSERT(isOk(parseJsonObject(wide)));
    }

    // Guards against an announcement by another writer that permanently replaces the host of the side.
    void refusesAnnouncementsWithInvalidMembers()
    {
        CPPUNIT_ASSERT(isOk(decodeAnnouncement("i-1", announcementWith("later", "ignored"))));
        constexpr std::int64_t largest = std::numeric_limits<std::int64_t>::max();
        const std::vector<std::pair<const char*, Json>> invalid {
            { "born", largest },
            { "born", 1e300 },
            { "seq", largest },
            { "seq", 1e18 },
            { "remaining_ms", largest },
            { "capacity", { { "cpu", largest }, { "mem_mb", 1 } } },
            { "capacity", { { "cpu", 1 }, { "mem_mb", largest } } },
            { "capacity", { { "cpu", 1 }, { "mem_mb", 1 }, { "gpu", std::int64_t(1) << 31 } } },
            { "address", "10.0.0.1:70000" },
            { "address", "10.0.0.1:-1" },
            { "address", "10.0.0.1:0" },
            { "address", "10.0.0.1:99999999999999999999" },
            { "address", "10.0.0.1" },
            { "address", 7 },
        };
        for (const std::pair<const char*, Json>& member : invalid) {
            const std::string body = announcementWith(member.first, member.second);
            CPPUNIT_ASSERT_MESSAGE(body, !isOk(decodeAnnouncement("i-1", body)));
        }
    }

    // Guards against a row of another writer whose run number, truncated to 32 bits, matches a run of the owner.
    void rowsWithRunNumbersOutOfRangeAreSkipped()
    {
        const std::string task = R"("00000000000000aa.0.1.17")";
        for (const char* number : { "4294967297", "1e300", "-1e300", "18446744073709551615", "2147483647", "-1", "0",
                 "\"1\"", "null", "[1]" }) {
            std::string body = R"({"clock_ms":77,"running":[[TASK,NUMBER,"",41,900],[TASK,2,"",41,900]],)";
            body += R"("ended":[[58,TASK,NUMBER,"done",""],[NUMBER,TASK,1,"done",""],[59,TASK,3,"done",""]]})";
            const HostResponse list
                = HostProtocol::decodeResponse(response(200, replaced(replaced(body, "TASK", task), "NUMBER", number)));
            CPPUNIT_ASSERT_EQUAL(HostAnswer::Done, list.answer);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(number, std::size_t(1), list.running.size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(number, 2, list.running[0].run);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(number, std::size_t(1), list.ended.size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(number, 3, list.ended[0].run);
        }
        for (const char* invalid :
            { "00000000000000aa.-1.1.17", "00000000000000aa.0.-1.17", "00000000000000aa.0.1.-17" }) {
            const HostResponse list = HostProtocol::decodeResponse(
                response(200, R"({"clock_ms":77,"running":[[")" + std::string(invalid) + R"(",2,"",41,900]]})"));
            CPPUNIT_ASSERT_MESSAGE(invalid, list.running.empty());
        }
    }

    // Guards against treating a run as ended because of an invalid figure that is only informative.
    void rowsWithInformativeFiguresOutOfRangeAreKept()
    {
        const HostResponse list = HostProtocol::decodeResponse(response(200,
            R"({"clock_ms":77,"running":[["00000000000000aa.0.1.17",2,"",4294967337,1e300],
                ["00000000000000aa.0.1.18",2,"",-4294967255,-9223372036854775808],
                ["00000000000000aa.0.1.19",2,"",41.7,900.5]]})"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), list.running.size());
        CPPUNIT_ASSERT_EQUAL(0, list.running[0].progressPercent);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), list.running[0].usage);
        CPPUNIT_ASSERT_EQUAL(0, list.running[1].progressPercent);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), list.running[1].usage);
        CPPUNIT_ASSERT_EQUAL(41, list.running[2].progressPercent);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(900), list.running[2].usage);
    }

    // Guards against a lease that is computed from a clock reading out of range: no later lease would ever exceed it.
    void aResponseWithAnInvalidClockIsUncertain()
    {
        for (const char* clock : { "9223372036854775807", "18446744073709551615", "1e300", "-5", "-1e300" }) {
            const HostResponse answer = HostProtocol::decodeResponse(
                response(200, R"({"running":[],"ended":[],"clock_ms":)" + std::string(clock) + "}"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(clock, HostAnswer::Uncertain, answer.answer);
        }
    }

    // Guards against overcommitting a host: a negative demand, or one truncated to 32 bits, would free resources.
    void refusesJobsWithNumbersOutOfRange()
    {
        for (const char* step : { R"("cpu":-100)", R"("mem_mb":-1)", R"("gpu":-1)", R"("gpu":4294967296)",
                 R"("cpu":9223372036854775807)", R"("mem_mb":1e300)", R"("cpu":18446744073709551615)",
                 R"("cpu":"many")", R"("mem_mb":[])", R"("count":4294967297)", R"("count":1e300)", R"("count":-1)",
                 R"("count":0)", R"("estimate_ms":9223372036854775807)", R"("estimate_ms":-1)", R"("target_ms":1e300)",
                 R"("anti_affinity":4294967297)", R"("anti_affinity":-1)", R"("may_miss":4294967297)",
                 R"("may_miss":-1)", R"("after":[18446744073709551615])", R"("after":[0])", R"("after":7)" }) {
            // jobWith() already sets count and cpu; of two members with the same name, the last one counts.
            const std::string body = jobWith(step);
            CPPUNIT_ASSERT_MESSAGE(body, !callWith(body).invalidReason.empty());
        }
        for (const char* moreMembers : { R"(,"repeats":4294967297)", R"(,"repeats":1e300)", R"(,"repeats":-1)",
                 R"(,"repeats":2147483647,"interval_ms":0)", R"(,"repeats":2,"interval_ms":9223372036854775807)",
                 R"(,"repeats":2,"interval_ms":-1)", R"(,"repeats":2,"first_run_ms":9223372036854775807)" }) {
            const std::string body = jobWith(R"("mem_mb":1)", moreMembers);
            CPPUNIT_ASSERT_MESSAGE(body, !callWith(body).invalidReason.empty());
        }
        std::string steps;
        for (int n = 0; n < 1000; ++n)
            steps += std::string(n > 0 ? "," : "") + R"({"count":100000,"cpu":1})";
        CPPUNIT_ASSERT_MESSAGE(
            "the job has too many tasks in total", !callWith(R"({"steps":[)" + steps + "]}").invalidReason.empty());
    }

    // Guards against limits that refuse jobs which clients really send.
    void acceptsTheLargestOrdinaryJobs()
    {
        const ClientCall call = callWith(
            R"({"spec":"x","steps":[{"count":100000,"cpu":64000,"mem_mb":1048576,"gpu":8,"estimate_ms":86400000},
                {"count":1,"cpu":500.0,"after":[0],"anti_affinity":4,"may_miss":1,"target_ms":250}],
                "repeats":5,"first_run_ms":1700000000000,"interval_ms":86400000})");
        CPPUNIT_ASSERT_EQUAL(std::string(), call.invalidReason);
        CPPUNIT_ASSERT_EQUAL(100'000, call.job.steps.at(0).count);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(500), call.job.steps.at(1).demand.milliProcessors);
        CPPUNIT_ASSERT_EQUAL(5, call.job.occurrences);
    }

    // Guards against an immediate answer "unknown" to a client that sends the longest deadline it can express.
    void aDeadlineOutOfRangeIsLong()
    {
        PostedJob call(jobWith(R"("mem_mb":1)"));
        call.headers[deadlineHeader] = "99999999999999999999";
        CPPUNIT_ASSERT(decodeClientCall(call).timeout > seconds(10));
    }

    // Guards against a crash of an entry when the reason from another process is not valid UTF-8.
    void anAnswerWithInvalidUtf8IsSent()
    {
        for (const Wire::JobReplyKind::type kind :
            { Wire::JobReplyKind::Refused, Wire::JobReplyKind::Unknown, Wire::JobReplyKind::Invalid }) {
            Wire::JobReply reply;
            reply.kind = kind;
            reply.reason = "store\xff";
            CPPUNIT_ASSERT(isOk(parseJsonObject(encodeAnswer(reply).body)));
        }
    }

    // Guards against a reader that requests the same record forever because an empty record was not counted.
    void anEmptyRecordAtTheEndOfAReadIsCounted()
    {
        const StoreProtocol protocol("127.0.0.1", 1);
        AppendToStore append;
        append.records = { StoreRecord { "owner", "value" } };
        const std::string header(16, '\0');
        const std::string empty(4, '\0');
        const ReadResponse read
            = StoreProtocol::decodeRead(response(200, header + protocol.encodeAppend(append).body + empty), 40);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), read.records.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(41), read.records[1].offset);
        CPPUNIT_ASSERT(read.records[1].key.empty());
    }

    // Guards against memory exhaustion: a list was allocated by the count in its header, not by the data that follows.
    void aListCountBeyondItsRecordAllocatesNoMemory()
    {
        using namespace apache::thrift;
        const std::shared_ptr<transport::TMemoryBuffer> buffer = std::make_shared<transport::TMemoryBuffer>();
        protocol::TCompactProtocol writer(buffer);
        constexpr std::int16_t stepsField = 9;
        constexpr std::uint32_t claimedSteps = 400'000;
        constexpr long maximumKilobytes = 16'384;
        writer.writeStructBegin("JobDefinition");
        writer.writeFieldBegin("steps", protocol::T_LIST, stepsField);
        writer.writeListBegin(protocol::T_STRUCT, claimedSteps);
        rusage before {};
        rusage after {};
        getrusage(RUSAGE_SELF, &before);
        CPPUNIT_ASSERT(!Wire::decode<Wire::JobDefinition>(buffer->getBufferAsString()));
        getrusage(RUSAGE_SELF, &after);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(after.ru_maxrss - before.ru_maxrss) + " KB",
            after.ru_maxrss - before.ru_maxrss < maximumKilobytes);
    }

    // Guards against an owner that steps down, and followers that stop connecting, because of a record that names no
    // process.
    void anInvalidClaimReplacesNoOwner()
    {
        for (const StoreRecord& invalid : invalidClaims()) {
            Entry entry;
            entry.run(3000);
            CPPUNIT_ASSERT(entry.ownership.owner());
            const std::int64_t term = entry.ownership.currentOwner().term;
            entry.write(StoreTopic::Owners, { invalid });
            entry.run(6000);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("the owner keeps its ownership", 1, entry.ownershipChanges);
            CPPUNIT_ASSERT_EQUAL(term, entry.ownership.currentOwner().term);
            CPPUNIT_ASSERT_MESSAGE("the invalid claim is logged", logs(entry.log, "claim_unreadable"));
            entry.write(
                StoreTopic::Owners, { StoreRecord { "owner", Wire::encode(claimOf("entry-2", "127.0.0.1", 7720)) } });
            entry.run(6100);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("later records are read", term + 2, entry.ownership.currentOwner().term);
        }
    }

    // Guards against a side that closes its connection because of a record that names no process.
    void aSideKeepsItsOwnerAfterAnInvalidClaim()
    {
        for (const StoreRecord& invalid : invalidClaims()) {
            HostAgent agent(NodeIdentity { "side-1", 1, "127.0.0.1", 7720 }, HostAgentTiming {});
            Actions actions;
            agent.tick(at(0), actions);
            NewestResponse newest;
            newest.answered = true;
            newest.records = { StoreRecord { "owner", Wire::encode(claimOf("entry-1", "127.0.0.1", 7720)), 3 } };
            agent.onNewestResponse(at(1), actionsOf<ReadNewest>(actions).at(0).callId, newest, actions);
            agent.tick(at(2), actions);
            agent.onLinkUp(at(3), actionsOf<OpenLink>(actions).at(0).link, actions);
            Actions later;
            agent.tick(at(4), actions);
            ReadResponse read;
            read.answered = true;
            read.records = { invalid };
            read.records[0].offset = 4;
            agent.onReadResponse(at(5), actionsOf<ReadStore>(actions).at(0).callId, read, later);
            agent.tick(at(10), later);
            CPPUNIT_ASSERT(agent.isConnectedToOwner());
            CPPUNIT_ASSERT(actionsOf<CloseLink>(later).empty());
            CPPUNIT_ASSERT(logs(later, "claim_unreadable"));
        }
    }

    // Guards against waiting for an owner that does not exist: any record in the topic would count as its pulse.
    void anInvalidPulseIsIgnored()
    {
        Entry entry;
        entry.write(
            StoreTopic::Owners, { StoreRecord { "owner", Wire::encode(claimOf("entry-2", "127.0.0.1", 7720)) } });
        Wire::OwnerPulse resigning;
        resigning.term = 1;
        resigning.resigning = true;
        entry.run(100);
        entry.write(StoreTopic::Pulses,
            { StoreRecord { "else", Wire::encode(resigning) }, StoreRecord { "pulse", "no pulse" } });
        entry.run(200);
        CPPUNIT_ASSERT_MESSAGE("no owner has resigned", !logs(entry.log, "claim_ownership"));
        CPPUNIT_ASSERT(logs(entry.log, "pulse_unreadable"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), entry.ownership.currentOwner().term);
    }

    // Guards against a stored job that crashes each owner in turn while it takes over.
    void invalidStoredJobsAreSkipped()
    {
        const std::string oddId = "00000000000000bb";
        Wire::JobDefinition validJob = makeJob("00000000000000aa", { makeStep(1, 100, 1000) });
        std::vector<Wire::JobDefinition> invalid(7, makeJob(oddId, { makeStep(1, 100, 1000) }));
        invalid[0].steps[0].count = -1;
        invalid[1].steps.clear();
        invalid[2].steps[0].demand.milliProcessors = -100;
        invalid[3].steps[0].after = { 4 };
        invalid[4].steps[0].estimateMilliseconds = std::numeric_limits<std::int64_t>::max();
        invalid[5].stretch = std::numeric_limits<double>::quiet_NaN();
        invalid[6].occurrences = -5;
        for (const Wire::JobDefinition& definition : invalid) {
            JobOwner owner("entry-1", 1, OwnerRules {}, at(0));
            owner.loadRecords({ StoreRecord { StoreKey::job(oddId), Wire::encode(definition) },
                StoreRecord { StoreKey::job(validJob.jobId), Wire::encode(validJob) },
                StoreRecord { "j/odd", "no job" }, StoreRecord { "p/00000000000000aa", "no progress" } });
            Actions actions;
            owner.finishLoad(at(0), 0, at(0), actions);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), owner.state().openJobs.size());
            CPPUNIT_ASSERT(owner.state().openJobs.contains(validJob.jobId));
            CPPUNIT_ASSERT(logs(actions, "record_unreadable"));
        }
    }

    // Guards against limits that are truncated to 32 bits or to zero, which would leave no attempts or no time.
    void largeNumbersOfAConfigurationStayLarge()
    {
        const auto policyWith = [](const std::string& member) {
            return decodePolicy(R"({"version":7,"routes":[{"name":"r1","hostname":"a.example","path_prefix":"/p/",
                "service":"desk","priority":2,"max_attempts":4,"slo_ms":250,"timeout_ms":3000,)"
                + member + "}]}");
        };
        const Result<PolicySnapshot> attempts = policyWith(R"("max_attempts":4294967296)");
        CPPUNIT_ASSERT(isOk(attempts));
        CPPUNIT_ASSERT(valueOf(attempts).queues.at(0).maximumAttempts > 1000);
        const Result<PolicySnapshot> priority = policyWith(R"("priority":4294967296)");
        CPPUNIT_ASSERT(valueOf(priority).queues.at(0).priority > 1000);
        const Result<PolicySnapshot> slow = policyWith(R"("slo_ms":9223372036854775807,"timeout_ms":1e300)");
        CPPUNIT_ASSERT(valueOf(slow).queues.at(0).objective > seconds(10));
        CPPUNIT_ASSERT(valueOf(slow).queues.at(0).timeout > seconds(10));
        const Result<PolicySnapshot> stretch = policyWith(R"("stretch":1e300)");
        CPPUNIT_ASSERT(valueOf(stretch).queues.at(0).stretch < 1e9);
        for (const char* version : { "1e300", "-1e300", "18446744073709551615", "\"7\"" })
            CPPUNIT_ASSERT_MESSAGE(
                version, !isOk(decodePolicy(R"({"routes":[],"version":)" + std::string(version) + "}")));
    }

    // Guards against a negative lease or shutdown time that results from a number out of range.
    void reportsSettingsThatAreTooLarge()
    {
        for (const char* key : { "longest_lease_ms", "harm_ms", "halt_ms", "status_memory_s", "shutdown_s",
                 "processor_share", "store_record_bytes" }) {
            const Result<NodeSettings> settings = parseNodeSettings(
                R"({"id":"e","zone":"z","address":"10.0.0.1","peer_port":7720,"store_address":"10.0.0.2:81",")"
                + std::string(key) + R"(":1e300})");
            CPPUNIT_ASSERT_MESSAGE(key, !isOk(settings));
            CPPUNIT_ASSERT_MESSAGE(key, errorOf(settings).message.find("/" + std::string(key)) != std::string::npos);
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(OddEntryTest);
