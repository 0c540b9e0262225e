/// Tests the event loop of an owner under a flood of work in virtual time: the real DecisionLoop and Ownership, with a
/// cost for each event and each tick.
#include "Decision/Process/Ownership.h"
#include "Shell/Process/DecisionLoop.h"
#include "Support/JobFixture.h"
#include "Support/VirtualStore.h"

#include <cppunit/extensions/HelperMacros.h>
#include <map>

using namespace Plantainpier;

namespace {

constexpr int hostCount = 240;
constexpr Duration storeDelay = milliseconds(15);
/// Time of a pass over thousands of waiting tasks, and of handling one report, on half a core.
constexpr Duration tickCost = milliseconds(60);
constexpr Duration reportCost = microseconds(100);
constexpr Duration reportInterval = milliseconds(60);
constexpr Duration smallCost = microseconds(20);

/// One entry that owns the jobs, its store, and 240 hosts that report without pause.
class BusyOwner {
public:
    explicit BusyOwner(Duration tickCost)
        : m_tickCost(tickCost)
        , m_ownership(NodeIdentity { "entry-1", 1, "127.0.0.1", 7720 }, OwnerRules {}, OwnershipTiming {})
        , m_loop([this](Instant now, Actions& actions) { tick(now, actions); },
              [this](Action&& action) { perform(std::move(action)); },
              [this] { return m_ownership.owner() != nullptr; }, [](const LogLine&) {}, [this] { return m_now; })
    {
        m_ownership.onChange = [](Instant, bool, Actions&) {};
        m_loop.sendSignsOfLife = [this](Instant now, Actions& actions) { m_ownership.sendDuePulse(now, actions); };
    }

    void runUntil(Instant end)
    {
        while (m_now < end) {
            while (!m_arrivals.empty() && m_arrivals.begin()->first <= m_now) {
                const Instant due = m_arrivals.begin()->first;
                const std::function<void(Instant)> arrive = std::move(m_arrivals.begin()->second);
                m_arrivals.erase(m_arrivals.begin());
                arrive(due);
            }
            const Instant before = m_now;
            m_loop.step(Duration::zero());
            if (m_now > before)
                continue;
            constexpr Duration idleStep = milliseconds(1);
            m_now += idleStep;
            if (!m_arrivals.empty())
                m_now = std::clamp(m_arrivals.begin()->first, before + microseconds(1), m_now);
        }
    }

    bool owns() const { return m_ownership.owner() != nullptr; }

    /// From now on work waits at each tick, hosts report, and clients submit jobs and health checks come.
    void startFlood()
    {
        m_isFlooded = true;
        m_lastPulseAt = m_now;
        for (int n = 0; n < hostCount; ++n)
            scheduleReport(n, m_now + n * reportInterval / hostCount);
        scheduleSubmission(m_now);
        scheduleHealthCheck(m_now);
    }

    Duration longestPulseGap() const { return m_longestPulseGap; }
    Duration longestHealthCheck() const { return m_longestHealthCheck; }
    Duration longestReportWait() const { return m_longestReportWait; }
    std::map<std::string, int> refusals;
    int submitted = 0;
    int accepted = 0;

private:
    void tick(Instant now, Actions& actions)
    {
        m_ownership.tick(now, toMilliseconds(now.time_since_epoch()), actions);
        m_now += m_isFlooded ? m_tickCost : smallCost;
    }

    void arriveAt(Instant due, std::function<void(Instant)> arrive) { m_arrivals.emplace(due, std::move(arrive)); }

    void perform(Action&& action)
    {
        if (const AppendToStore* append = std::get_if<AppendToStore>(&action)) {
            arriveAt(m_now + storeDelay, [this, call = *append](Instant due) {
                const AppendResponse response = m_store.append(call);
                if (call.topic == StoreTopic::Pulses && response.outcome == AppendOutcome::Stored) {
                    m_longestPulseGap = std::max(m_longestPulseGap, m_isFlooded ? due - m_lastPulseAt : Duration());
                    m_lastPulseAt = due;
                }
                postAnswer([this, id = call.callId, response](Instant now, Actions& actions) {
                    m_ownership.onAppendResponse(now, id, response, actions);
                });
            });
        } else if (const ReadStore* read = std::get_if<ReadStore>(&action)) {
            arriveAt(m_now + std::max<Duration>(read->wait, storeDelay), [this, call = *read](Instant) {
                postAnswer([this, id = call.callId, response = m_store.read(call)](Instant now, Actions& actions) {
                    m_ownership.onReadResponse(now, id, response, actions);
                });
            });
        } else if (const ReadNewest* newest = std::get_if<ReadNewest>(&action)) {
            arriveAt(m_now + storeDelay, [this, call = *newest](Instant) {
                postAnswer([this, id = call.callId, response = m_store.newest(call)](Instant now, Actions& actions) {
                    m_ownership.onNewestResponse(now, id, response, actions);
                });
            });
        } else if (const AnswerJobCall* answer = std::get_if<AnswerJobCall>(&action)) {
            if (answer->reply.kind == Wire::JobReplyKind::Refused)
                ++refusals[answer->reply.reason];
            else
                ++accepted;
        }
    }

    void postAnswer(DecisionLoop::Event event)
    {
        m_loop.postAwaited(EventKind::StoreAnswer, [this, event = std::move(event)](Instant now, Actions& actions) {
            event(now, actions);
            m_now += smallCost;
        });
    }

