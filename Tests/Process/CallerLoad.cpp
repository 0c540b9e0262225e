#include "Process/CallerLoad.h"

#include <algorithm>
#include <cppunit/TestAssert.h>
#include <iostream>

namespace Plantainpier {

namespace {

    constexpr int maximumResends = 3;
    constexpr Duration responseMargin = seconds(5);
    constexpr std::chrono::seconds loadTimeout(120);
    constexpr std::size_t largeAnswerPeriod = 100;
    /// Bytes of an answer that a failure message contains.
    constexpr std::size_t shownAnswerBytes = 60;

} // namespace

CallerLoad::CallerLoad(Cluster& cluster, const LoadOptions& options)
    : m_cluster(cluster)
    , m_options(options)
    , m_engine(options.seed)
    , m_views(static_cast<std::size_t>(options.requests))
{
    for (std::size_t n = 0; n < m_views.size(); ++n) {
        m_views[n].idempotent = static_cast<int>(m_engine() % 100) < options.idempotentPercent;
        m_views[n].body = "request-" + std::to_string(options.seed) + "-" + std::to_string(n);
        if (options.largeAnswerBytes > 0 && n % largeAnswerPeriod == 0)
            m_views[n].body = "size=" + std::to_string(options.largeAnswerBytes) + ";" + m_views[n].body;
    }
}

void CallerLoad::start()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    for (int n = 0; n < m_options.concurrency; ++n)
        sendNext();
}

int CallerLoad::pickEntry()
{
    const std::vector<int> entries = m_cluster.entriesInRotation();
    return m_cluster.entryPort(entries[m_engine() % entries.size()]);
}

void CallerLoad::sendNext()
{
    if (m_nextRequest < m_views.size())
        send(m_nextRequest++);
}

void CallerLoad::send(std::size_t n)
{
    const CallerView& view = m_views[n];
    Json body { { "caller", "test" }, { "class", "checks" }, { "idempotent", view.idempotent },
        { "deadline_ms", m_options.deadlineMilliseconds }, { "body", view.body } };
    if (!view.idempotent) {
        body["key"] = "key-" + view.body;
        body["resend"] = view.resends > 0;
    }
    HttpRequest request;
    request.method = "POST";
    request.address = "127.0.0.1";
    request.port = pickEntry();
    request.path = "/v1/requests";
    request.body = body.dump();
    request.timeout = milliseconds(m_options.deadlineMilliseconds) + responseMargin;
    request.useNewConnection = true;
    const std::chrono::steady_clock::time_point sentAt = std::chrono::steady_clock::now();
    m_cluster.http()->submit(
        std::move(request), [this, n, sentAt](HttpResponse&& response) { onResponse(n, sentAt, std::move(response)); });
}

bool CallerLoad::shouldResend(const CallerView& view) const
{
    const bool uncertain = view.outcome.empty() || view.outcome == "unknown";
    return m_options.resend && uncertain && view.resends < maximumResends;
}

void CallerLoad::onResponse(std::size_t n, std::chrono::steady_clock::time_point sentAt, HttpResponse&& response)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    CallerView& view = m_views[n];
    const Json json = Json::parse(response.body, nullptr, false);
    const bool answered = response.kind == HttpResponse::Kind::Answered && json.is_object();
    const std::string outcome = answered ? json.value("outcome", "") : std::string();
    // "not_run" for a resend refers to the resend only: the request remains uncertain if an earlier send of it was.
    const bool wasUncertain = view.resends > 0;
    view.outcome = wasUncertain && outcome == "not_run" ? "unknown" : outcome;
    view.answer = answered ? json.value("answer", "") : std::string();
    view.reason = answered ? json.value("reason", "") : response.text;
    view.elapsed = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - sentAt);
    if (shouldResend(view)) {
        ++view.resends;
        send(n);
        return;
    }
    ++m_answeredCount;
    sendNext();
    m_finished.notify_all();
}

int CallerLoad::answeredCount()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_answeredCount;
}

void CallerLoad::await()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    const bool allAnswered
        = m_finished.wait_for(lock, loadTimeout, [this] { return m_answeredCount == m_options.requests; });
    CPPUNIT_ASSERT_MESSAGE("not every request was answered within 120 s", allAnswered);
}

int CallerLoad::count(const std::string& outcome) const
{
    return static_cast<int>(std::count_if(
        m_views.begin(), m_views.end(), [&outcome](const CallerView& view) { return view.outcome == outcome; }));
}

void CallerLoad::checkOutcomes(const std::string& title)
{
    const std::map<std::string, int> runCounts = m_cluster.runCounts();
    int doubled = 0;
    int falseNotRun = 0;
    int wrongAnswers = 0;
    int doneWithoutRun = 0;
    std::string example;
    std::vector<std::chrono::microseconds> elapsed;
    std::map<std::string, int> reasons;
    for (const CallerView& view : m_views) {
        const std::map<std::string, int>::const_iterator it = runCounts.find(view.body);
        const int count = it == runCounts.end() ? 0 : it->second;
        const std::size_t expected = view.answer.find(":" + view.body);
        const bool isCorrect = view.answer.starts_with("ran:target-") && expected != std::string::npos
            && (!view.body.starts_with("size=") || static_cast<int>(view.answer.size()) == m_options.largeAnswerBytes);
        const bool isViolation = (!view.idempotent && count > 1) || (view.outcome == "not_run" && count > 0)
            || (view.outcome == "done" && (!isCorrect || count == 0));
        doubled += !view.idempotent && count > 1 ? 1 : 0;
        falseNotRun += view.outcome == "not_run" && count > 0 ? 1 : 0;
        wrongAnswers += view.outcome == "done" && !isCorrect ? 1 : 0;
        doneWithoutRun += view.outcome == "done" && count == 0 ? 1 : 0;
        if (isViolation && example.empty())
            example = view.body + " outcome=" + view.outcome + " runs=" + std::to_string(count)
                + " resends=" + std::to_string(view.resends) + " reason=" + view.reason
                + " answer=" + view.answer.substr(0, shownAnswerBytes);
        if (view.outcome == "not_run" || view.outcome == "unknown")
            ++reasons[view.reason];
        if (view.outcome == "done")
            elapsed.push_back(view.elapsed);
    }
    std::sort(elapsed.begin(), elapsed.end());
    if (!elapsed.empty())
        m_doneP99 = elapsed[elapsed.size() * 99 / 100];
    std::cout << "load title=\"" << title << "\" seed=" << m_options.seed << " requests=" << m_options.requests
              << " done=" << count("done") << " not_run=" << count("not_run") << " unknown=" << count("unknown")
              << " broken=" << count("") << " doubled=" << doubled << " false_not_run=" << falseNotRun
              << " wrong_answers=" << wrongAnswers << " done_p99_us=" << m_doneP99.count();
    for (const std::pair<const std::string, int>& reason : reasons)
        std::cout << " reason_" << reason.first << "=" << reason.second;
    std::cout << std::endl;
    CPPUNIT_ASSERT_EQUAL_MESSAGE("non-idempotent requests that ran twice: " + example, 0, doubled);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("requests that ran although their outcome is not_run: " + example, 0, falseNotRun);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("outcome done with a wrong answer: " + example, 0, wrongAnswers);
    CPPUNIT_ASSERT_EQUAL_MESSAGE("outcome done without a run at any target: " + example, 0, doneWithoutRun);
}

} // namespace Plantainpier
