#include "Support/CallSimulation.h"

#include "Support/JobFixture.h"
#include "Support/TestPolicy.h"

#include <iostream>

namespace Plantainpier {

namespace {

    constexpr std::size_t entryCount = 3;
    constexpr int stepMilliseconds = 5;
    constexpr int submissionIntervalMilliseconds = 40;
    constexpr int maximumAttempts = 5;
    constexpr int clientTimeoutMilliseconds = 3000;
    constexpr int queryIntervalMilliseconds = 100;
    /// The platform's bound after which every process must know an accepted job.
    constexpr int visibleMilliseconds = 3000;
    /// Times of a shutdown, as in NodeProgram and EntryProgram.
    constexpr int minimumDrainMilliseconds = 2300;
    constexpr int maximumDrainMilliseconds = 4800;
    constexpr int drainedMilliseconds = 150;
    constexpr int closingMilliseconds = 50;
    constexpr int shutdownTimeoutMilliseconds = 6000;
    constexpr std::size_t storePageSize = 20;
    /// Longer than any fault, a take-over and the attempts of a client.
    constexpr int faultFreeMilliseconds = 30'000;

    std::string jobIdOf(std::size_t number)
    {
        std::string id = std::to_string(number);
        return std::string(16 - id.size(), '0') + id;
    }

} // namespace

CallSimulation::CallSimulation(unsigned seed)
    : m_random(seed)
    , m_trace(std::getenv("PLANTAINPIER_TRACE") != nullptr)
    , m_entries(entryCount)
{
    AppendToStore policy;
    policy.topic = StoreTopic::Policy;
    policy.records.push_back(StoreRecord { "config", "1" });
    m_store.append(policy);
    m_store.setPageSize(storePageSize);
    for (std::size_t n = 0; n < m_entries.size(); ++n)
        restart(n);
}

void CallSimulation::run(int milliseconds)
{
    for (const int end = m_now + milliseconds; m_now < end; step())
        injectFaults();
    m_faultFree = true;
    for (Entry& entry : m_entries)
        entry.frozenUntil = entry.cutFromStoreUntil = entry.slowUntil = m_now;
    for (const int end = m_now + faultFreeMilliseconds; m_now < end;)
        step();
}

void CallSimulation::injectFaults()
{
    constexpr int contactLossMilliseconds = 3000;
    if (chance(0.001))
        restart(randomEntry());
    if (chance(0.002))
        m_entries[randomEntry()].frozenUntil = m_now + randomBelow(contactLossMilliseconds);
    if (chance(0.003))
        m_entries[randomEntry()].cutFromStoreUntil = m_now + randomBelow(2 * contactLossMilliseconds);
    if (chance(0.003))
        m_entries[randomEntry()].slowUntil = m_now + randomBelow(contactLossMilliseconds);
    if (chance(0.001))
        m_store.compact();
    // All entries are told to stop in turn.
    if (chance(0.0005)) {
        const int gap = randomBelow(2000);
        for (std::size_t n = 0; n < m_entries.size(); ++n)
            m_entries[n].stopAt = m_now + static_cast<int>(n) * gap + 1;
    }
}

void CallSimulation::restart(std::size_t n)
{
    Entry& entry = m_entries[n];
    for (const std::unique_ptr<Connection>& connection : m_connections) {
        for (const LinkEnd& end : connection->ends) {
            if (end.entry == n && end.process == entry.process && !end.closed)
                close(n, end.link);
        }
    }
    ++entry.process;
    entry.backlog.clear();
    entry.drainingSince = entry.drainedSince = entry.endAt = 0;
    entry.unanswered.clear();
    entry.core = std::make_unique<JobEntryCore>(
        NodeIdentity { "entry-" + std::to_string(n), entry.process, "127.0.0.1", static_cast<int>(n) + 1 },
        OwnerRules {}, JobEntryTiming {}, decodeTestPolicy, closedZoneOfTestKey);
}

void CallSimulation::deliver(std::size_t n, int delay, std::function<void(JobEntryCore&, Actions&)> handle)
{
    m_events.emplace(m_now + delay, [this, n, process = m_entries[n].process, handle = std::move(handle)] {
        Entry& entry = m_entries[n];
        if (entry.process != process)
            return;
        if (m_now < entry.frozenUntil || !entry.backlog.empty()) {
            entry.backlog.push_back(handle);
            return;
        }
        Actions actions;
        handle(*entry.core, actions);
        perform(n, std::move(actions));
    });
}

void CallSimulation::step()
{
    m_now += stepMilliseconds;
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
        const std::function<void()> event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
    }
    for (std::size_t n = 0; n < m_entries.size(); ++n)
        stepEntry(n);
    stepClients();
}

