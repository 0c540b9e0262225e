/// The daemon in role entry: connects an EntryCore to the callers' HTTP requests, the log service and the sides.
#pragma once

#include "Decision/Process/EntryCore.h"
#include "Shell/Connection/LogClient.h"
#include "Shell/Process/Daemon.h"

namespace Plantainpier {

/// Lives for the process.
class EntryDaemon : public Daemon {
public:
    static Result<std::unique_ptr<EntryDaemon>> create(const Settings& settings);

private:
    EntryDaemon(const Settings& settings, BundleRegistry bundles);

    void tick(Instant now, Actions& actions) override;
    void onMessage(Instant now, LinkId link, const PeerMessage& message, Actions& actions) override;
    void onLinkUp(Instant now, LinkId link, Actions& actions) override;
    void onLinkDown(Instant now, LinkId link, Actions& actions) override;
    void beginShutdown(Instant now, Actions& actions) override;
    bool isDrained() const override { return m_core.isDrained(); }
    bool isReady(Instant now) const override { return m_core.isReady(now); }
    void onCall(const std::shared_ptr<HttpCall>& call) override;
    void performRoleAction(Action&& action) override;
    void fillMetrics(Metrics& metrics) const override;
    void startThreads() override;
    void stopThreads() override;

    void onRequestCall(const std::shared_ptr<HttpCall>& call);
    void onJobCall(const std::shared_ptr<HttpCall>& call);
    void onNamedJobCall(const std::shared_ptr<HttpCall>& call, const std::string& jobId);
    /// Reads the log periodically until the shutdown; runs on the log reader thread.
    void readLog();
    /// Reads one page of the log and passes it to the core; returns whether the read reached the end of the log.
    bool readOnce(std::int64_t& from);

    EntryCore m_core;
    std::unique_ptr<LogClient> m_log;
    std::thread m_logReader;
    std::atomic<bool> m_stopping { false };
    /// Whether the core waits for records to be read back; the log is then read at short intervals.
    std::atomic<bool> m_isAwaitingLog { false };
};

} // namespace Plantainpier