    void scheduleReport(int host, Instant when)
    {
        arriveAt(when, [this, host](Instant due) {
            m_loop.post(EventKind::Message, [this, host, arrived = due](Instant now, Actions& actions) {
                m_longestReportWait = std::max(m_longestReportWait, now - arrived);
                if (m_ownership.owner())
                    m_ownership.owner()->onReport(now, static_cast<LinkId>(host) + 1,
                        makeReport("host-" + std::to_string(host), 1, toMilliseconds(now.time_since_epoch())), actions);
                m_now += reportCost;
            });
            scheduleReport(host, due + reportInterval);
        });
    }

    void scheduleSubmission(Instant when)
    {
        static constexpr Duration submissionInterval = milliseconds(50);
        arriveAt(when, [this](Instant due) {
            ++submitted;
            m_loop.post(EventKind::Call, [this](Instant now, Actions& actions) {
                const std::string digits = std::to_string(++m_lastJob);
                const std::string jobId = std::string(16 - digits.size(), '0') + digits;
                if (m_ownership.owner())
                    m_ownership.owner()->onCall(now, CallOrigin { noLink, static_cast<std::uint64_t>(m_lastJob) },
                        makeCall(Wire::JobCallKind::Submit, makeJob(jobId, { makeStep(1, 1000, 1000) })), actions);
                m_now += reportCost;
            });
            scheduleSubmission(due + submissionInterval);
        });
    }

    void scheduleHealthCheck(Instant when)
    {
        static constexpr Duration checkInterval = seconds(1);
        arriveAt(when, [this](Instant due) {
            m_loop.post(EventKind::SignOfLife, [this, asked = due](Instant now, Actions&) {
                m_longestHealthCheck = std::max(m_longestHealthCheck, now - asked);
            });
            scheduleHealthCheck(due + checkInterval);
        });
    }

    Instant m_now = at(0);
    Duration m_tickCost;
    VirtualStore m_store;
    Ownership m_ownership;
    DecisionLoop m_loop;
    std::multimap<Instant, std::function<void(Instant)>> m_arrivals;
    bool m_isFlooded = false;
    Instant m_lastPulseAt;
    Duration m_longestPulseGap {};
    Duration m_longestHealthCheck {};
    Duration m_longestReportWait {};
    int m_lastJob = 0;
};

} // namespace

class BusyOwnerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BusyOwnerTest);
    CPPUNIT_TEST(aBusyOwnerShowsThatItLives);
    CPPUNIT_TEST(longTicksLeaveTimeForEvents);
    CPPUNIT_TEST_SUITE_END();

    /// Lets the entry become the owner, then floods it for 20 s; it owns to the end.
    static void floodOwner(BusyOwner& owner)
    {
        owner.runUntil(at(5000));
        CPPUNIT_ASSERT(owner.owns());
        owner.startFlood();
        owner.runUntil(at(25'000));
        CPPUNIT_ASSERT(owner.owns());
    }

    // Guards against an owner that is replaced, and refuses callers, because answers of the store wait in its queue
    // behind reports and scheduling passes.
    void aBusyOwnerShowsThatItLives()
    {
        constexpr long long longestPulseGapMilliseconds = 1000;
        constexpr long long longestCheckMilliseconds = 500;
        constexpr long long longestReportWaitMilliseconds = 500;
        BusyOwner owner(tickCost);
        floodOwner(owner);
        const auto within = [](const char* what, Duration time, long long limit) {
            const std::string text = std::string(what) + ": " + std::to_string(toMilliseconds(time)) + " ms";
            CPPUNIT_ASSERT_MESSAGE(text, toMilliseconds(time) <= limit);
        };
        within("longest time between two pulses", owner.longestPulseGap(), longestPulseGapMilliseconds);
        within("longest health check", owner.longestHealthCheck(), longestCheckMilliseconds);
        within("longest wait of a report", owner.longestReportWait(), longestReportWaitMilliseconds);
        CPPUNIT_ASSERT(owner.refusals.empty());
        // Submissions of the last half second may be in progress.
        constexpr int inProgress = 10;
        CPPUNIT_ASSERT(owner.submitted >= 400);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(owner.accepted), owner.accepted >= owner.submitted - inProgress);
    }

    // Guards against an owner that shows that it lives but answers nobody: events got a third of the time of ticks that
    // take 300 ms, so that reports and submissions waited for seconds.
    void longTicksLeaveTimeForEvents()
    {
        constexpr Duration longTickCost = milliseconds(300);
        constexpr long long longestPulseGapMilliseconds = 1000;
        constexpr long long longestReportWaitMilliseconds = 1000;
        BusyOwner owner(longTickCost);
        floodOwner(owner);
        const long long pulseGap = toMilliseconds(owner.longestPulseGap());
        const long long reportWait = toMilliseconds(owner.longestReportWait());
        const std::string text
            = "pulses " + std::to_string(pulseGap) + " ms, reports " + std::to_string(reportWait) + " ms";
        CPPUNIT_ASSERT_MESSAGE(text, pulseGap <= longestPulseGapMilliseconds);
        CPPUNIT_ASSERT_MESSAGE(text, reportWait <= longestReportWaitMilliseconds);
        CPPUNIT_ASSERT(owner.refusals.empty());
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BusyOwnerTest);
