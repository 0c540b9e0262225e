/// Stand-in for the platform's log service, with switches for what fails. Protocol: docs/PLATFORM.md.
#pragma once

#include "Base/Json.h"
#include "Shell/Connection/HttpServer.h"

#include <deque>
#include <mutex>

namespace Plantainpier {

/// Limits of the log stand-in.
struct LogStandInOptions {
    std::size_t retainedRecords = 1'000'000;
    int appendsPerSecond = 500;
};

/// Append-only records with offsets, kept in memory for a limited number. Used by tests and the quick start.
class LogStandIn {
public:
    explicit LogStandIn(const LogStandInOptions& options);
    void onCall(const std::shared_ptr<HttpCall>& call);

private:
    void append(const std::shared_ptr<HttpCall>& call);
    void read(const std::shared_ptr<HttpCall>& call);
    void setSwitches(const std::shared_ptr<HttpCall>& call);
    bool takeAppend();

    LogStandInOptions m_options;
    std::mutex m_mutex;
    std::deque<std::string> m_records;
    std::int64_t m_oldest = 0;
    bool m_down = false;
    int m_slowMilliseconds = 0;
    /// So many of the next appends take effect without an answer.
    int m_answersToLose = 0;
    std::deque<std::shared_ptr<HttpCall>> m_unanswered;
    std::int64_t m_appends = 0;
    std::chrono::steady_clock::time_point m_secondBegan;
    int m_appendsThisSecond = 0;
};

} // namespace Plantainpier
