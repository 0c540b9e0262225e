/// One seeded run of the real programs under faults that come from outside. Lives for one run.
#pragma once

#include "Process/ChildProcess.h"
#include "Process/Relay.h"
#include "Soak/HostStandIn.h"
#include "Soak/StoreStandIn.h"

namespace Plantainpier {

/// What a run is made of.
struct SoakOptions {
    unsigned seed = 1;
    int entries = 3;
    int hosts = 4;
    std::chrono::seconds faults { 12 };
    /// After the faults: everything that was accepted must be done by then.
    std::chrono::seconds calm { 30 };
    int jobsPerSecond = 4;
    int firstPort = 21'000;
    /// Folder for settings and logs; made when it is not there.
    std::string folder;
    std::string program;
};

/// Starts the processes, hurts them, and holds what hosts and clients see against the promises.
class Soak {
public:
    explicit Soak(SoakOptions options);
    ~Soak();
    Soak(const Soak&) = delete;
    Soak& operator=(const Soak&) = delete;

    /// Breaches of promises and faults of the run; empty when all is well.
    std::vector<std::string> run();
    /// One line about what happened.
    std::string summary() const;

private:
    using SteadyTime = std::chrono::steady_clock::time_point;
    enum class Role { Entry, Side };
    /// One process of the system with its relay to the store.
    struct Node {
        Role role = Role::Entry;
        int number = 0;
        std::string name;
        std::unique_ptr<Relay> store;
        std::unique_ptr<ChildProcess> process;
        /// Killed, stopping or frozen, and not back yet.
        bool away = false;
        /// When it was told to stop.
        SteadyTime stoppedAt;
    };
    /// Something that a fault undoes later.
    struct Undo {
        SteadyTime at;
        std::function<void()> action;
    };

    int portOf(int block, int number) const;
    bool start();
    void writeSettings(const Node& node) const;
    void launch(Node& node);
    /// Waits without holding up the faults.
    void startAfterStop(Node& node, bool young);
    /// The entry whose claim is the newest in the store; null before the first.
    Node* owner();
    void hurt();
    void hurtNode(Node& node, unsigned kind);
    void hurtEverybody();
    void hurtStore(unsigned kind);
    void hurtHost(std::size_t number, unsigned kind);
    void undoLater(unsigned least, unsigned most, std::function<void()> action);
    void undoDue(bool all);
    unsigned draw(unsigned below) { return m_random() % below; }

    void clientLoop(unsigned seed);
    void handIn(std::mt19937& random, int number);
    void cancel(std::mt19937& random, const std::string& jobId);
    void follow(std::mt19937& random);
    void follow(std::mt19937& random, const std::string& jobId);
    bool isAllWell() const;
    HttpResponse call(int entry, const std::string& method, const std::string& jobId, const std::string& body);

    SoakOptions m_options;
    std::mt19937 m_random;
    RunAudit m_audit;
    std::shared_ptr<HttpClient> m_http;
    std::unique_ptr<StoreStandIn> m_store;
    std::vector<std::unique_ptr<Relay>> m_hostRelays;
    std::vector<std::unique_ptr<HostStandIn>> m_hosts;
    std::vector<Node> m_nodes;
    std::vector<Undo> m_undo;
    std::vector<std::string> m_faults;
    /// Until then each owner is hurt in turn.
    SteadyTime m_ownersHurtUntil;
    /// The part of faults of hosts in this run, against 8 of the rest.
    unsigned m_hostWeight;
    std::atomic<bool> m_handsIn { true };
    std::atomic<bool> m_stopping { false };
};

} // namespace Plantainpier
