#include "Support/VirtualSystem.h"

namespace Plantainpier {

namespace {

    constexpr Duration tickInterval = milliseconds(20);
    constexpr Duration readInterval = milliseconds(50);
    constexpr Duration targetInterval = milliseconds(500);
    constexpr Duration logDelay = milliseconds(5);
    constexpr int slotsPerTarget = 8;

} // namespace

VirtualSystem::VirtualSystem(const VirtualOptions& options)
    : m_options(options)
    , m_engine(options.seed)
    , m_processes(static_cast<std::size_t>(options.entries + options.sides))
{
    for (int n = 0; n < options.entries + options.sides; ++n)
        startProcess(n);
}

Duration VirtualSystem::randomDelay()
{
    return m_options.networkDelay
        + Duration(static_cast<std::int64_t>(m_engine() % static_cast<std::uint64_t>(m_options.jitter.count() + 1)));
}

void VirtualSystem::startProcess(int number)
{
    Process& process = m_processes[static_cast<std::size_t>(number)];
    process.up = true;
    ++process.incarnation;
    process.lastAccepted = noLink;
    process.logPosition = 0;
    const std::string zone = "zone-" + std::to_string(number % 3);
    if (number < m_options.entries) {
        const EntryIdentity identity { "entry-" + std::to_string(number), process.incarnation, zone, "cell" };
        process.entry = std::make_unique<EntryCore>(
            identity, makeTestRegistry(m_options.bundleVersion),
            [this](std::size_t bound) { return static_cast<std::size_t>(m_engine() % bound); }, m_now);
    } else {
        SideIdentity identity;
        identity.sideId = "side-" + std::to_string(number - m_options.entries);
        identity.incarnation = process.incarnation;
        identity.listen.port = number;
        identity.zone = zone;
        identity.capacity = makeResources(16'000, 60'000, 0);
        for (int n = 0; n < m_options.entries; ++n)
            identity.entries.push_back(PeerAddress { "", n });
        process.side = std::make_unique<SideCore>(identity, makeTestRegistry(m_options.bundleVersion), m_now);
    }
    startTick(number, process.incarnation);
}

void VirtualSystem::schedule(Duration delay, std::function<void()> event)
{
    m_events.emplace(m_now + delay, std::move(event));
}

void VirtualSystem::runFor(Duration duration)
{
    const Instant end = m_now + duration;
    while (!m_events.empty() && m_events.begin()->first <= end) {
        std::multimap<Instant, std::function<void()>>::iterator it = m_events.begin();
        m_now = std::max(m_now, it->first);
        const std::function<void()> event = std::move(it->second);
        m_events.erase(it);
        event();
    }
    m_now = end;
}

void VirtualSystem::deliver(Instant at, int number, CoreCall coreCall)
{
    const std::int64_t incarnation = m_processes[static_cast<std::size_t>(number)].incarnation;
    m_events.emplace(at, [this, number, incarnation, coreCall = std::move(coreCall)] {
        const Process& process = m_processes[static_cast<std::size_t>(number)];
        if (!process.up || process.incarnation != incarnation)
            return;
        if (m_now < process.pausedUntil)
            deliver(process.pausedUntil, number, coreCall);
        else
            call(number, coreCall);
    });
}

void VirtualSystem::call(int number, const CoreCall& coreCall)
{
    Actions actions;
    coreCall(m_processes[static_cast<std::size_t>(number)], actions);
    for (Action& action : actions)
        perform(number, action);
}

void VirtualSystem::startTick(int number, std::int64_t incarnation)
{
    Process& process = m_processes[static_cast<std::size_t>(number)];
    if (!process.up || process.incarnation != incarnation)
        return;
    if (m_now >= process.pausedUntil) {
        const bool announcesTarget = process.side && (m_now - at(0)) % targetInterval < tickInterval;
        call(number, [this, announcesTarget](Process& self, Actions& actions) {
            if (self.entry)
                self.entry->tick(m_now, actions);
            if (announcesTarget)
                self.side->onTargetAnnouncement(m_now, TargetAnnouncement { slotsPerTarget, false }, actions);
            if (self.side)
                self.side->tick(m_now, actions);
        });
        const bool readsLog = process.entry && (m_now - at(0)) % readInterval < tickInterval;
        if (readsLog)
            readLog(number);
    }
    schedule(tickInterval, [this, number, incarnation] { startTick(number, incarnation); });
}

void VirtualSystem::readLog(int number)
{
    if (m_logUnavailable)
        return;
    LogRead read;
    read.startedAt = m_now;
    Process& process = m_processes[static_cast<std::size_t>(number)];
    read.texts.assign(m_log.begin() + static_cast<std::ptrdiff_t>(process.logPosition), m_log.end());
    read.reachedEnd = true;
    process.logPosition = m_log.size();
    call(number, [this, &read](Process& self, Actions& actions) { self.entry->onLogRead(m_now, read, actions); });
}

CallerToken VirtualSystem::request(int entry, const CallerRequest& request)
{
    const CallerToken caller = newCaller();
    deliver(m_now, entry, [this, caller, request](Process& self, Actions& actions) {
        self.entry->onRequest(m_now, caller, request, actions);
    });
    return caller;
}

CallerToken VirtualSystem::submitJob(int entry, const JobSubmission& submission)
{
    const CallerToken caller = newCaller();
    deliver(m_now, entry, [this, caller, submission](Process& self, Actions& actions) {
        self.entry->onJobSubmission(m_now, caller, submission, actions);
    });
    return caller;
}

CallerToken VirtualSystem::rollOut(int entry, const std::string& envelope)
{
    const CallerToken caller = newCaller();
    deliver(m_now, entry, [this, caller, envelope](Process& self, Actions& actions) {
        self.entry->onRollOut(m_now, caller, envelope, actions);
    });
    return caller;
}

const VirtualAnswer* VirtualSystem::answerTo(CallerToken caller) const
{
    std::map<CallerToken, VirtualAnswer>::const_iterator it = m_answers.find(caller);
    return it == m_answers.end() ? nullptr : &it->second;
}

// Fault injection.

void VirtualSystem::crash(int number, Duration downFor)
{
    Process& process = m_processes[static_cast<std::size_t>(number)];
    if (!process.up)
        return;
    process.up = false;
    for (const std::unique_ptr<Connection>& connection : m_connections) {
        for (int n = 0; n < 2; ++n) {
            if (connection->open && connection->ends[n].process == number)
                close(number, connection->ends[n].link);
        }
    }
    schedule(downFor, [this, number] { startProcess(number); });
}

void VirtualSystem::suspend(int number, Duration duration)
{
    Process& process = m_processes[static_cast<std::size_t>(number)];
    process.pausedUntil = std::max(process.pausedUntil, m_now + duration);
}

void VirtualSystem::dropTraffic(int number)
{
    for (const std::unique_ptr<Connection>& connection : m_connections)
        connection->silent |= connection->ends[0].process == number || connection->ends[1].process == number;
}

// Actions.

VirtualSystem::Connection* VirtualSystem::find(int process, LinkId link, int& end)
{
    for (const std::unique_ptr<Connection>& connection : m_connections) {
        for (end = 0; end < 2; ++end) {
            const End& candidate = connection->ends[end];
            if (connection->open && candidate.process == process && candidate.link == link)
                return connection.get();
        }
    }
    return nullptr;
}

void VirtualSystem::open(int process, const OpenLink& open)
{
    const int peer = open.port;
    const Instant arrivesAt = m_now + randomDelay();
    const LinkId link = open.link;
    if (!m_processes[static_cast<std::size_t>(peer)].up) {
        deliver(arrivesAt, process, [this, link](Process& self, Actions& actions) {
            if (self.entry)
                self.entry->onLinkDown(m_now, link, actions);
            else
                self.side->onLinkDown(m_now, link, actions);
        });
        return;
    }
    std::unique_ptr<Connection> connection = std::make_unique<Connection>();
    connection->ends[0] = End { process, link };
    connection->ends[1] = End { peer, ++m_processes[static_cast<std::size_t>(peer)].lastAccepted };
    m_connections.push_back(std::move(connection));
    deliver(arrivesAt, process, [this, link](Process& self, Actions& actions) {
        if (self.entry)
            self.entry->onLinkUp(m_now, link, actions);
        else
            self.side->onLinkUp(m_now, link, actions);
    });
}

void VirtualSystem::close(int process, LinkId link)
{
    int end = 0;
    Connection* connection = find(process, link, end);
    if (!connection)
        return;
    connection->open = false;
    if (connection->silent)
        return;
    const End peer = connection->ends[1 - end];
    const Instant arrivesAt = std::max(connection->last[1 - end], m_now + randomDelay());
    deliver(arrivesAt, peer.process, [this, peer](Process& self, Actions& actions) {
        if (self.entry)
            self.entry->onLinkDown(m_now, peer.link, actions);
        else
            self.side->onLinkDown(m_now, peer.link, actions);
    });
}

void VirtualSystem::send(int process, SendMessage& send)
{
    int end = 0;
    Connection* connection = find(process, send.link, end);
    if (!connection || connection->silent)
        return;
    ++m_messages;
    const End peer = connection->ends[1 - end];
    Instant& last = connection->last[1 - end];
    last = std::max(last, m_now + randomDelay());
    deliver(last, peer.process, [this, peer, message = std::move(send.message)](Process& self, Actions& actions) {
        if (self.entry)
            self.entry->onMessage(m_now, peer.link, message, actions);
        else
            self.side->onMessage(m_now, peer.link, message, actions);
    });
}

void VirtualSystem::append(int process, const AppendBatch& batch)
{
    const auto answer = [this, process](Instant arrivesAt, AppendResult result) {
        deliver(arrivesAt, process,
            [this, result](Process& self, Actions& actions) { self.entry->onAppendResult(m_now, result, actions); });
    };
    if (m_logUnavailable) {
        answer(m_now + logDelay, AppendResult::Refused);
        return;
    }
    m_log.insert(m_log.end(), batch.texts.begin(), batch.texts.end());
    if (m_appendResponsesToLose > 0) {
        --m_appendResponsesToLose;
        answer(m_now + seconds(2), AppendResult::Uncertain);
        return;
    }
    answer(m_now + logDelay, AppendResult::Stored);
}

void VirtualSystem::callTarget(int process, const CallTarget& target)
{
    TargetResult result { TargetResult::Kind::Uncertain, 0, {} };
    Duration service = m_options.networkDelay;
    if (!m_options.targetsCloseConnections) {
        m_runs.push_back(target.body);
        result = TargetResult { TargetResult::Kind::Answered, 200, "ran:" + target.body };
        service = m_options.serviceTime;
    }
    deliver(m_now + service, process, [this, dispatchId = target.dispatchId, result](Process& self, Actions& actions) {
        self.side->onTargetResult(m_now, dispatchId, result, actions);
    });
}

void VirtualSystem::perform(int process, Action& action)
{
    std::visit(
        Overloaded {
            [this, process](SendMessage& message) { send(process, message); },
            [this, process](const OpenLink& link) { open(process, link); },
            [this, process](const CloseLink& link) { close(process, link.link); },
            [this](const ReplyToCaller& reply) {
                m_answers[reply.token] = VirtualAnswer { m_now, reply.code, Json::parse(reply.body) };
            },
            [this, process](const AppendBatch& batch) { append(process, batch); },
            [this, process](const CallTarget& target) { callTarget(process, target); },
            [this, process](const WriteLog& line) {
                if (m_options.recordLogLines)
                    m_lines.push_back(std::to_string((m_now - at(0)).count()) + " "
                        + (process < m_options.entries ? "entry-" + std::to_string(process)
                                                       : "side-" + std::to_string(process - m_options.entries))
                        + " " + line.line);
            },
            [this, process](const ListTasks&) {
                deliver(m_now + m_options.networkDelay, process, [this](Process& self, Actions& actions) {
                    self.side->onWorkerListing(m_now, WorkerListing { (m_now - at(0)).count() / 1000, {} }, actions);
                });
            },
            [](const auto&) {},
        },
        action);
}

} // namespace Plantainpier
