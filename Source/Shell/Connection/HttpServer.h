/// An HTTP server on Pistache, used by all programs. Answers may be given later and from another thread.
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

/// One request that waits for its answer. Shared by all parties that may answer; only the first answer is sent.
class HttpCall {
public:
    virtual ~HttpCall() = default;

    /// Sends the answer. Returns false if the request was already answered or the caller has disconnected.
    virtual bool reply(int status, const std::string& body, Duration retryAfter) = 0;
    bool reply(int status, const std::string& body) { return reply(status, body, Duration::zero()); }
    /// Sends an error as the answer.
    bool reply(const Error& error);

    /// Sends an answer with additional header lines. Returns false as reply() does.
    virtual bool replyWithHeaders(
        int status, const std::string& body, const std::vector<std::pair<std::string, std::string>>& headers)
        = 0;

    std::string method;
    /// The host of the Host header, without the port.
    std::string hostName;
    /// The values of the headers in keptHeaders, by name.
    std::map<std::string, std::string> headers;
    std::string path;
    /// Without the question mark.
    std::string query;
    std::string body;
};

/// A listening HTTP port. Lives for the process.
class HttpServer {
public:
    /// Hook: called for every request, on a thread of the server.
    using OnCall = std::function<void(const std::shared_ptr<HttpCall>& call)>;

    /// Listens on the port. keptHeaders are the names of the request headers that are copied to HttpCall.
    static Result<std::unique_ptr<HttpServer>> create(
        const std::string& address, int port, int threads, OnCall onCall, std::vector<std::string> keptHeaders = {});
    /// Closes the port at once unless stop() was called.
    virtual ~HttpServer() = default;

    /// Refuses further requests, waits a short time for the answers to the requests that were read, and answers the
    /// remaining ones itself: their outcome is unknown. Then closes the port and its connections. Returns the number of
    /// answers that could not be written.
    virtual std::size_t stop() = 0;
};

/// The value of the Retry-After header for a delay: whole seconds, rounded up.
std::string retryAfterText(Duration delay);

/// The value of a query parameter; empty if the parameter is absent.
std::string queryValue(const std::string& query, const std::string& key);

} // namespace Plantainpier
