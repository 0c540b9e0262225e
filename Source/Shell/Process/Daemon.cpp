#include "Shell/Process/Daemon.h"

#include "Base/Json.h"
#include "Base/LogLine.h"
#include "Shell/Process/Clock.h"

#include <csignal>
#include <future>
#include <spdlog/spdlog.h>

namespace Plantainpier {

namespace {

    constexpr int serverThreads = 2;
    constexpr int httpOk = 200;
    constexpr int httpUnavailable = 503;
    /// Longest wait for requests in progress at a graceful shutdown.
    constexpr Duration drainLimit = seconds(60);
    constexpr Duration drainPoll = milliseconds(50);
    /// How long the process still answers after its last request, so that peers and balancers hear that it leaves.
    constexpr Duration quietPeriod = milliseconds(500);

    void log(const LogLine& line) { spdlog::info("{}", line.text()); }

    void awaitEndSignal()
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
    , m_loop([this](Instant now, Actions& actions) { tick(now, actions); },
          [this](Action&& action) { perform(std::move(action)); }, [this] { return !isDrained(); })
{
}

Result<Success> Daemon::openPorts()
{
    Result<std::shared_ptr<HttpClient>> http = HttpClient::create();
    if (!isOk(http))
        return errorOf(http);
    m_http = takeValue(std::move(http));
    LinkHooks hooks;
    hooks.onUp = [this](LinkId link) {
        m_loop.post([this, link](Instant now, Actions& actions) { onLinkUp(now, link, actions); });
    };
    hooks.onDown = [this](LinkId link, const std::string& why) {
        m_loop.post([this, link, why](Instant now, Actions& actions) {
            actions.push_back(WriteLog { LogLine("link_down").add("link", link).add("why", why).text() });
            onLinkDown(now, link, actions);
        });
    };
    hooks.onMessage = [this](LinkId link, PeerMessage&& message) {
        m_loop.post([this, link, message = std::move(message)](
                        Instant now, Actions& actions) { onMessage(now, link, message, actions); });
    };
    Result<std::unique_ptr<LinkHub>> links
        = LinkHub::create(m_settings.listenAddress, m_settings.peerPort, std::move(hooks));
    if (!isOk(links))
        return errorOf(links);
    m_links = takeValue(std::move(links));
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
    m_decider = std::thread([this] { m_loop.run(); });
    LogLine started("started");
    started.add("role", name(m_settings.role)).add("id", m_settings.id).add("zone", m_settings.zone);
    started.add("http_port", m_settings.httpPort).add("peer_port", m_settings.peerPort);
    log(started);
    awaitEndSignal();
    drain();
    close();
    log(LogLine("stopped").add("role", name(m_settings.role)).add("id", m_settings.id));
    return Success {};
}

void Daemon::drain()
{
    m_loop.post([this](Instant now, Actions& actions) { leave(now, actions); });
    const Instant limit = steadyNow() + drainLimit;
    Instant quietSince = steadyNow();
    while (steadyNow() < limit && steadyNow() - quietSince < quietPeriod) {
        std::promise<bool> drained;
        std::future<bool> answer = drained.get_future();
        const bool posted
            = m_loop.post([this, &drained](Instant, Actions&) { drained.set_value(isDrained() && m_calls.empty()); });
        if (!posted || !answer.get())
            quietSince = steadyNow();
        std::this_thread::sleep_for(drainPoll);
    }
}

void Daemon::close()
{
    m_server->stop();
    stopThreads();
    m_links->stop();
    m_loop.stop();
    m_decider.join();
    m_http->stop();
}

void Daemon::perform(Action&& action)
{
    std::visit(Overloaded {
                   [this](SendMessage& send) { m_links->send(send.link, std::move(send.message)); },
                   [this](const OpenLink& open) { m_links->open(open.link, open.address, open.port); },
                   [this](const CloseLink& close) { m_links->close(close.link); },
                   [this](const ReplyToCaller& reply) { replyTo(reply); },
                   [](const WriteLog& line) { spdlog::info("{}", line.line); },
                   [this, &action](const auto&) { performOwn(std::move(action)); },
               },
        action);
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
    const bool posted = m_loop.post([this, call, event = std::move(event)](Instant now, Actions& actions) {
        const CallerToken caller = ++m_lastCaller;
        m_calls[caller] = call;
        event(now, caller, actions);
    });
    if (!posted)
        call->reply(Error { ErrorCode::Overloaded, "the process has too much to decide; nothing was run" });
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
        const bool posted = m_loop.post([this, call](Instant now, Actions&) {
            const bool ready = isReady(now);
            call->reply(ready ? httpOk : httpUnavailable, ready ? "ready\n" : "not ready\n");
        });
        if (!posted)
            call->reply(httpUnavailable, "not ready\n");
        return;
    }
    if (call->path == "/metrics") {
        m_loop.post([this, call](Instant, Actions&) {
            fillMetrics(m_metrics);
            call->reply(httpOk, m_metrics.render());
        });
        return;
    }
    onCall(call);
}

} // namespace Plantainpier
