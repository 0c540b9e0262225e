#include "Shell/Process/DecisionProcess.h"

#include "Shell/Process/Clock.h"

#include <spdlog/spdlog.h>

namespace Plantainpier {

DecisionProcess::DecisionProcess()
    : m_loop([this](Instant now, Actions& actions) { tick(now, actions); },
        [this](Action&& action) { perform(std::move(action)); }, [this] { return isBusy(); },
        [](const LogLine& line) { log(line); }, steadyNow)
{
    m_loop.sendSignsOfLife = [this](Instant now, Actions& actions) { sendSignsOfLife(now, actions); };
}

Result<Success> DecisionProcess::openLinks(const std::string& address, int port)
{
    Result<std::shared_ptr<HttpClient>> http = HttpClient::create();
    if (!isOk(http))
        return errorOf(http);
    m_http = takeValue(std::move(http));
    LinkHooks hooks;
    hooks.onUp = [this](LinkId link) {
        m_loop.postAwaited(
            EventKind::Link, [this, link](Instant now, Actions& actions) { onLinkUp(now, link, actions); });
    };
    hooks.onDown = [this](LinkId link, const std::string& reason) {
        m_loop.postAwaited(EventKind::Link, [this, link, reason](Instant now, Actions& actions) {
            actions.push_back(WriteLog { LogLine("link_down").add("link", link).add("why", reason).text() });
            onLinkDown(now, link, actions);
        });
    };
    hooks.onMessage = [this](LinkId link, PeerMessage&& message) {
        return m_loop.post(isHeartbeat(message) ? EventKind::SignOfLife : EventKind::Message,
            [this, link, message = std::move(message)](
                Instant now, Actions& actions) { onMessage(now, link, message, actions); });
    };
    Result<std::unique_ptr<LinkHub>> links = LinkHub::create(address, port, std::move(hooks));
    if (!isOk(links))
        return errorOf(links);
    m_links = takeValue(std::move(links));
    return Success {};
}

void DecisionProcess::startDecisionThread()
{
    m_decisionThread = std::thread([this] { m_loop.run(); });
}

void DecisionProcess::stopDecisionThread()
{
    m_loop.stop();
    m_decisionThread.join();
}

std::future<bool> DecisionProcess::postFunction(const std::function<bool()>& function)
{
    const std::shared_ptr<std::promise<bool>> promise = std::make_shared<std::promise<bool>>();
    if (!m_loop.post(EventKind::Control, [promise, function](Instant, Actions&) { promise->set_value(function()); }))
        promise->set_value(false);
    return promise->get_future();
}

bool DecisionProcess::runOnDecisionThread(const std::function<bool()>& function)
{
    return postFunction(function).get();
}

bool DecisionProcess::runOnDecisionThread(const std::function<bool()>& function, Duration timeout)
{
    std::future<bool> result = postFunction(function);
    return result.wait_for(timeout) == std::future_status::ready && result.get();
}

void DecisionProcess::log(const LogLine& line) { spdlog::info("{}", line.text()); }

void DecisionProcess::perform(Action&& action)
{
    std::visit(Overloaded {
                   [this](SendMessage& send) { m_links->send(send.link, std::move(send.message)); },
                   [this](const OpenLink& open) { m_links->open(open.link, open.address, open.port); },
                   [this](const CloseLink& close) { m_links->close(close.link); },
                   [](const WriteLog& line) { spdlog::info("{}", line.line); },
                   [this, &action](const auto&) { performProcessAction(std::move(action)); },
               },
        action);
}

} // namespace Plantainpier
