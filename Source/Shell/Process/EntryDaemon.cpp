#include "Shell/Process/EntryDaemon.h"

#include "Base/LogLine.h"
#include "Shell/Process/Clock.h"

#include <curl/curl.h>
#include <future>
#include <spdlog/spdlog.h>

namespace Plantainpier {

namespace {

    constexpr Duration busyReadInterval = milliseconds(20);
    constexpr Duration idleReadInterval = milliseconds(200);
    constexpr std::string_view requestsPath = "/v1/requests";
    constexpr std::string_view jobsPath = "/v1/jobs";
    constexpr std::string_view bundlesPath = "/v1/bundles";
    constexpr std::string_view statusPath = "/v1/status";

    EntryIdentity identityOf(const Settings& settings)
    {
        return EntryIdentity { settings.id, makeIncarnation(), settings.zone, settings.cell };
    }

    /// Returns the URL-decoded rest of a path after a prefix and a slash; empty if the path has no such rest.
    std::string decodedPathSuffix(const std::string& path, std::string_view prefix)
    {
        if (!path.starts_with(prefix) || path.size() <= prefix.size() + 1 || path[prefix.size()] != '/')
            return {};
        const std::string encoded = path.substr(prefix.size() + 1);
        int n = 0;
        char* decoded = curl_easy_unescape(nullptr, encoded.c_str(), static_cast<int>(encoded.size()), &n);
        std::string text(decoded, static_cast<std::size_t>(n));
        curl_free(decoded);
        return text;
    }