void CallSimulation::stepEntry(std::size_t n)
{
    Entry& entry = m_entries[n];
    if (m_now < entry.frozenUntil)
        return;
    while (!entry.backlog.empty()) {
        const std::function<void(JobEntryCore&, Actions&)> handle = std::move(entry.backlog.front());
        entry.backlog.pop_front();
        Actions actions;
        handle(*entry.core, actions);
        perform(n, std::move(actions));
    }
    Actions actions;
    entry.core->tick(at(m_now), m_now, actions);
    perform(n, std::move(actions));
    stepShutdown(n);
}

void CallSimulation::stepShutdown(std::size_t n)
{
    Entry& entry = m_entries[n];
    if (entry.stopAt > 0 && m_now >= entry.stopAt && entry.drainingSince == 0) {
        entry.stopAt = 0;
        entry.drainingSince = entry.drainedSince = m_now;
        Actions actions;
        entry.core->beginShutdown(at(m_now), actions);
        perform(n, std::move(actions));
    }
    if (entry.drainingSince == 0)
        return;
    // A process that was suspended for too long is killed.
    if (m_now - entry.drainingSince >= shutdownTimeoutMilliseconds) {
        restart(n);
        return;
    }
    if (entry.endAt > 0) {
        if (m_now < entry.endAt)
            return;
        for (const CallerToken token : entry.unanswered)
            m_falseAnswers.push_back("call " + std::to_string(token) + " was read by a process that ended at "
                + std::to_string(m_now) + " and was not answered");
        ++m_gracefulEndCount;
        restart(n);
        return;
    }
    if (!entry.core->isDrained() || !entry.unanswered.empty())
        entry.drainedSince = m_now;
    const int drainedFor = m_now - entry.drainingSince;
    const bool isDrained = m_now - entry.drainedSince >= drainedMilliseconds && drainedFor >= minimumDrainMilliseconds;
    if (!isDrained && drainedFor < maximumDrainMilliseconds)
        return;
    entry.endAt = m_now + closingMilliseconds;
    Actions actions;
    entry.core->finishShutdown(at(m_now), actions);
    perform(n, std::move(actions));
}

// Clients.

void CallSimulation::stepClients()
{
    if (!m_faultFree && m_now % submissionIntervalMilliseconds == 0) {
        Submission submission;
        submission.job = makeJob(jobIdOf(m_submissions.size()), { makeStep(1, 1000, 300) });
        submission.nextAttemptAt = m_now;
        m_submissions.push_back(std::move(submission));
    }
    if (m_now % queryIntervalMilliseconds == 0)
        sendQuery();
    for (Submission& submission : m_submissions) {
        if (submission.token != 0 && m_now >= submission.answerDueAt) {
            m_attempts.erase(submission.token);
            submission.token = 0;
            submission.isOutcomeUnknown = true;
            submission.nextAttemptAt = m_now;
        }
        const bool isIdle = submission.token == 0 && !submission.isAccepted;
        if (isIdle && submission.attempts < maximumAttempts && m_now >= submission.nextAttemptAt)
            sendAttempt(submission);
    }
}

void CallSimulation::sendAttempt(Submission& submission)
{
    ++submission.attempts;
    submission.answerDueAt = m_now + clientTimeoutMilliseconds;
    ClientCall call;
    call.kind = Wire::JobCallKind::Submit;
    call.path = "/checks/" + submission.job.jobId;
    call.job = submission.job;
    submission.token = sendCall(std::move(call));
    m_attempts[submission.token] = static_cast<std::size_t>(&submission - m_submissions.data());
}

void CallSimulation::sendQuery()
{
    if (m_submissions.empty())
        return;
    const Submission& submission
        = m_submissions[static_cast<std::size_t>(randomBelow(static_cast<int>(m_submissions.size())))];
    if (!submission.isAccepted || m_now - submission.acceptedAt < visibleMilliseconds)
        return;
    ClientCall call;
    call.kind = Wire::JobCallKind::Status;
    call.path = "/checks/" + submission.job.jobId;
    m_queries[sendCall(std::move(call))] = submission.job.jobId;
}

CallerToken CallSimulation::sendCall(ClientCall call)
{
    const CallerToken token = ++m_lastToken;
    const std::size_t n = randomEntry();
    call.hostName = "desk.example";
    deliver(n, 1 + randomBelow(5), [this, n, token, call](JobEntryCore& core, Actions& actions) {
        m_entries[n].unanswered.insert(token);
        core.onClientCall(at(m_now), token, call, actions);
    });
    return token;
}

