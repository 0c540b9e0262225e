/// Case 9: the open connections to the executors go silent for good, while new ones work. Every executor runs a task
/// that lasts.
#include "Stage.hh"

using namespace Stage;

int main(int, char** arguments)
{
    Record::get().open(arguments[1]);
    const bool trouble = hasTrouble();
    note(std::string("TROUBLE=") + (trouble ? "1" : "0"));
    const Deployment::Place plain { "a", "r1-1" };
    Deployment deployment({ 2, { plain, plain, plain } });
    if (!deployment.start())
        return 2;
    const Json serving { { { "count", 3 }, { "cpu", 13000 }, { "mem_mb", 26000 }, { "estimate_ms", 320 },
        { "long_running", true }, { "anti_affinity", 1 }, { "image", "watch" } } };
    const std::string lasting = "00000000000000a1";
    if (!deployment.submit(0, lasting, serving, Json { { { "ms", 200'000 } } }))
        return 2;
    sleepMs(2000);
    if (deployment.fleet.starts(lasting, 0) != 3)
        return 2;
    // Three jobs of 36 tasks come at once, as wide as the widest of the site.
    const Json wide { { { "count", 36 }, { "cpu", 960 }, { "mem_mb", 1900 }, { "estimate_ms", 640 } } };
    const Json wideWork { { { "ms", 640 } } };
    std::vector<std::thread> clients;
    for (int n = 0; n < 3; ++n)
        clients.emplace_back(
            [&, n] { deployment.submit(0, "00000000000000b" + std::to_string(n), wide, wideWork); });
    for (std::thread& client : clients)
        client.join();
    sleepMs(4000);
    for (int n = 0; n < 3; ++n) {
        if (deployment.await(0, "00000000000000b" + std::to_string(n), "completed", 5000) != "completed")
            return 2;
    }
    const std::int64_t silentMs = nowMs();
    if (trouble) {
        for (const std::shared_ptr<Executor>& executor : deployment.fleet.executors)
            note(executor->id() + ": " + std::to_string(executor->silenceOpenConnections())
                + " open connections go silent");
    }
    sleepMs(5000);
    const std::string later = "00000000000000c1";
    const bool accepted = deployment.submit(0, later, wide, wideWork);
    const std::string state = accepted ? deployment.await(0, later, "completed", 55'000) : "not accepted";
    note("job handed in 5 s after the connections went silent: " + state + " "
        + std::to_string(nowMs() - silentMs) + " ms after that");
    // A task that lasts is missing from the end of its run to its next start.
    std::int64_t longestMs = 0;
    {
        const std::lock_guard<std::recursive_mutex> guard(deployment.fleet.mutex);
        std::map<std::string, std::int64_t> missingSince;
        for (const Fleet::RunSeen& run : deployment.fleet.runs) {
            if (!run.task.starts_with(lasting))
                continue;
            if (missingSince.count(run.task)) {
                const std::int64_t missing = run.startedMs - missingSince[run.task];
                note(run.task + " had no run for " + std::to_string(missing) + " ms, from "
                    + std::to_string(missingSince[run.task] - silentMs) + " ms after the connections went silent");
                longestMs = std::max(longestMs, missing);
            }
            missingSince[run.task] = run.endedMs < 0 ? nowMs() : run.endedMs;
            if (run.endedMs >= 0)
                longestMs = std::max(longestMs, nowMs() - run.endedMs > 60'000 ? nowMs() - run.endedMs : 0);
        }
    }
    // LOST: 3 s without a run, from 6 s after the last one. The runs end 5 s after the connections went silent, so that
    // the 4 s before are calm.
    const bool broken = longestMs > 9000;
    note("longest time without a run of a task that lasts: " + std::to_string(longestMs) + " ms");
    note(broken ? "LOST broken" : "the rule held");
    return broken ? 1 : 0;
}
