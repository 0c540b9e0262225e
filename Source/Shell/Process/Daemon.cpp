#include "Shell/Process/Daemon.h"

#include "Base/Json.h"
#include "Shell/Process/Clock.h"

#include <csignal>

namespace Plantainpier {

namespace {

    constexpr int serverThreads = 2;
    constexpr int httpOk = 200;
    constexpr int httpUnavailable = 503;
    /// Limit on the wait for requests in progress during a graceful shutdown.
    constexpr Duration drainTimeout = seconds(60);
    constexpr Duration drainPollInterval = milliseconds(50);
    /// How long the process still answers after its last request, so that peers and load balancers notice the shutdown.
    constexpr Duration idlePeriod = milliseconds(500);

    void awaitTerminationSignal()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        int received = 0;
        sigwait(&signals, &received);
    }

} // namespace

Daemon::Daemon(Settings settings)
    : m_settings(std::move(settings))
{
}

Result<Success> Daemon::openPorts()
{
    Result<Success> opened = openLinks(m_settings.listenAddress, m_settings.peerPort);
    if (!isOk(opened))
        return opened;
    Result<std::unique_ptr<HttpServer>> server = HttpServer::create(m_settings.listenAddress, m_settings.httpPort,
        serverThreads, [this](const std::shared_ptr<HttpCall>& call) { dispatchCall(call); });
    if (!isOk(server))
        return errorOf(server);
    m_server = takeValue(std::move(server));
    return Success {};
}

Result<Success> Daemon::run()
{
    Result<Success> opened = openPorts();
    if (!isOk(opened))
        return opened;
    startThreads();
    startDecisionThread();
    LogLine started("started");
    started.add("role", name(m_settings.role)).add("id", m_settings.id).add("zone", m_settings.zone);
    started.add("http_port", m_settings.httpPort).add("peer_port", m_settings.peerPort);
    log(started);
    awaitTerminationSignal();
    drain();
    closePorts();
    log(LogLine("stopped").add("role", name(m_settings.role)).add("id", m_settings.id));
    return Success {};
}

void Daemon::drain()
{
    loop().post(EventKind::Control, [this](Instant now, Actions& actions) { beginShutdown(now, actions); });
    const Instant deadline = steadyNow() + drainTimeout;
    Instant idleSince = steadyNow();
    while (steadyNow() < deadline && steadyNow() - idleSince < idlePeriod) {
        if (!runOnDecisionThread([this] { return isDrained() && m_calls.empty(); }))
            idleSince = steadyNow();
        std::this_thread::sleep_for(drainPollInterval);
    }
}

void Daemon::closePorts()
{
    m_server->stop();
    stopThreads();
    stopLinks();
    stopDecisionThread();
    stopHttp();
}

void Daemon::performProcessAction(Action&& action)
{
    if (const ReplyToCaller* reply = std::get_if<ReplyToCaller>(&action))
        replyTo(*reply);
    else
        performRoleAction(std::move(action));
}

void Daemon::replyTo(const ReplyToCaller& reply)
{
    std::unordered_map<CallerToken, std::shared_ptr<HttpCall>>::iterator it = m_calls.find(reply.token);
    if (it == m_calls.end())
        return;
    it->second->reply(errorCodeRow(reply.code).httpStatus, reply.body, reply.retryAfter);
    m_calls.erase(it);
}

void Daemon::postCall(const std::shared_ptr<HttpCall>& call, CallEvent event)
{
    const bool posted
        = loop().post(EventKind::Call, [this, call, event = std::move(event)](Instant now, Actions& actions) {
              const CallerToken caller = ++m_lastCaller;
              m_calls[caller] = call;
              event(now, caller, actions);
          });
    if (!posted)
        call->reply(Error { ErrorCode::Overloaded, "the event queue of the process is full; nothing was run" });
}

void Daemon::dispatchCall(const std::shared_ptr<HttpCall>& call)
{
    if (call->body.size() > maximumBodyBytes + (maximumBodyBytes >> 1)) {
        call->reply(Error { ErrorCode::BodyTooLarge,
            "the body has " + std::to_string(call->body.size()) + " bytes; send at most "
                + std::to_string(maximumBodyBytes) });
        return;
    }
    if (call->path == "/healthz") {
        call->reply(httpOk, "ok\n");
        return;
    }
    if (call->path == "/readyz") {
        const bool posted = loop().post(EventKind::SignOfLife, [this, call](Instant now, Actions&) {
            const bool ready = isReady(now);
            call->reply(ready ? httpOk : httpUnavailable, ready ? "ready\n" : "not ready\n");
        });
        if (!posted)
            call->reply(httpUnavailable, "not ready\n");
        return;
    }
    if (call->path == "/metrics") {
        loop().post(EventKind::Call, [this, call](Instant, Actions&) {
            fillMetrics(metrics());
            call->reply(httpOk, metrics().render());
        });
        return;
    }
    onCall(call);
}

} // namespace Plantainpier