void CallSimulation::onQueryAnswer(std::size_t n, const std::string& jobId, const Wire::JobReply& reply)
{
    ++m_queryCount;
    const bool isWrongPhase = reply.kind == Wire::JobReplyKind::State
        && (reply.phase == Wire::JobPhase::Failed || reply.phase == Wire::JobPhase::Cancelled);
    if (reply.kind == Wire::JobReplyKind::NoSuchJob || isWrongPhase)
        m_falseAnswers.push_back(jobId + " was accepted and is not shown as open by entry-" + std::to_string(n) + " at "
            + std::to_string(m_now));
}

void CallSimulation::onAnswer(std::size_t n, CallerToken token, const Wire::JobReply& reply)
{
    m_entries[n].unanswered.erase(token);
    const std::map<CallerToken, std::string>::iterator query = m_queries.find(token);
    if (query != m_queries.end()) {
        onQueryAnswer(n, query->second, reply);
        m_queries.erase(query);
        return;
    }
    const std::map<CallerToken, std::size_t>::iterator it = m_attempts.find(token);
    if (it == m_attempts.end())
        return;
    Submission& submission = m_submissions[it->second];
    m_attempts.erase(it);
    submission.token = 0;
    submission.isAccepted = reply.kind == Wire::JobReplyKind::Accepted;
    submission.acceptedAt = m_now;
    submission.isOutcomeUnknown = submission.isOutcomeUnknown || reply.kind == Wire::JobReplyKind::Unknown;
    submission.nextAttemptAt = m_now + 50 + randomBelow(1000);
}

// The store and the connections.

void CallSimulation::perform(std::size_t n, Actions&& actions)
{
    for (const Action& action : actions) {
        if (const WriteLog* line = std::get_if<WriteLog>(&action)) {
            if (m_trace)
                std::cout << m_now << " entry-" << n << " " << line->line << "\n";
            m_takeOverCount += line->line.starts_with("event=take_over ") ? 1 : 0;
        } else if (const AppendToStore* call = std::get_if<AppendToStore>(&action)) {
            append(n, *call);
        } else if (const ReadStore* call = std::get_if<ReadStore>(&action)) {
            read(n, *call, m_now + static_cast<int>(toMilliseconds(call->wait)));
        } else if (const ReadNewest* call = std::get_if<ReadNewest>(&action)) {
            NewestResponse response;
            if (!isCutFromStore(n))
                response = m_store.newest(*call);
            deliver(
                n, response.answered ? 4 : 900, [this, id = call->callId, response](JobEntryCore& core, Actions& more) {
                    core.onNewestResponse(at(m_now), id, response, more);
                });
        } else if (const OpenLink* order = std::get_if<OpenLink>(&action)) {
            open(n, *order);
        } else if (const CloseLink* order = std::get_if<CloseLink>(&action)) {
            close(n, order->link);
        } else if (const SendMessage* message = std::get_if<SendMessage>(&action)) {
            send(n, *message);
        } else if (const AnswerJobCall* answer = std::get_if<AnswerJobCall>(&action)) {
            onAnswer(n, answer->token, answer->reply);
        }
    }
}

void CallSimulation::append(std::size_t n, const AppendToStore& call)
{
    const auto respond = [this, n, id = call.callId](int delay, const AppendResponse& response) {
        deliver(n, delay, [this, id, response](JobEntryCore& core, Actions& actions) {
            core.onAppendResponse(at(m_now), id, response, actions);
        });
    };
    const int timeout = static_cast<int>(toMilliseconds(call.timeout));
    if (isCutFromStore(n)) {
        // Some appends arrive all the same, at once or late; the response is lost.
        if (chance(0.3))
            m_events.emplace(m_now + (chance(0.5) ? 4 : randomBelow(3000)), [this, call] { m_store.append(call); });
        respond(timeout, AppendResponse {});
        return;
    }
    m_events.emplace(m_now + 2, [this, call, respond, timeout] {
        const AppendResponse response = m_store.append(call);
        const bool isLost = !m_faultFree && chance(0.02);
        respond(isLost ? timeout : 2 + randomBelow(4), isLost ? AppendResponse {} : response);
    });
}

