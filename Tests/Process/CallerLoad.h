/// Callers of the system: many requests at once, and what each was told.
#pragma once

#include "Process/Cluster.h"

#include <condition_variable>
#include <random>

namespace Plantainpier {

/// How callers behave.
struct LoadOptions {
    int requests = 10'000;
    int concurrency = 64;
    /// Of a hundred requests, so many are idempotent.
    int idempotentPercent = 50;
    int deadlineMilliseconds = 1'500;
    unsigned seed = 1;
    /// A caller whose connection broke, or who heard "unknown", sends the same key again through another entry.
    bool resend = true;
    /// Answers of this size for every hundredth request; 0 for none.
    int largeAnswerBytes = 0;
};

/// One request as its caller saw it.
struct CallerView {
    std::string body;
    bool idempotent = false;
    /// done, not_run, unknown, or empty when the connection broke.
    std::string outcome;
    std::string answer;
    std::string reason;
    int resends = 0;
    std::chrono::microseconds elapsed {};
};

/// Runs the load against a cluster and judges it from the outside.
class CallerLoad {
public:
    CallerLoad(Cluster& cluster, const LoadOptions& options);

    /// Starts; done() counts the requests that have been answered.
    void start();
    int done();
    void await();

    /// Asserts what must always hold, against what the targets really ran. Prints a summary.
    void judge(const std::string& title);
    int count(const std::string& outcome) const;
    /// Of the answers to requests that are done; valid after judge().
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
    std::size_t m_next = 0;
    int m_done = 0;
    std::chrono::microseconds m_doneP99 {};
};

} // namespace Plantainpier
