/// What both roles of the daemon share: its HTTP port, its callers and its end.
#pragma once

#include "Shell/Connection/HttpServer.h"
#include "Shell/Process/DecisionProcess.h"
#include "Shell/Process/Settings.h"

#include <unordered_map>

namespace Plantainpier {

/// The shell around one decision core. A role derives from it and says what its core does with each event.
class Daemon : public DecisionProcess {
public:
    /// Opens the ports and runs until SIGTERM or SIGINT, then shuts down gracefully. The signals must be blocked.
    Result<Success> run();

protected:
    explicit Daemon(Settings settings);

    virtual void leave(Instant now, Actions& actions) = 0;
    virtual bool isDrained() const = 0;
    virtual bool isReady(Instant now) const = 0;
    /// A request to a path that is not one of the common ones. Called on a server thread.
    virtual void onCall(const std::shared_ptr<HttpCall>& call) = 0;
    /// Carries out an action of the role's own; the common ones have been taken.
    virtual void performOwn(Action&& action) = 0;
    /// Fills in the gauges; called on the decision thread.
    virtual void fillMetrics(Metrics& metrics) const = 0;
    /// Threads of the role's own.
    virtual void startThreads() { }
    virtual void stopThreads() { }

    /// Posts an event that answers the call through a token; a full ring is answered at once.
    using CallEvent = std::function<void(Instant now, CallerToken caller, Actions& actions)>;
    void postCall(const std::shared_ptr<HttpCall>& call, CallEvent event);

    const Settings& settings() const { return m_settings; }

private:
    Result<Success> openPorts();
    void performOther(Action&& action) override;
    bool isBusy() const override { return !isDrained(); }
    void dispatchCall(const std::shared_ptr<HttpCall>& call);
    void replyTo(const ReplyToCaller& reply);
    void drain();
    void close();

    Settings m_settings;
    std::unique_ptr<HttpServer> m_server;
    /// Callers that wait for an answer; decision thread only.
    std::unordered_map<CallerToken, std::shared_ptr<HttpCall>> m_calls;
    CallerToken m_lastCaller = 0;
};

} // namespace Plantainpier
