/// Typed messages between processes and the actions that decision logic asks its shell to carry out.
#pragma once

#include "Base/Result.h"
#include "Base/Time.h"
#include "Decision/Job/LogRecord.h"
#include "Wire/Generated/plantainpier_types.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Plantainpier {

/// Every message of Wire/plantainpier.thrift.
using PeerMessage = std::variant<Wire::Announcement, Wire::AnnouncementAck, Wire::Ping, Wire::Pong, Wire::RunRequest,
    Wire::RunAnswer, Wire::ResolveRequest, Wire::ClaimRequest, Wire::ClaimAnswer, Wire::ClaimRelease, Wire::KeyQuery,
    Wire::BundleNotice, Wire::ReserveRequest, Wire::ReserveAnswer, Wire::StartRequest, Wire::HoldRequest,
    Wire::StopRequest, Wire::AttemptReport>;

/// Names one connection for as long as the process lives; never used twice.
using LinkId = std::uint64_t;
constexpr LinkId noLink = 0;

/// Names one waiting HTTP caller of this process.
using CallerToken = std::uint64_t;

/// Send on this connection; silently lost when it is gone.
struct SendMessage {
    LinkId link = noLink;
    PeerMessage message;
};

/// Connect to a peer under a link id chosen by the decision logic.
struct OpenLink {
    LinkId link = noLink;
    std::string address;
    int port = 0;
};

struct CloseLink {
    LinkId link = noLink;
};

/// The final answer to a caller.
struct ReplyToCaller {
    CallerToken token = 0;
    ErrorCode code = ErrorCode::Ok;
    /// The JSON body.
    std::string body;
    /// Zero when waiting would not help.
    Duration retryAfter {};
};

/// Hand records to the log service; many may go in one append.
struct AppendRecords {
    std::vector<LogRecord> records;
};

/// Append these texts to the log in one call and report how that ended.
struct AppendBatch {
    std::vector<std::string> texts;
};

/// Run a request on the target beside this side process.
struct CallTarget {
    std::string dispatchId;
    bool idempotent = false;
    std::string body;
    Duration timeout {};
};

/// Start a task on the worker under a lease that ends at this time of the worker's clock.
struct StartTask {
    std::string taskId;
    std::int32_t attempt = 0;
    std::int64_t leaseUntilMilliseconds = 0;
    Wire::Resources demand;
    std::string payload;
    std::string checkpoint;
};

/// Let a running task's lease end at this later time of the worker's clock.
struct RenewTask {
    std::string taskId;
    std::int32_t attempt = 0;
    std::int64_t leaseUntilMilliseconds = 0;
};

/// Stop a task on the worker, after a checkpoint if asked to.
struct StopTask {
    std::string taskId;
    std::int32_t attempt = 0;
    bool checkpoint = false;
};

/// Ask the worker for its clock, its tasks and their usage.
struct ListTasks { };

/// One line for the log.
struct WriteLog {
    std::string line;
};

using Action = std::variant<SendMessage, OpenLink, CloseLink, ReplyToCaller, AppendRecords, AppendBatch, CallTarget,
    StartTask, RenewTask, StopTask, ListTasks, WriteLog>;
using Actions = std::vector<Action>;

} // namespace Plantainpier
