/// Simulates the callers of a cluster: sends many requests at once and records each response.
#pragma once

#include "Process/Cluster.h"

#include <condition_variable>
#include <random>

namespace Plantainpier {

/// Parameters of the load.
struct LoadOptions {
    int requests = 10'000;
    int concurrency = 64;
    /// Share of idempotent requests.
    int idempotentPercent = 50;
    int deadlineMilliseconds = 1'500;
    unsigned seed = 1;
    /// A caller whose connection broke, or whose response was "unknown", sends the same key again through another
    /// entry.
    bool resend = true;
    /// Size of the answer to every hundredth request; 0 for answers of the usual size only.
    int largeAnswerBytes = 0;
};

/// One request with the last response that its caller received.
struct CallerView {
    std::string body;
    bool idempotent = false;
    /// done, not_run, unknown, or empty if the connection broke.
    std::string outcome;
    std::string answer;
    std::string reason;
    int resends = 0;
    std::chrono::microseconds elapsed {};
};

/// Runs the load against a cluster and compares the responses with what the targets ran.
class CallerLoad {
public:
    CallerLoad(Cluster& cluster, const LoadOptions& options);

    /// Starts the load; answeredCount() returns the number of requests whose final response has arrived.
    void start();
    int answeredCount();
    void await();

    /// Asserts that every response agrees with the audit files of the targets and that no non-idempotent request ran
    /// twice. Prints a summary.
    void checkOutcomes(const std::string& title);
    int count(const std::string& outcome) const;
    /// 99th percentile of the response time of requests with the outcome done; valid after checkOutcomes().
    std::chrono::microseconds doneP99() const { return m_doneP99; }
    const std::vector<CallerView>& views() const { return m_views; }

private:
    void sendNext();
    void send(std::size_t n);
    void onResponse(std::size_t n, std::chrono::steady_clock::time_point began, HttpResponse&& response);
    int pickEntry();
    bool shouldResend(const CallerView& view) const;

    Cluster& m_cluster;
    LoadOptions m_options;
    std::mt19937 m_engine;
    std::mutex m_mutex;
    std::condition_variable m_finished;
    std::vector<CallerView> m_views;
    std::size_t m_nextRequest = 0;
    int m_answeredCount = 0;
    std::chrono::microseconds m_doneP99 {};
};

} // namespace Plantainpier
