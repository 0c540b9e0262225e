// The only executor with so many idle cores is lost for good; the task of a step that fills is never started again.
#include "Fleet.hh"

using namespace Review;

namespace {

const std::string filling = "00000000000000f1";

bool test(bool trouble)
{
    FleetSettings settings;
    settings.entries = 2;
    settings.executors = 8;
    // Sizes of the site file: 1.0, 1.0, 1.5.
    settings.configure = [](int number, ExecutorSettings& executor) {
        executor.milliCores = number == 0 ? 24'000 : 16'000;
        executor.megabytes = number == 0 ? 96'000 : 64'000;
    };
    settings.plan = [](const std::string&, const std::string&) { return TaskPlan { 9000, "done", 12'000 }; };
    Fleet fleet("review/4", settings);
    fleet.waitUntilReady();
    const std::string job = "{\"spec\":\"plan\",\"steps\":[{\"count\":1,\"cpu\":18000,\"mem_mb\":4000,"
                            "\"estimate_ms\":9000,\"fills\":true,\"image\":\"planner\",\"saves_progress\":true}]}";
    if (!fleet.submit(filling, job))
        throw std::runtime_error("the job was not accepted");
    const double limit = fleet.seconds() + 5;
    while (fleet.runs().running(filling) == 0 && fleet.seconds() < limit)
        pause(0.05);
    pause(2);
    fleet.note("executors run " + std::to_string(fleet.runs().running(filling)) + " task of the job");
    if (trouble) {
        fleet.note("i-1 is lost for good");
        fleet.executor(0).loseForGood();
    }
    std::string shown;
    const double end = fleet.seconds() + 45;
    while (fleet.seconds() < end && shown != "completed") {
        pause(3);
        shown = fleet.state(filling);
    }
    fleet.noteRuns("0000");
    fleet.noteLogs("event=task_waits", 3);
    const bool alive = fleet.areProcessesAlive();
    return shown != "completed" || !alive;
}

} // namespace

int main() { return runCase(test); }
