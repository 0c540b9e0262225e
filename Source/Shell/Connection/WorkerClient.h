/// The client of the worker beside a side process. docs/PLATFORM.md defines the protocol.
#pragma once

#include "Decision/Job/AttemptManager.h"
#include "Shell/Connection/HttpClient.h"

namespace Plantainpier {

/// Starts, renews, stops and lists tasks. Used by SideDaemon on its decision thread; lives for the process.
class WorkerClient {
public:
    using OnListing = std::function<void(WorkerListing&& listing)>;

    WorkerClient(std::shared_ptr<HttpClient> http, std::string address, int port);

    void start(const StartTask& task);
    void renew(const RenewTask& task);
    void stop(const StopTask& task);
    /// Requests a listing of all tasks. The call is ignored while an earlier listing is in progress.
    void list(OnListing onListing);

private:
    HttpRequest makePost(const std::string& path, const std::string& body) const;

    std::shared_ptr<HttpClient> m_http;
    std::string m_address;
    int m_port;
    /// Whether a listing is in progress. Shared with the response hook, which may outlive this object.
    std::shared_ptr<std::atomic<bool>> m_isListing = std::make_shared<std::atomic<bool>>(false);
};

} // namespace Plantainpier