void CallSimulation::read(std::size_t n, const ReadStore& call, int until)
{
    if (isCutFromStore(n)) {
        deliver(n, 900, [this, id = call.callId](JobEntryCore& core, Actions& actions) {
            core.onReadResponse(at(m_now), id, ReadResponse {}, actions);
        });
        return;
    }
    const ReadResponse response = m_store.read(call);
    if (response.answered && response.records.empty() && m_now < until) {
        m_events.emplace(m_now + 20, [this, n, call, until, process = m_entries[n].process] {
            if (m_entries[n].process == process)
                read(n, call, until);
        });
        return;
    }
    deliver(n, 4, [this, id = call.callId, response](JobEntryCore& core, Actions& actions) {
        core.onReadResponse(at(m_now), id, response, actions);
    });
}

CallSimulation::Connection* CallSimulation::findConnection(std::size_t n, LinkId link, std::size_t& end)
{
    for (const std::unique_ptr<Connection>& connection : m_connections) {
        for (end = 0; end < 2; ++end) {
            const LinkEnd& side = connection->ends[end];
            if (side.entry == n && side.process == m_entries[n].process && side.link == link)
                return connection.get();
        }
    }
    return nullptr;
}

void CallSimulation::open(std::size_t n, const OpenLink& order)
{
    const std::size_t target = static_cast<std::size_t>(order.port) - 1;
    m_connections.push_back(std::make_unique<Connection>());
    Connection& connection = *m_connections.back();
    connection.ends[0] = LinkEnd { n, m_entries[n].process, order.link, false };
    connection.ends[1] = LinkEnd { target, m_entries[target].process, ++m_lastAcceptedLink, false };
    const int delay = 1 + randomBelow(4);
    for (std::size_t end = 0; end < 2; ++end) {
        connection.lastArrival[end] = m_now + delay;
        deliver(connection.ends[end].entry, delay,
            [this, link = connection.ends[end].link](
                JobEntryCore& core, Actions& actions) { core.onLinkUp(at(m_now), link, actions); });
    }
}

void CallSimulation::close(std::size_t n, LinkId link)
{
    std::size_t end = 0;
    Connection* connection = findConnection(n, link, end);
    if (!connection || connection->ends[end].closed)
        return;
    // Messages that have arrived but were not handled yet are still handled by the end that closed the connection.
    connection->ends[end].closed = true;
    const LinkEnd& other = connection->ends[1 - end];
    if (other.closed || m_entries[other.entry].process != other.process)
        return;
    const int arrival = std::max(m_now + 1, connection->lastArrival[1 - end]);
    deliver(
        other.entry, arrival - m_now, [this, connection, end, link = other.link](JobEntryCore& core, Actions& actions) {
            connection->ends[1 - end].closed = true;
            core.onLinkDown(at(m_now), link, actions);
        });
}

void CallSimulation::send(std::size_t n, const SendMessage& message)
{
    std::size_t end = 0;
    Connection* connection = findConnection(n, message.link, end);
    if (!connection || connection->ends[end].closed)
        return;
    const LinkEnd& other = connection->ends[1 - end];
    if (m_entries[other.entry].process != other.process)
        return;
    const int slowUntil = std::max(m_entries[n].slowUntil, m_entries[other.entry].slowUntil);
    int& lastArrival = connection->lastArrival[1 - end];
    lastArrival = std::max({ lastArrival, slowUntil, m_now + 1 + randomBelow(4) });
    deliver(other.entry, lastArrival - m_now,
        [this, link = other.link, message = message.message](
            JobEntryCore& core, Actions& actions) { core.onMessage(at(m_now), link, message, actions); });
}

// The checks.

std::vector<std::string> CallSimulation::violations() const
{
    std::set<std::string> storedJobs;
    ReadNewest page;
    page.topic = StoreTopic::Jobs;
    for (bool more = true; more;) {
        const NewestResponse response = m_store.newest(page);
        for (const StoreRecord& record : response.records) {
            if (record.key.starts_with("j/"))
                storedJobs.insert(record.key.substr(2));
            page.afterKey = record.key;
        }
        more = response.more;
    }
    std::vector<std::string> violations = m_falseAnswers;
    for (const Submission& submission : m_submissions) {
        const bool isStored = storedJobs.contains(submission.job.jobId);
        if (submission.isAccepted && !isStored)
            violations.push_back(submission.job.jobId + " was accepted and is not stored");
        const bool isRefused = !submission.isAccepted && !submission.isOutcomeUnknown;
        if (isRefused && isStored)
            violations.push_back(submission.job.jobId + " is stored although each of "
                + std::to_string(submission.attempts) + " attempts was refused");
    }
    return violations;
}

std::size_t CallSimulation::acceptedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_submissions.begin(), m_submissions.end(),
        [](const Submission& submission) { return submission.isAccepted; }));
}

} // namespace Plantainpier
