#include "Benchmark/Figure.h"
#include "Decision/Job/CellScheduler.h"
#include "Process/Cluster.h"
#include "Support/TestBundle.h"
#include "Support/VirtualTime.h"

#include <algorithm>
#include <condition_variable>
#include <fstream>
#include <malloc.h>
#include <unistd.h>

namespace Plantainpier {

namespace {

    using Clock = std::chrono::steady_clock;
    using Microseconds = std::chrono::microseconds;

    constexpr double bytesPerMegabyte = 1 << 20;
    constexpr double memoryBoundMegabytes = 64;
    /// 1% of one core.
    constexpr double idleProcessorBound = 0.01;

    double allocatedHeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

    // Benchmarks of the decision library alone.

    /// Microseconds per placement by a leader with the given number of sides.
    double placementMicroseconds(int sides)
    {
        Membership membership(MembershipTiming {}, at(0));
        const BundleRegistry bundles = makeTestRegistry(1);
        CellScheduler scheduler("cell", "entry", 1, membership, bundles, SchedulerTiming {});
        JobStateMachine jobStateMachine("cell");
        Actions actions;
        for (int n = 0; n < sides; ++n) {
            Wire::Announcement message;
            message.sideId = "side-" + std::to_string(n);
            message.incarnation = 1;
            message.capacity = makeResources(64'000, 250'000, 2);
            message.free = makeResources(64'000 - n % 1000, 250'000, 2);
            membership.onAnnouncement(at(0), 1, message);
            SideView& side = *membership.find(message.sideId);
            side.dataLinkMonitor.emplace(LinkTiming {}, at(0));
            side.dataLinkMonitor->onUp(at(0));
        }
        const LeaderRecord leader { "cell", 1, "entry", 1 };
        scheduler.onRecord(at(0), leader, jobStateMachine.apply(leader), jobStateMachine, actions);
        scheduler.onLogReadToEnd(at(0));
        constexpr int jobs = 320;
        for (int n = 0; n < jobs; ++n) {
            JobRecord record;
            record.jobId = "job-" + std::to_string(n);
            record.cell = "cell";
            record.team = "team-" + std::to_string(n % 140);
            record.demand = makeResources(1000, 1000, 0);
            jobStateMachine.apply(record);
        }
        actions.clear();
        const Clock::time_point startedAt = Clock::now();
        scheduler.tick(at(1), jobStateMachine, actions);
        const Microseconds elapsed = std::chrono::duration_cast<Microseconds>(Clock::now() - startedAt);
        return static_cast<double>(elapsed.count()) / jobs;
    }

