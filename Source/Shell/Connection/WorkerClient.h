/// The adapter to the worker beside a side process. Its protocol is docs/PLATFORM.md.
#pragma once

#include "Decision/Job/AttemptManager.h"
#include "Shell/Connection/HttpClient.h"

namespace Plantainpier {

/// Starts, renews, stops and lists tasks. Used by the side's decision thread; lives for the process.
class WorkerClient {
public:
    using OnListing = std::function<void(WorkerListing&& listing)>;

    WorkerClient(std::shared_ptr<HttpClient> http, std::string address, int port);

    void start(const StartTask& task);
    void renew(const RenewTask& task);
    void stop(const StopTask& task);
    /// At most one listing is under way at a time; a further call is dropped.
    void list(OnListing onListing);

private:
    HttpRequest makePost(const std::string& path, const std::string& body) const;

    std::shared_ptr<HttpClient> m_http;
    std::string m_address;
    int m_port;
    std::shared_ptr<std::atomic<bool>> m_listing = std::make_shared<std::atomic<bool>>(false);
};

} // namespace Plantainpier
