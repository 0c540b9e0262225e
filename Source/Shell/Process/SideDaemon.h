/// The daemon in role side: connects a SideCore to the target and the worker of one host and to the entries.
#pragma once

#include "Decision/Process/SideCore.h"
#include "Shell/Connection/WorkerClient.h"
#include "Shell/Process/Daemon.h"

namespace Plantainpier {

/// Lives for the process.
class SideDaemon : public Daemon {
public:
    static Result<std::unique_ptr<SideDaemon>> create(const Settings& settings);

private:
    SideDaemon(const Settings& settings, BundleRegistry bundles);

    void tick(Instant now, Actions& actions) override;
    void onMessage(Instant now, LinkId link, const PeerMessage& message, Actions& actions) override;
    void onLinkUp(Instant now, LinkId link, Actions& actions) override;
    void onLinkDown(Instant now, LinkId link, Actions& actions) override;
    void beginShutdown(Instant now, Actions& actions) override;
    bool isDrained() const override { return m_core.isDrained(); }
    bool isReady(Instant) const override { return m_core.isReady(); }
    void onCall(const std::shared_ptr<HttpCall>& call) override;
    void performRoleAction(Action&& action) override;
    void fillMetrics(Metrics& metrics) const override;
    void startThreads() override;

    void callTarget(const CallTarget& call);
    void onTargetCall(const std::shared_ptr<HttpCall>& call);

    SideCore m_core;
    std::unique_ptr<WorkerClient> m_worker;
    /// The address of the target. Accessed only on the decision thread.
    ServiceAddress m_target;
};

} // namespace Plantainpier