    std::vector<Figure> placementTime()
    {
        // 320 placements per second may take a tenth of one core of the leading entry.
        constexpr double bound = 1e6 / 320 / 10;
        return { { "placement_us_100_sides", placementMicroseconds(100), "us", bound },
            { "placement_us_970_sides", placementMicroseconds(970), "us", bound },
            { "placement_us_10000_sides", placementMicroseconds(10'000), "us", 1e6 / 320 } };
    }

    std::vector<Figure> stateBytes()
    {
        constexpr int tasks = 13'800;
        constexpr int sides = 970;
        const double bytesBefore = allocatedHeapBytes();
        JobStateMachine jobStateMachine("cell");
        jobStateMachine.apply(LeaderRecord { "cell", 1, "entry", 1 });
        for (int n = 0; n < tasks; ++n) {
            JobRecord record;
            record.jobId = "job-" + std::to_string(n);
            record.cell = "cell";
            record.team = "team-" + std::to_string(n % 140);
            record.payload = std::string(100, 'x');
            jobStateMachine.apply(record);
            jobStateMachine.apply(AttemptRecord { "cell", 1, record.jobId, 1, "side-" + std::to_string(n % sides) });
        }
        const double bytesWithTasks = allocatedHeapBytes();
        Membership membership(MembershipTiming {}, at(0));
        for (int n = 0; n < sides; ++n) {
            Wire::Announcement message;
            message.sideId = "side-" + std::to_string(n);
            message.zone = "zone-11";
            message.rack = "rack-320";
            message.address = "10.11.12.13";
            membership.onAnnouncement(at(0), 1, message);
        }
        const double bytesWithSides = allocatedHeapBytes();
        return { { "entry_bytes_per_task", (bytesWithTasks - bytesBefore) / tasks, "B",
                     memoryBoundMegabytes / 2 * bytesPerMegabyte / tasks },
            { "entry_bytes_per_side", (bytesWithSides - bytesWithTasks) / sides, "B",
                memoryBoundMegabytes / 4 * bytesPerMegabyte / sides } };
    }

    // Benchmarks of real processes.

    double processorSecondsOf(pid_t pid)
    {
        std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
        std::string field;
        std::vector<std::string> fields;
        while (file >> field)
            fields.push_back(field);
        constexpr std::size_t userTimeField = 13;
        constexpr std::size_t systemTimeField = 14;
        const double ticks = std::stod(fields.at(userTimeField)) + std::stod(fields.at(systemTimeField));
        return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
    }

    double residentMegabytesOf(pid_t pid)
    {
        std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
        double total = 0;
        double resident = 0;
        file >> total >> resident;
        return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / bytesPerMegabyte;
    }

    /// Sorted latencies of requests over persistent connections, with the given number in flight.
    std::vector<Microseconds> measureLatencies(const Cluster& cluster, const std::vector<int>& ports,
        const std::string& path, const std::string& body, int concurrency, int count)
    {
        std::mutex mutex;
        std::condition_variable finished;
        std::vector<Microseconds> elapsed;
        int sent = 0;
        std::function<void()> send = [&] {
            HttpRequest request;
            request.method = "POST";
            request.address = "127.0.0.1";
            request.port = ports[static_cast<std::size_t>(sent++) % ports.size()];
            request.path = path;
            request.body = body;
            request.mayResend = true;
            const Clock::time_point startedAt = Clock::now();
            cluster.http()->submit(std::move(request), [&, startedAt](HttpResponse&&) {
                std::lock_guard<std::mutex> lock(mutex);
                elapsed.push_back(std::chrono::duration_cast<Microseconds>(Clock::now() - startedAt));
                if (sent < count)
                    send();
                finished.notify_all();
            });
        };
        std::unique_lock<std::mutex> lock(mutex);
        for (int n = 0; n < concurrency; ++n)
            send();
        finished.wait(lock, [&] { return static_cast<int>(elapsed.size()) >= count; });
        std::sort(elapsed.begin(), elapsed.end());
        return elapsed;
    }

    double percentile(const std::vector<Microseconds>& sorted, std::size_t percent)
    {
        return static_cast<double>(sorted[sorted.size() * percent / 100].count());
    }

    double median(std::vector<double> values)
    {
        std::sort(values.begin(), values.end());
        return values[values.size() / 2];
    }

    std::vector<Figure> requestPathAndProcesses()
    {
        constexpr int count = 4'000;
        constexpr int rounds = 5;
        /// Allows 1 ms on top of the target's 10 ms.
        constexpr double ratioBound = 1.1;
        /// Half of the slots of the three targets.
        constexpr int concurrentRequests = 12;
        constexpr double addedBoundMicroseconds = 1000;
        Cluster cluster(ClusterOptions { .entries = 2, .sides = 3, .serviceMilliseconds = 10 });
        cluster.start();
        const double entryIdleStart = processorSecondsOf(cluster.entry(0).pid());
        const double sideIdleStart = processorSecondsOf(cluster.side(0).pid());
        constexpr std::chrono::seconds idleTime(10);
        std::this_thread::sleep_for(idleTime);
        const double idleSeconds = static_cast<double>(idleTime.count());
        std::vector<Figure> figures {
            { "entry_idle_cores", (processorSecondsOf(cluster.entry(0).pid()) - entryIdleStart) / idleSeconds, "cores",
                idleProcessorBound },
            { "side_idle_cores", (processorSecondsOf(cluster.side(0).pid()) - sideIdleStart) / idleSeconds, "cores",
                idleProcessorBound },
        };
        const std::vector<int> targets { cluster.targetPort(0), cluster.targetPort(1), cluster.targetPort(2) };
        const std::vector<int> entries { cluster.entryPort(0), cluster.entryPort(1) };
        const Json request { { "caller", "benchmark" }, { "class", "checks" }, { "idempotent", true },
            { "deadline_ms", 1000 }, { "body", "through" } };
        std::vector<double> addedP50;
        std::vector<double> addedP99;
        std::vector<double> ratioP99;
        double sideCores = 0;
        // Direct requests and requests through the entries alternate, so that a slow phase of the machine affects both;
        // the median of the rounds is reported.
        for (int round = 0; round < rounds; ++round) {
            const std::vector<Microseconds> direct
                = measureLatencies(cluster, targets, "/v1/run", "direct", concurrentRequests, count);
            const double sideLoadStart = processorSecondsOf(cluster.side(0).pid());
            const Clock::time_point loadStartedAt = Clock::now();
            const std::vector<Microseconds> viaEntries
                = measureLatencies(cluster, entries, "/v1/requests", request.dump(), concurrentRequests, count);
            const double loadSeconds = std::chrono::duration<double>(Clock::now() - loadStartedAt).count();
            sideCores = (processorSecondsOf(cluster.side(0).pid()) - sideLoadStart) / loadSeconds;
            addedP50.push_back(percentile(viaEntries, 50) - percentile(direct, 50));
            addedP99.push_back(percentile(viaEntries, 99) - percentile(direct, 99));
            ratioP99.push_back(percentile(viaEntries, 99) / percentile(direct, 99));
        }
        figures.push_back({ "path_added_p50_us", median(addedP50), "us", addedBoundMicroseconds });
        figures.push_back({ "path_added_p99_us", median(addedP99), "us", addedBoundMicroseconds });
        figures.push_back({ "path_p99_ratio", median(ratioP99), "ratio", ratioBound });
        figures.push_back({ "side_loaded_cores", sideCores, "cores", 1 });
        figures.push_back(
            { "entry_resident_mb", residentMegabytesOf(cluster.entry(0).pid()), "MB", memoryBoundMegabytes });
        figures.push_back(
            { "side_resident_mb", residentMegabytesOf(cluster.side(0).pid()), "MB", memoryBoundMegabytes });
        return figures;
    }

} // namespace

bool runClockBenchmarks(const std::string& selectedFigure)
{
    bool ok = true;
    for (std::vector<Figure> (*measure)() : { placementTime, stateBytes, requestPathAndProcesses }) {
        for (const Figure& figure : measure()) {
            if (!selectedFigure.empty() && figure.name != selectedFigure)
                continue;
            print(figure);
            ok = ok && figure.isOk();
        }
    }
    return ok;
}

} // namespace Plantainpier
