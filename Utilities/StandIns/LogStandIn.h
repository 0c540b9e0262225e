/// Simulates the platform's log service, with switches that inject faults. The protocol is described in
/// docs/PLATFORM.md.
#pragma once

#include "Base/Json.h"
#include "Shell/Connection/HttpServer.h"

#include <deque>
#include <mutex>

namespace Plantainpier {

/// Limits of the simulated log.
struct LogStandInOptions {
    std::size_t retainedRecords = 1'000'000;
    int appendsPerSecond = 500;
};

/// Keeps a limited number of records with their offsets in memory. Used by the tests and quickstart.
class LogStandIn {
public:
    explicit LogStandIn(const LogStandInOptions& options);
    void onCall(const std::shared_ptr<HttpCall>& call);

private:
    void appendRecords(const std::shared_ptr<HttpCall>& call);
    void readRecords(const std::shared_ptr<HttpCall>& call);
    void applyFaultSwitches(const std::shared_ptr<HttpCall>& call);
    /// Counts one append. False if the appends of the current second exceed the limit.
    bool countAppend();

    LogStandInOptions m_options;
    std::mutex m_mutex;
    std::deque<std::string> m_records;
    std::int64_t m_oldestOffset = 0;
    bool m_unavailable = false;
    int m_delayMilliseconds = 0;
    /// Number of coming appends that are stored but get no response.
    int m_responsesToWithhold = 0;
    /// Keeps the calls without a response open.
    std::deque<std::shared_ptr<HttpCall>> m_withheldCalls;
    std::int64_t m_appendCount = 0;
    std::chrono::steady_clock::time_point m_windowStart;
    int m_appendsInWindow = 0;
};

} // namespace Plantainpier
