/// The adapter to the platform's log service. Its protocol is docs/PLATFORM.md.
#pragma once

#include "Decision/Job/AppendQueue.h"
#include "Shell/Connection/HttpClient.h"

namespace Plantainpier {

/// One read of the log.
struct LogPage {
    /// Oldest offset that the log still has.
    std::int64_t oldest = 0;
    /// Where the next read begins.
    std::int64_t next = 0;
    std::vector<std::string> texts;
    bool reachedEnd = false;
};

/// Appends and reads. Used by the entry's log thread and decision thread; lives for the process.
class LogClient {
public:
    using OnAppended = std::function<void(AppendResult result)>;

    LogClient(std::shared_ptr<HttpClient> http, std::string address, int port);

    void append(const std::vector<std::string>& texts, OnAppended onAppended);
    /// Waits for the answer.
    Result<LogPage> read(std::int64_t from);

private:
    std::shared_ptr<HttpClient> m_http;
    std::string m_address;
    int m_port;
};

} // namespace Plantainpier