    Error wrongMethod(const HttpCall& call, const std::string& allowed)
    {
        return Error { ErrorCode::WrongMethod, call.path + " accepts " + allowed + ", not " + call.method };
    }

} // namespace

Result<std::unique_ptr<EntryDaemon>> EntryDaemon::create(const Settings& settings)
{
    Result<BundleRegistry> bundles = BundleRegistry::create(settings.trustedKeys);
    if (!isOk(bundles))
        return errorOf(bundles);
    return std::unique_ptr<EntryDaemon>(new EntryDaemon(settings, takeValue(std::move(bundles))));
}

EntryDaemon::EntryDaemon(const Settings& settings, BundleRegistry bundles)
    : Daemon(settings)
    , m_core(identityOf(settings), std::move(bundles), makeRandom(), steadyNow())
{
    m_core.requests().setOnAnswered(
        [this](const CallerAnswer& answer, Duration elapsed) { metrics().observe(answer.outcome, elapsed); });
}

// Events.

void EntryDaemon::tick(Instant now, Actions& actions)
{
    m_core.tick(now, actions);
    m_isAwaitingLog
        = m_core.appendQueue().size() > 0 || !m_core.jobStateMachine().queuedJobs().empty() || !m_core.isDrained();
}

void EntryDaemon::onMessage(Instant now, LinkId link, const PeerMessage& message, Actions& actions)
{
    m_core.onMessage(now, link, message, actions);
}

void EntryDaemon::onLinkUp(Instant now, LinkId link, Actions& actions) { m_core.onLinkUp(now, link, actions); }
void EntryDaemon::onLinkDown(Instant now, LinkId link, Actions& actions) { m_core.onLinkDown(now, link, actions); }
void EntryDaemon::beginShutdown(Instant, Actions&) { m_core.beginShutdown(); }

void EntryDaemon::performRoleAction(Action&& action)
{
    AppendBatch* batch = std::get_if<AppendBatch>(&action);
    if (!batch)
        return;
    m_isAwaitingLog = true;
    m_log->append(batch->texts, [this](AppendResult result) {
        loop().postAwaited(EventKind::StoreAnswer,
            [this, result](Instant now, Actions& actions) { m_core.onAppendResult(now, result, actions); });
    });
}

// Callers.

void EntryDaemon::onCall(const std::shared_ptr<HttpCall>& call)
{
    const std::string key = decodedPathSuffix(call->path, requestsPath);
    const std::string jobId = decodedPathSuffix(call->path, jobsPath);
    if (call->path == requestsPath)
        onRequestCall(call);
    else if (!key.empty() && call->method == "GET")
        postCall(call, [this, key](Instant now, CallerToken caller, Actions& actions) {
            m_core.onRequestQuery(now, caller, key, actions);
        });
    else if (!key.empty())
        call->reply(wrongMethod(*call, "GET"));
    else if (call->path == jobsPath)
        onJobCall(call);
    else if (!jobId.empty())
        onNamedJobCall(call, jobId);
    else if (call->path == bundlesPath && call->method == "POST")
        postCall(call, [this, envelope = call->body](Instant now, CallerToken caller, Actions& actions) {
            m_core.onRollOut(now, caller, envelope, actions);
        });
    else if (call->path == statusPath && call->method == "GET")
        postCall(
            call, [this](Instant now, CallerToken caller, Actions& actions) { m_core.onStatus(now, caller, actions); });
    else if (call->path == bundlesPath || call->path == statusPath)
        call->reply(wrongMethod(*call, call->path == bundlesPath ? "POST" : "GET"));
    else
        call->reply(Error { ErrorCode::UnknownResource, "there is no resource at " + call->path });
}

void EntryDaemon::onRequestCall(const std::shared_ptr<HttpCall>& call)
{
    if (call->method != "POST") {
        call->reply(wrongMethod(*call, "POST"));
        return;
    }
    Result<CallerRequest> request = parseCallerRequest(call->body);
    if (!isOk(request)) {
        call->reply(errorOf(request));
        return;
    }
    postCall(call,
        [this, request = takeValue(std::move(request))](Instant now, CallerToken caller, Actions& actions) mutable {
            m_core.onRequest(now, caller, std::move(request), actions);
        });
}

void EntryDaemon::onJobCall(const std::shared_ptr<HttpCall>& call)
{
    if (call->method != "POST") {
        call->reply(wrongMethod(*call, "POST"));
        return;
    }
    const Result<JobSubmission> submission = parseJobSubmission(call->body, settings().cell);
    if (!isOk(submission)) {
        call->reply(errorOf(submission));
        return;
    }
    postCall(call, [this, submission = valueOf(submission)](Instant now, CallerToken caller, Actions& actions) {
        m_core.onJobSubmission(now, caller, submission, actions);
    });
}

void EntryDaemon::onNamedJobCall(const std::shared_ptr<HttpCall>& call, const std::string& jobId)
{
    if (call->method == "GET")
        postCall(call, [this, jobId](Instant, CallerToken caller, Actions& actions) {
            m_core.onJobQuery(caller, jobId, actions);
        });
    else if (call->method == "DELETE")
        postCall(call, [this, jobId](Instant now, CallerToken caller, Actions& actions) {
            m_core.onJobCancel(now, caller, jobId, actions);
        });
    else
        call->reply(wrongMethod(*call, "GET or DELETE"));
}

// The log.

void EntryDaemon::startThreads()
{
    m_log = std::make_unique<LogClient>(http(), settings().log.address, settings().log.port);
    m_logReader = std::thread([this] { readLog(); });
}

void EntryDaemon::stopThreads()
{
    m_stopping = true;
    m_logReader.join();
}

bool EntryDaemon::readOnce(std::int64_t& from)
{
    LogRead read;
    read.startedAt = steadyNow();
    Result<LogPage> page = m_log->read(from);
    if (!isOk(page)) {
        spdlog::debug("event=log_read text=\"{}\"", errorOf(page).message);
        return false;
    }
    LogPage content = takeValue(std::move(page));
    if (content.oldest > from && from > 0)
        spdlog::warn("{}", LogLine("log_gap").add("from", from).add("oldest", content.oldest).text());
    from = content.next;
    read.texts = std::move(content.texts);
    read.reachedEnd = content.reachedEnd;
    // Waits until these records are applied, so that the next read cannot reach the core before this one.
    const std::shared_ptr<std::promise<void>> applied = std::make_shared<std::promise<void>>();
    std::future<void> done = applied->get_future();
    const bool reachedEnd = read.reachedEnd;
    const bool posted
        = loop().post(EventKind::Control, [this, read = std::move(read), applied](Instant now, Actions& actions) {
              m_core.onLogRead(now, read, actions);
              applied->set_value();
          });
    if (posted)
        done.wait();
    return reachedEnd;
}

void EntryDaemon::readLog()
{
    std::int64_t from = 0;
    while (!m_stopping) {
        readOnce(from);
        std::this_thread::sleep_for(m_isAwaitingLog ? busyReadInterval : idleReadInterval);
    }
}

// Metrics.

void EntryDaemon::fillMetrics(Metrics& metrics) const
{
    const RequestTotals& totals = m_core.requests().totals();
    metrics.set("requests_total", static_cast<double>(totals.requests));
    metrics.set("dispatches_total", static_cast<double>(totals.dispatches));
    metrics.set("retries_total", static_cast<double>(totals.retries));
    metrics.set("resolutions_total", static_cast<double>(totals.resolutions));
    metrics.set("requests_in_progress", static_cast<double>(m_core.requests().inProgress()));
    const SchedulerTotals& scheduling = m_core.scheduler().totals();
    metrics.set("placements_total", static_cast<double>(scheduling.placements));
    metrics.set("placement_refusals_total", static_cast<double>(scheduling.refusedReservations));
    metrics.set("task_starts_total", static_cast<double>(scheduling.startedAttempts));
    metrics.set("task_completions_total", static_cast<double>(scheduling.completedAttempts));
    metrics.set("task_losses_total", static_cast<double>(scheduling.lostAttempts));
    metrics.set("jobs_queued", static_cast<double>(m_core.jobStateMachine().queuedJobs().size()));
    metrics.set("jobs_running", static_cast<double>(m_core.jobStateMachine().runningJobIds().size()));
    metrics.set("log_appends_total", static_cast<double>(m_core.appendQueue().appendCount()));
    metrics.set("log_records_waiting", static_cast<double>(m_core.appendQueue().size()));
    metrics.set("sides_known", static_cast<double>(m_core.membership().sides().size()));
    metrics.set("bundle_version", static_cast<double>(m_core.bundles().version()));
}

} // namespace Plantainpier
