/// What every daemon around one decision core shares: the deciding thread, links to peers and outgoing HTTP. The
/// daemons of the product's own interface and of the users' platform derive from it.
#pragma once

#include "Base/LogLine.h"
#include "Shell/Connection/HttpClient.h"
#include "Shell/Connection/LinkHub.h"
#include "Shell/Process/DecisionLoop.h"
#include "Shell/Process/Metrics.h"

namespace Plantainpier {

/// Feeds events to a core and carries out the actions that need nothing but links and the log. Lives for the process.
class DecisionProcess {
public:
    virtual ~DecisionProcess() = default;

protected:
    DecisionProcess();

    /// One event of the core; called on the deciding thread.
    virtual void tick(Instant now, Actions& actions) = 0;
    virtual void onMessage(Instant now, LinkId link, const PeerMessage& message, Actions& actions) = 0;
    virtual void onLinkUp(Instant now, LinkId link, Actions& actions) = 0;
    virtual void onLinkDown(Instant now, LinkId link, Actions& actions) = 0;
    /// Carries out an action that is not about links or the log.
    virtual void performOther(Action&& action) = 0;
    /// Whether somebody waits for an answer, so that time must be looked at often.
    virtual bool isBusy() const = 0;

    /// Begins outgoing HTTP and listens for peers.
    Result<Success> openLinks(const std::string& address, int port);
    void startDeciding();
    void stopDeciding();
    void stopLinks() { m_links->stop(); }
    void stopHttp() { m_http->stop(); }
    /// Runs a function on the deciding thread and waits for it; false when the ring is full.
    bool ask(const std::function<bool()>& question);
    static void log(const LogLine& line);

    DecisionLoop& loop() { return m_loop; }
    const std::shared_ptr<HttpClient>& http() const { return m_http; }
    Metrics& metrics() { return m_metrics; }

private:
    void perform(Action&& action);

    DecisionLoop m_loop;
    std::shared_ptr<HttpClient> m_http;
    std::unique_ptr<LinkHub> m_links;
    std::thread m_decider;
    Metrics m_metrics;
};

} // namespace Plantainpier
