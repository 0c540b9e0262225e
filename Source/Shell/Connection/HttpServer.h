/// The HTTP side of every program, by Pistache. Answers may be given later and from another thread.
#pragma once

#include "Base/Result.h"
#include "Base/Time.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Plantainpier {

/// One request that waits for its answer. Shared by whoever may give the answer; the first one counts.
class HttpCall {
public:
    virtual ~HttpCall() = default;

    /// Answers. False when the caller has gone.
    virtual bool reply(int status, const std::string& body, Duration retryAfter) = 0;
    bool reply(int status, const std::string& body) { return reply(status, body, Duration::zero()); }
    /// Answers with a numbered error.
    bool reply(const Error& error);

    /// Answers with a status, a body and further header lines. False when the caller has gone.
    virtual bool replyWithHeaders(
        int status, const std::string& body, const std::vector<std::pair<std::string, std::string>>& headers)
        = 0;

    std::string method;
    /// The host that the caller named, without a port.
    std::string hostName;
    /// The headers that the server was told to keep, by name.
    std::map<std::string, std::string> headers;
    std::string path;
    /// Without the question mark.
    std::string query;
    std::string body;
};

/// A listening HTTP port. Lives for the process.
class HttpServer {
public:
    /// Hook: called on one of the server's threads for every request.
    using OnCall = std::function<void(const std::shared_ptr<HttpCall>& call)>;

    static Result<std::unique_ptr<HttpServer>> create(
        const std::string& address, int port, int threads, OnCall onCall, std::vector<std::string> keptHeaders = {});
    virtual ~HttpServer() = default;

    /// Waits a moment until the answers to all requests that were read are written, then closes the port and its
    /// connections. Returns how many requests are left without an answer.
    virtual std::size_t stop() = 0;
};

/// A pause as the header Retry-After gives it: whole seconds, rounded up.
std::string retryAfterText(Duration pause);

/// The value of a query parameter; empty when absent.
std::string queryValue(const std::string& query, const std::string& key);

} // namespace Plantainpier
