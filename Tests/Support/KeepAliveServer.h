/// An HTTP server for stand-ins that keeps every connection open, as the hosts and the store of the users' platform do.
/// HttpServer closes connections on which the caller does not ask for more.
#pragma once

#include "Shell/Connection/HttpServer.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace Plantainpier {

/// Serves all connections on one thread. Answers may be given on any thread.
class KeepAliveServer {
public:
    using OnCall = HttpServer::OnCall;

    /// Listens on a port of the loopback interface.
    static Result<std::unique_ptr<KeepAliveServer>> create(int port, OnCall onCall);
    ~KeepAliveServer();
    KeepAliveServer(const KeepAliveServer&) = delete;
    KeepAliveServer& operator=(const KeepAliveServer&) = delete;

    /// Closes the port and all connections.
    void stop();

private:
    class Connection;
    class Call;

    KeepAliveServer(int listener, OnCall onCall);
    void run();
    /// Reads what has arrived and passes complete requests on. Returns false if the connection has ended.
    bool serve(const std::shared_ptr<Connection>& connection);

    int m_listener;
    OnCall m_onCall;
    std::atomic<bool> m_stopping { false };
    std::vector<std::shared_ptr<Connection>> m_connections;
    std::thread m_thread;
};

} // namespace Plantainpier
