/// The client of the platform's log service. docs/PLATFORM.md defines the protocol.
#pragma once

#include "Decision/Job/AppendQueue.h"
#include "Shell/Connection/HttpClient.h"

namespace Plantainpier {

/// The result of one read of the log.
struct LogPage {
    /// The oldest offset that the log still holds.
    std::int64_t oldest = 0;
    /// The offset at which the next read begins.
    std::int64_t next = 0;
    std::vector<std::string> texts;
    bool reachedEnd = false;
};

/// Appends and reads records. Used by EntryDaemon on its log reader thread and its decision thread; lives for the
/// process.
class LogClient {
public:
    using OnAppended = std::function<void(AppendResult result)>;

    LogClient(std::shared_ptr<HttpClient> http, std::string address, int port);

    /// Starts an append; the hook gets the result on the HTTP client's thread.
    void append(const std::vector<std::string>& texts, OnAppended onAppended);
    /// Reads records from an offset and waits for the response.
    Result<LogPage> read(std::int64_t from);

private:
    std::shared_ptr<HttpClient> m_http;
    std::string m_address;
    int m_port;
};

} // namespace Plantainpier
