/// The common part of both daemon roles: HTTP port, pending callers and graceful shutdown. Base of EntryDaemon and
/// SideDaemon.
#pragma once

#include "Shell/Connection/HttpServer.h"
#include "Shell/Process/DecisionProcess.h"
#include "Shell/Process/Settings.h"

#include <unordered_map>

namespace Plantainpier {

/// Runs one decision core. The derived class of each role passes events to its core.
class Daemon : public DecisionProcess {
public:
    /// Opens the ports and runs until SIGTERM or SIGINT, then shuts down gracefully. The signals must be blocked.
    Result<Success> run();

protected:
    explicit Daemon(Settings settings);

    /// Starts the shutdown of the core: new work is refused, work in progress continues.
    virtual void beginShutdown(Instant now, Actions& actions) = 0;
    virtual bool isDrained() const = 0;
    virtual bool isReady(Instant now) const = 0;
    /// Handles a request to a path other than /healthz, /readyz and /metrics. Called on a server thread.
    virtual void onCall(const std::shared_ptr<HttpCall>& call) = 0;
    /// Carries out an action that is specific to the role.
    virtual void performRoleAction(Action&& action) = 0;
    /// Sets the counters and gauges; called on the decision thread.
    virtual void fillMetrics(Metrics& metrics) const = 0;
    /// Start and stop what the role runs on other threads.
    virtual void startThreads() { }
    virtual void stopThreads() { }

    /// Posts an event that answers the call through a token. If the event queue is full, the call is answered
    /// immediately with Overloaded.
    using CallEvent = std::function<void(Instant now, CallerToken caller, Actions& actions)>;
    void postCall(const std::shared_ptr<HttpCall>& call, CallEvent event);

    const Settings& settings() const { return m_settings; }

private:
    Result<Success> openPorts();
    void performProcessAction(Action&& action) override;
    bool isBusy() const override { return !isDrained(); }
    void dispatchCall(const std::shared_ptr<HttpCall>& call);
    void replyTo(const ReplyToCaller& reply);
    void drain();
    void closePorts();

    Settings m_settings;
    std::unique_ptr<HttpServer> m_server;
    /// Calls that wait for an answer. Accessed only on the decision thread.
    std::unordered_map<CallerToken, std::shared_ptr<HttpCall>> m_calls;
    CallerToken m_lastCaller = 0;
};

} // namespace Plantainpier
