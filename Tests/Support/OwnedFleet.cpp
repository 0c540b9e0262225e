#include "Support/OwnedFleet.h"

#include "Support/TestPolicy.h"

#include <iostream>

namespace Plantainpier {

namespace {

    constexpr int stepMilliseconds = 5;
    constexpr int storeDelay = 4;
    constexpr int linkDelay = 2;
    constexpr int hostDelay = 2;
    constexpr int announcementInterval = 1500;
    constexpr int newestTimeout = 2500;
    /// Time that a kept connection may take to answer a read beyond its wait.
    constexpr int readMargin = 700;
    constexpr std::int64_t hostMilliCores = 16'000;

    /// Calls the process's core, an entry's or a side's: both handle answers of the store and links alike.
    template <typename Process, typename Handle> void withCore(Process& process, const Handle& handle)
    {
        if (process.entry)
            handle(*process.entry);
        else
            handle(*process.agent);
    }

} // namespace

OwnedFleet::OwnedFleet(std::size_t entries, std::size_t sides)
    : m_entryCount(entries)
    , m_trace(std::getenv("PLANTAINPIER_TRACE") != nullptr)
    , m_processes(entries + sides)
{
    AppendToStore policy;
    policy.topic = StoreTopic::Policy;
    policy.records.push_back(StoreRecord { "config", "1" });
    m_store.append(policy);
    for (std::size_t n = 0; n < m_processes.size(); ++n) {
        Process& process = m_processes[n];
        const bool isEntry = n < entries;
        process.name = (isEntry ? "entry-" : "side-") + std::to_string(isEntry ? n : n - entries);
        const NodeIdentity identity { process.name, 1, "127.0.0.1", static_cast<int>(n) + 1 };
        if (isEntry) {
            process.entry = std::make_unique<JobEntryCore>(
                identity, OwnerRules {}, JobEntryTiming {}, decodeTestPolicy, closedZoneOfTestKey);
            continue;
        }
        process.agent = std::make_unique<HostAgent>(identity, HostAgentTiming {});
        process.host = std::make_unique<VirtualHost>("host-" + std::to_string(n - entries), 1, m_records);
    }
}

// Faults.

void OwnedFleet::cutFromStore(std::size_t process, int until)
{
    m_processes[process].cutUntil = until;
    m_processes[process].troubles.emplace_back(m_now, until);
}

void OwnedFleet::stopStore(int until)
{
    m_storeDownUntil = until;
    for (Process& process : m_processes)
        process.troubles.emplace_back(m_now, until);
}

void OwnedFleet::silenceStoreConnections(std::size_t process)
{
    ++m_processes[process].silences;
    m_processes[process].areKeptConnectionsSilent = true;
    m_processes[process].troubles.emplace_back(m_now, m_now);
}

void OwnedFleet::silenceLinks(std::size_t process)
{
    m_processes[process].troubles.emplace_back(m_now, m_now);
    for (const std::unique_ptr<Connection>& connection : m_connections) {
        for (const LinkEnd& end : connection->ends)
            connection->silent = connection->silent || end.process == process;
    }
}

void OwnedFleet::cutBetween(std::size_t one, std::size_t other, int until)
{
    m_cuts[std::minmax(one, other)] = until;
    m_processes[one].troubles.emplace_back(m_now, until);
    m_processes[other].troubles.emplace_back(m_now, until);
}

bool OwnedFleet::isCut(std::size_t one, std::size_t other) const
{
    const std::map<std::pair<std::size_t, std::size_t>, int>::const_iterator it = m_cuts.find(std::minmax(one, other));
    return it != m_cuts.end() && m_now < it->second;
}

// Time.

void OwnedFleet::run(int milliseconds)
{
    for (const int end = m_now + milliseconds; m_now < end;)
        step();
}

void OwnedFleet::step()
{
    m_now += stepMilliseconds;
    while (!m_events.empty() && m_events.begin()->first <= m_now) {
        const std::function<void()> event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
    }
    for (std::size_t n = 0; n < m_processes.size(); ++n) {
        Process& process = m_processes[n];
        Actions actions;
        if (process.entry) {
            process.entry->tick(at(m_now), m_now, actions);
        } else {
            process.host->tick(m_now);
            if (m_now % announcementInterval == stepMilliseconds) {
                HostDescription description;
                description.hostId = process.host->hostId();
                description.incarnation = 1;
                description.service = "desk";
                description.rack = "rack-1";
                description.capacity.milliProcessors = hostMilliCores;
                description.capacity.memoryMegabytes = 60'000;
                description.sequence = ++process.announcements;
                process.agent->onAnnouncement(at(m_now), description, actions);
            }
            process.agent->tick(at(m_now), actions);
        }
        perform(n, std::move(actions));
    }
}

void OwnedFleet::deliver(std::size_t process, int delay, Handle handle)
{
    m_events.emplace(m_now + delay, [this, process, handle = std::move(handle)] {
        Actions actions;
        handle(m_processes[process], actions);
        perform(process, std::move(actions));
    });
}

void OwnedFleet::perform(std::size_t process, Actions&& actions)
{
    for (const Action& action : actions) {
        if (const WriteLog* line = std::get_if<WriteLog>(&action)) {
            if (m_trace)
                std::cout << m_now << " " << m_processes[process].name << " " << line->line << "\n";
        } else if (const OpenLink* order = std::get_if<OpenLink>(&action)) {
            open(process, *order);
        } else if (const CloseLink* order = std::get_if<CloseLink>(&action)) {
            close(process, order->link);
        } else if (const SendMessage* message = std::get_if<SendMessage>(&action)) {
            send(process, *message);
        } else if (const AnswerJobCall* answer = std::get_if<AnswerJobCall>(&action)) {
            m_answers[answer->token] = { m_now, answer->reply.kind };
        } else {
            callStore(process, action);
            callHost(process, action);
        }
    }
}

// The store.

void OwnedFleet::callStore(std::size_t n, const Action& action)
{
    Process& process = m_processes[n];
    const ReadStore* read = std::get_if<ReadStore>(&action);
    const bool isNewConnection = read && read->newConnectionTimeout;
    const bool isLost = m_now < std::max(m_storeDownUntil, process.cutUntil)
        || (process.areKeptConnectionsSilent && !isNewConnection);
    // A call that times out on a kept connection makes the process close the silent ones.
    const auto onTimeout = [isNewConnection](Process& timedOut) {
        timedOut.areKeptConnectionsSilent = timedOut.areKeptConnectionsSilent && isNewConnection;
    };
    if (const AppendToStore* append = std::get_if<AppendToStore>(&action)) {
        const AppendResponse response = isLost ? AppendResponse() : m_store.append(*append);
        deliver(n, isLost ? static_cast<int>(toMilliseconds(append->timeout)) : storeDelay,
            [this, isLost, onTimeout, id = append->callId, response](Process& sender, Actions& actions) {
                if (isLost)
                    onTimeout(sender);
                sender.entry->onAppendResponse(at(m_now), id, response, actions);
            });
    } else if (const ReadNewest* newest = std::get_if<ReadNewest>(&action)) {
        const NewestResponse response = isLost ? NewestResponse() : m_store.newest(*newest);
        deliver(n, isLost ? newestTimeout : storeDelay,
            [this, isLost, onTimeout, id = newest->callId, response](Process& sender, Actions& actions) {
                if (isLost)
                    onTimeout(sender);
                withCore(sender, [&](auto& core) { core.onNewestResponse(at(m_now), id, response, actions); });
            });
    } else if (read) {
        // A wait that the store has begun is lost with the connection.
        const int wait = static_cast<int>(toMilliseconds(read->wait));
        const int margin = isNewConnection ? static_cast<int>(toMilliseconds(*read->newConnectionTimeout)) : readMargin;
        m_openReads.emplace(n, read->callId);
        m_events.emplace(m_now + wait + margin, [this, n, onTimeout, id = read->callId] {
            if (answerRead(n, id, ReadResponse()))
                onTimeout(m_processes[n]);
        });
        if (!isLost)
            respondToRead(n, *read, m_now + wait, isNewConnection ? -1 : process.silences);
    }
}

void OwnedFleet::respondToRead(std::size_t n, const ReadStore& read, int until, int silences)
{
    const Process& process = m_processes[n];
    if (m_now < std::max(m_storeDownUntil, process.cutUntil) || (silences >= 0 && silences != process.silences))
        return;
    const ReadResponse response = m_store.read(read);
    if (response.answered && response.records.empty() && m_now < until) {
        m_events.emplace(
            m_now + stepMilliseconds, [this, n, read, until, silences] { respondToRead(n, read, until, silences); });
        return;
    }
    m_events.emplace(m_now + storeDelay, [this, n, id = read.callId, response] { answerRead(n, id, response); });
}

bool OwnedFleet::answerRead(std::size_t n, std::uint64_t callId, const ReadResponse& response)
{
    if (m_openReads.erase({ n, callId }) == 0)
        return false;
    Actions actions;
    withCore(m_processes[n], [&](auto& core) { core.onReadResponse(at(m_now), callId, response, actions); });
    perform(n, std::move(actions));
    return true;
}

// Links between processes.

OwnedFleet::Connection* OwnedFleet::find(std::size_t process, LinkId link, std::size_t& end)
{
    for (const std::unique_ptr<Connection>& connection : m_connections) {
        for (end = 0; end < 2; ++end) {
            if (connection->ends[end].process == process && connection->ends[end].link == link)
                return connection.get();
        }
    }
    return nullptr;
}

void OwnedFleet::open(std::size_t n, const OpenLink& order)
{
    constexpr int connectTimeout = 700;
    const std::size_t target = static_cast<std::size_t>(order.port) - 1;
    if (isCut(n, target)) {
        deliver(n, connectTimeout, [this, link = order.link](Process& opener, Actions& actions) {
            withCore(opener, [&](auto& core) { core.onLinkDown(at(m_now), link, actions); });
        });
        return;
    }
    m_connections.push_back(std::make_unique<Connection>());
    Connection& connection = *m_connections.back();
    connection.ends[0] = LinkEnd { n, order.link };
    connection.ends[1] = LinkEnd { target, ++m_lastAcceptedLink };
    for (const LinkEnd& end : connection.ends) {
        deliver(end.process, linkDelay, [this, link = end.link](Process& process, Actions& actions) {
            withCore(process, [&](auto& core) { core.onLinkUp(at(m_now), link, actions); });
        });
    }
}

void OwnedFleet::close(std::size_t n, LinkId link)
{
    std::size_t end = 0;
    Connection* connection = find(n, link, end);
    if (!connection || connection->ends[end].closed)
        return;
    connection->ends[end].closed = true;
    LinkEnd& other = connection->ends[1 - end];
    if (other.closed || connection->silent || isCut(n, other.process))
        return;
    const int delay = std::max(linkDelay, connection->lastArrival[1 - end] - m_now);
    deliver(other.process, delay, [this, &other](Process& process, Actions& actions) {
        if (std::exchange(other.closed, true))
            return;
        withCore(process, [&](auto& core) { core.onLinkDown(at(m_now), other.link, actions); });
    });
}

void OwnedFleet::send(std::size_t n, const SendMessage& message)
{
    std::size_t end = 0;
    Connection* connection = find(n, message.link, end);
    if (!connection || connection->ends[end].closed)
        return;
    LinkEnd& other = connection->ends[1 - end];
    // Bytes that a cut holds up do not arrive later: either end closes the connection first.
    connection->silent = connection->silent || isCut(n, other.process);
    if (connection->silent)
        return;
    connection->lastArrival[1 - end] = m_now + linkDelay;
    deliver(other.process, linkDelay, [this, &other, message = message.message](Process& process, Actions& actions) {
        if (other.closed)
            return;
        withCore(process, [&](auto& core) { core.onMessage(at(m_now), other.link, message, actions); });
    });
}

// Hosts.

void OwnedFleet::callHost(std::size_t n, const Action& action)
{
    if (const StartOnHost* order = std::get_if<StartOnHost>(&action)) {
        deliver(n, hostDelay, [this, order = *order](Process& process, Actions& actions) {
            HostResponse response;
            response.reason = process.host->start(m_now, order.fence, order.order, order.leaseUntilMilliseconds,
                std::stoi(order.order.payload), Wire::RunEnd::Completed);
            response.answer = response.reason.empty() ? HostAnswer::Done : HostAnswer::Refused;
            response.clockMilliseconds = process.host->clock(m_now);
            process.agent->onStartResponse(at(m_now), order, response, actions);
        });
    } else if (const HaltOnHost* order = std::get_if<HaltOnHost>(&action)) {
        deliver(n, hostDelay, [this, order = *order](Process& process, Actions& actions) {
            HostResponse response;
            const bool done = process.host->stop(m_now, order.fence, order.order.task, order.order.run);
            response.answer = done ? HostAnswer::Done : HostAnswer::Refused;
            response.reason = done ? "" : "fence";
            process.agent->onHaltResponse(at(m_now), order, response, actions);
        });
    } else if (const ListHost* order = std::get_if<ListHost>(&action)) {
        const int until = m_now + static_cast<int>(toMilliseconds(order->wait));
        m_events.emplace(m_now + hostDelay, [this, n, order = *order, until] { list(n, order, until); });
    }
}

void OwnedFleet::list(std::size_t n, const ListHost& order, int until)
{
    VirtualHost& host = *m_processes[n].host;
    const bool isAdmitted = host.renewLease(m_now, order.fence, order.leaseUntilMilliseconds, order.acknowledgedNumber);
    if (isAdmitted)
        m_acknowledgements[host.hostId()].emplace_back(m_now, order.acknowledgedNumber);
    if (isAdmitted && !host.hasUnacknowledgedEnds() && m_now < until) {
        m_events.emplace(m_now + stepMilliseconds, [this, n, order, until] { list(n, order, until); });
        return;
    }
    Wire::HostReport report;
    host.addListing(report);
    HostResponse response;
    response.answer = isAdmitted ? HostAnswer::Done : HostAnswer::Refused;
    response.reason = isAdmitted ? "" : "fence";
    response.incarnation = 1;
    response.clockMilliseconds = host.clock(m_now);
    response.running = report.running;
    response.ended = report.ended;
    deliver(n, hostDelay, [this, order, response](Process& process, Actions& actions) {
        process.agent->onListResponse(at(m_now), order, response, actions);
    });
}

// Clients and checks.

CallerToken OwnedFleet::call(std::size_t entry, Wire::JobCallKind::type kind, const Wire::JobDefinition& job)
{
    const CallerToken token = ++m_lastToken;
    ClientCall call;
    call.kind = kind;
    call.hostName = "desk.example";
    call.path = "/checks/" + job.jobId;
    call.job = job;
    deliver(entry, linkDelay, [this, token, call](Process& process, Actions& actions) {
        process.entry->onClientCall(at(m_now), token, call, actions);
    });
    return token;
}

int OwnedFleet::answeredAt(CallerToken token, Wire::JobReplyKind::type kind) const
{
    const std::map<CallerToken, std::pair<int, Wire::JobReplyKind::type>>::const_iterator it = m_answers.find(token);
    return it != m_answers.end() && it->second.second == kind ? it->second.first : -1;
}

std::optional<std::size_t> OwnedFleet::owner() const
{
    std::optional<std::size_t> newest;
    std::int64_t term = 0;
    for (std::size_t n = 0; n < m_entryCount; ++n) {
        const JobOwner* candidate = m_processes[n].entry->ownership().owner();
        if (!candidate || candidate->term() <= term)
            continue;
        term = candidate->term();
        newest = n;
    }
    return newest;
}

std::size_t OwnedFleet::ownerCount() const
{
    return static_cast<std::size_t>(std::count_if(m_processes.begin(), m_processes.end(),
        [](const Process& process) { return process.entry && process.entry->ownership().owner(); }));
}

int OwnedFleet::startsBetween(int from, int until) const
{
    return static_cast<int>(std::count_if(m_records.begin(), m_records.end(),
        [from, until](const RunRecord& record) { return record.startedAt >= from && record.startedAt < until; }));
}

bool OwnedFleet::isInTouch(const std::string& hostId, int time) const
{
    for (const Process& process : m_processes) {
        if (!process.host || process.host->hostId() != hostId)
            continue;
        return std::none_of(
            process.troubles.begin(), process.troubles.end(), [time](const std::pair<int, int>& trouble) {
                return trouble.first <= time && trouble.second >= time - contactMilliseconds;
            });
    }
    return false;
}

std::string OwnedFleet::describe(const RunRecord& record)
{
    return record.task.jobId + " task " + std::to_string(record.task.index) + " run " + std::to_string(record.run)
        + " on " + record.hostId + " from " + std::to_string(record.startedAt) + " to "
        + std::to_string(record.endedAt);
}

std::vector<std::string> OwnedFleet::startsOfJobAfter(const std::string& jobId, int time) const
{
    std::vector<std::string> found;
    for (const RunRecord& record : m_records) {
        if (record.task.jobId == jobId && record.startedAt > time && isInTouch(record.hostId, record.startedAt))
            found.push_back(describe(record));
    }
    return found;
}

std::vector<std::string> OwnedFleet::startsAfterAcknowledgedEnds() const
{
    constexpr int allowedMilliseconds = 1000;
    std::vector<std::string> found;
    for (const RunRecord& ended : m_records) {
        if (!ended.acknowledged || ended.how != Wire::RunEnd::Completed)
            continue;
        int acknowledgedAt = 0;
        for (const std::pair<int, std::int64_t>& acknowledgement : m_acknowledgements.at(ended.hostId)) {
            if (acknowledgedAt == 0 && acknowledgement.second >= ended.endNumber)
                acknowledgedAt = acknowledgement.first;
        }
        for (const RunRecord& record : m_records) {
            if (record.task == ended.task && record.run != ended.run
                && record.startedAt > acknowledgedAt + allowedMilliseconds
                && isInTouch(record.hostId, record.startedAt))
                found.push_back(
                    describe(record) + ", after an end that was acknowledged at " + std::to_string(acknowledgedAt));
        }
    }
    return found;
}

std::vector<std::string> OwnedFleet::runsAtTheSameTime() const
{
    std::vector<std::string> found;
    for (std::size_t n = 0; n < m_records.size(); ++n) {
        for (std::size_t m = 0; m < n; ++m) {
            const RunRecord& one = m_records[n];
            const RunRecord& other = m_records[m];
            const bool overlap = (other.endedAt < 0 || one.startedAt < other.endedAt)
                && (one.endedAt < 0 || other.startedAt < one.endedAt);
            if (one.task == other.task && overlap)
                found.push_back(describe(other) + "; " + describe(one));
        }
    }
    return found;
}

} // namespace Plantainpier
