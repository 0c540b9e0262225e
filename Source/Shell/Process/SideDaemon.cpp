#include "Shell/Process/SideDaemon.h"

#include "Base/Json.h"
#include "Shell/Process/Clock.h"

namespace Plantainpier {

namespace {

    constexpr int httpUnavailable = 503;
    constexpr int maximumSlots = 10'000;
    constexpr int maximumPort = 65'535;
    constexpr std::size_t maximumNameBytes = 128;
    constexpr std::string_view targetPath = "/v1/target";

    SideIdentity identityOf(const Settings& settings)
    {
        return SideIdentity { settings.id, makeIncarnation(),
            PeerAddress { settings.listenAddress, settings.announcedPeerPort }, settings.zone, settings.rack,
            settings.capacity, settings.entries };
    }

    TargetResult resultOf(HttpResponse&& response)
    {
        if (response.kind == HttpResponse::Kind::NotConnected)
            return { TargetResult::Kind::NotStarted, 0, {} };
        if (response.kind == HttpResponse::Kind::Broken)
            return { TargetResult::Kind::Uncertain, 0, {} };
        // By the platform's protocol, a target answers 503 only for a request that it has not started.
        if (response.status == httpUnavailable)
            return { TargetResult::Kind::NotStarted, response.status, {} };
        return { TargetResult::Kind::Answered, response.status, std::move(response.body) };
    }

    /// The announcement that a target sends to the side beside it.
    struct TargetAnnouncementBody {
        ServiceAddress address;
        TargetAnnouncement announcement;
    };

    Result<TargetAnnouncementBody> parseTarget(const std::string& text)
    {
        const Result<Json> parsed = parseJsonObject(text);
        if (!isOk(parsed))
            return errorOf(parsed);
        JsonReader reader(valueOf(parsed), "");
        TargetAnnouncementBody body;
        body.address.address = reader.requiredString("address", maximumNameBytes);
        body.address.port = static_cast<int>(reader.requiredInteger("port", 1, maximumPort));
        body.announcement.slots = static_cast<int>(reader.requiredInteger("slots", 1, maximumSlots));
        body.announcement.leaving = reader.optionalBool("leaving", false);
        reader.rejectUnknownFields();
        if (!reader.errors().empty())
            return joinErrors(reader.errors());
        return body;
    }

} // namespace

Result<std::unique_ptr<SideDaemon>> SideDaemon::create(const Settings& settings)
{
    Result<BundleRegistry> bundles = BundleRegistry::create(settings.trustedKeys);
    if (!isOk(bundles))
        return errorOf(bundles);
    return std::unique_ptr<SideDaemon>(new SideDaemon(settings, takeValue(std::move(bundles))));
}

SideDaemon::SideDaemon(const Settings& settings, BundleRegistry bundles)
    : Daemon(settings)
    , m_core(identityOf(settings), std::move(bundles), steadyNow())
{
}

void SideDaemon::startThreads()
{
    m_worker = std::make_unique<WorkerClient>(http(), settings().worker.address, settings().worker.port);
}

void SideDaemon::tick(Instant now, Actions& actions) { m_core.tick(now, actions); }

void SideDaemon::onMessage(Instant now, LinkId link, const PeerMessage& message, Actions& actions)
{
    m_core.onMessage(now, link, message, actions);
}

void SideDaemon::onLinkUp(Instant now, LinkId link, Actions& actions) { m_core.onLinkUp(now, link, actions); }
void SideDaemon::onLinkDown(Instant now, LinkId link, Actions& actions) { m_core.onLinkDown(now, link, actions); }
void SideDaemon::beginShutdown(Instant now, Actions& actions) { m_core.beginShutdown(now, actions); }

void SideDaemon::onCall(const std::shared_ptr<HttpCall>& call)
{
    if (call->path != targetPath)
        call->reply(Error { ErrorCode::UnknownResource, "there is no resource at " + call->path });
    else if (call->method != "POST")
        call->reply(Error { ErrorCode::WrongMethod, call->path + " accepts POST, not " + call->method });
    else
        onTargetCall(call);
}

void SideDaemon::onTargetCall(const std::shared_ptr<HttpCall>& call)
{
    const Result<TargetAnnouncementBody> body = parseTarget(call->body);
    if (!isOk(body)) {
        call->reply(errorOf(body));
        return;
    }
    postCall(call, [this, body = valueOf(body)](Instant now, CallerToken caller, Actions& actions) {
        m_target = body.address;
        m_core.onTargetAnnouncement(now, body.announcement, actions);
        const Json answer { { "in_progress", m_core.load().inFlight }, { "queued", m_core.load().queued } };
        actions.push_back(ReplyToCaller { caller, ErrorCode::Ok, answer.dump(), {} });
    });
}

void SideDaemon::callTarget(const CallTarget& call)
{
    HttpRequest request;
    request.method = "POST";
    request.address = m_target.address;
    request.port = m_target.port;
    request.path = "/v1/run";
    request.body = call.body;
    request.headers.push_back("X-Dispatch: " + call.dispatchId);
    request.timeout = call.timeout;
    request.mayResend = call.idempotent;
    request.useNewConnection = !call.idempotent;
    http()->submit(std::move(request), [this, dispatchId = call.dispatchId](HttpResponse&& response) {
        const TargetResult result = resultOf(std::move(response));
        loop().postAwaited(EventKind::OtherAnswer, [this, dispatchId, result](Instant now, Actions& actions) {
            m_core.onTargetResult(now, dispatchId, result, actions);
        });
    });
}

void SideDaemon::performRoleAction(Action&& action)
{
    std::visit(Overloaded {
                   [this](const CallTarget& call) { callTarget(call); },
                   [this](const StartTask& task) { m_worker->start(task); },
                   [this](const RenewTask& task) { m_worker->renew(task); },
                   [this](const StopTask& task) { m_worker->stop(task); },
                   [this](const ListTasks&) {
                       m_worker->list([this](WorkerListing&& listing) {
                           loop().postAwaited(EventKind::OtherAnswer,
                               [this, listing = std::move(listing)](
                                   Instant now, Actions& actions) { m_core.onWorkerListing(now, listing, actions); });
                       });
                   },
                   [](const auto&) {},
               },
        action);
}

void SideDaemon::fillMetrics(Metrics& metrics) const
{
    const Wire::Load load = m_core.load();
    metrics.set("target_in_flight", load.inFlight);
    metrics.set("target_queued", load.queued);
    metrics.set("target_slots", load.slots);
    metrics.set("target_latency_seconds", static_cast<double>(load.latencyMicroseconds) / 1e6);
    metrics.set("dispatches_kept", static_cast<double>(m_core.dispatchesKept()));
    metrics.set("attempts", static_cast<double>(m_core.attempts()));
    metrics.set("bundle_version", static_cast<double>(m_core.bundles().version()));
}

} // namespace Plantainpier
