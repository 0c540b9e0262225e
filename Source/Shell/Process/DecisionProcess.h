/// The common part of all daemons: decision thread, links to peers and outgoing HTTP. Base of Daemon, which serves the
/// plantainpier interface, and of Platform::NodeProgram, which serves the users' platform.
#pragma once

#include "Base/LogLine.h"
#include "Shell/Connection/HttpClient.h"
#include "Shell/Connection/LinkHub.h"
#include "Shell/Process/DecisionLoop.h"
#include "Shell/Process/Metrics.h"

#include <future>

namespace Plantainpier {

/// Passes events to a decision core and carries out the actions that need only links or the log. Lives for the process.
class DecisionProcess {
public:
    virtual ~DecisionProcess() = default;

protected:
    DecisionProcess();

    /// Events for the core; called on the decision thread.
    virtual void tick(Instant now, Actions& actions) = 0;
    /// Called after each event and before each tick, so it must be cheap.
    virtual void sendSignsOfLife(Instant, Actions&) { }
    virtual void onMessage(Instant now, LinkId link, const PeerMessage& message, Actions& actions) = 0;
    virtual void onLinkUp(Instant now, LinkId link, Actions& actions) = 0;
    virtual void onLinkDown(Instant now, LinkId link, Actions& actions) = 0;
    /// Carries out an action that needs neither links nor the log.
    virtual void performProcessAction(Action&& action) = 0;
    /// Whether requests are in progress, so that ticks must be frequent.
    virtual bool isBusy() const = 0;

    /// Creates the HTTP client and listens for peers.
    Result<Success> openLinks(const std::string& address, int port);
    void startDecisionThread();
    void stopDecisionThread();
    void stopLinks() { m_links->stop(); }
    void stopHttp() { m_http->stop(); }
    /// Runs a function on the decision thread, waits for it and returns its result. Returns false if the event queue is
    /// full.
    bool runOnDecisionThread(const std::function<bool()>& function);
    /// The same, but also returns false if the function has not run within the timeout. It may still run later.
    bool runOnDecisionThread(const std::function<bool()>& function, Duration timeout);
    static void log(const LogLine& line);

    DecisionLoop& loop() { return m_loop; }
    const std::shared_ptr<HttpClient>& http() const { return m_http; }
    Metrics& metrics() { return m_metrics; }

private:
    void perform(Action&& action);
    std::future<bool> postFunction(const std::function<bool()>& function);

    DecisionLoop m_loop;
    std::shared_ptr<HttpClient> m_http;
    std::unique_ptr<LinkHub> m_links;
    std::thread m_decisionThread;
    Metrics m_metrics;
};

} // namespace Plantainpier
