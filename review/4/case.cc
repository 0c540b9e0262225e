// An executor fails what it starts for a while; a task that lasts runs there. Afterwards nothing is started there.
#include "Fleet.hh"

using namespace Review;

namespace {

constexpr int executors = 11;
constexpr double greySeconds = 6.5;
const std::string lasting = "00000000000000a1";

std::string id(int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "00000000%08x", static_cast<unsigned>(number));
    return text;
}

bool test(bool trouble)
{
    FleetSettings settings;
    settings.entries = 2;
    settings.executors = executors;
    // One executor of another kind.
    settings.configure = [](int number, ExecutorSettings& executor) {
        executor.labels = { number == 0 ? "b" : "a", "r1-" + std::to_string(1 + number / 3) };
    };
    settings.plan = [](const std::string& task, const std::string&) {
        return task.compare(0, lasting.size(), lasting) == 0 ? TaskPlan { -1, "", 5 } : TaskPlan { 400, "done", 500 };
    };
    Fleet fleet("review/4", settings);
    fleet.waitUntilReady();
    const std::string lastingJob = "{\"spec\":\"lasts\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":1000,"
                                   "\"estimate_ms\":400,\"long_running\":true,\"requires\":\"b\"}]}";
    const std::string batchJob = "{\"spec\":\"work\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":500,"
                                 "\"estimate_ms\":400,\"requires\":\"b\"}]}";
    if (!fleet.submit(lasting, lastingJob))
        throw std::runtime_error("the lasting job was not accepted");
    const double runningLimit = fleet.seconds() + 10;
    while (fleet.runs().running(lasting) == 0 && fleet.seconds() < runningLimit)
        pause(0.1);
    if (fleet.runs().running(lasting) == 0)
        throw std::runtime_error("the lasting task does not run");
    pause(2);
    fleet.note(trouble ? "i-1 fails all that it starts" : "i-1 stays sound");
    fleet.executor(0).failWhatStarts(trouble);
    const double greyEnd = fleet.seconds() + greySeconds;
    int number = 1;
    for (; fleet.seconds() < greyEnd; ++number) {
        fleet.submit(id(number), batchJob);
        pause(0.5);
    }
    fleet.executor(0).failWhatStarts(false);
    fleet.note("i-1 is sound again");
    // Longer than the seven calm seconds that the rule asks for, and than any bound of the pages.
    pause(10);
    const int first = number;
    int accepted = 0;
    for (; number < first + 3; ++number)
        accepted += fleet.submit(id(number), batchJob) ? 1 : 0;
    if (accepted < 3)
        throw std::runtime_error("a job was not accepted after the disruption");
    pause(20);
    int waiting = 0;
    for (int n = first; n < number; ++n) {
        const int starts = fleet.runs().count(id(n), "start");
        fleet.note("job " + id(n) + ": " + std::to_string(starts) + " starts in 20 s, shown as " + fleet.state(id(n)));
        waiting += starts == 0 ? 1 : 0;
    }
    fleet.noteRuns("0000");
    fleet.noteLogs("event=host_quarantined", 3);
    fleet.noteLogs("event=task_waits", 3);
    const bool alive = fleet.areProcessesAlive();
    return waiting > 0 || !alive;
}

} // namespace

int main() { return runCase(test); }
