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
    Wire::StopRequest, Wire::AttemptReport, Wire::NodeHello, Wire::HostReport, Wire::HostOrders, Wire::JobCall,
    Wire::JobReply>;

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

/// The platform's store as the owner of jobs uses it: each topic is an ordered log, most keep the newest value of a
/// key.
enum class StoreTopic {
    /// What operators write: the policy and requests for upkeep. Read only.
    Policy,
    /// Claims of ownership, in order.
    Owners,
    /// Signs of life of the owner.
    Pulses,
    /// Jobs, their progress and cancellations, and the hosts that were given orders, by key.
    Jobs,
};

/// One record; without a value the key is dropped.
struct StoreRecord {
    std::string key;
    std::string value;
    std::int64_t offset = 0;
};

/// Append records in one call. With an epoch the store refuses older epochs from then on and answers a repeat of the
/// same number like the first time.
struct AppendToStore {
    std::uint64_t callId = 0;
    StoreTopic topic = StoreTopic::Jobs;
    std::vector<StoreRecord> records;
    /// Only if the topic ends here; negative for no condition.
    std::int64_t expectedEnd = -1;
    /// Zero for an append without a producer.
    std::int64_t epoch = 0;
    std::int64_t number = 0;
    Duration timeout {};
};

/// How an append ended.
enum class AppendOutcome {
    Stored,
    /// The topic ends elsewhere; nothing was stored.
    WrongEnd,
    /// A higher epoch was seen, or the number is out of order; nothing was stored.
    Fenced,
    /// The store turned the call away; nothing was stored.
    TurnedAway,
    /// It may have been stored or may still be.
    Uncertain,
};

struct AppendResponse {
    AppendOutcome outcome = AppendOutcome::Uncertain;
    /// Where the first record lies.
    std::int64_t offset = 0;
    std::int64_t end = 0;
};

/// Read records from an offset on, waiting for one at most this long.
struct ReadStore {
    std::uint64_t callId = 0;
    StoreTopic topic = StoreTopic::Owners;
    std::int64_t from = 0;
    Duration wait {};
};

struct ReadResponse {
    bool answered = false;
    /// The offset asked for has been dropped: go on with the newest of each key.
    bool truncated = false;
    /// With truncated: the oldest offset that can still be read.
    std::int64_t first = 0;
    std::int64_t end = 0;
    std::vector<StoreRecord> records;
};

/// Read the newest record of each key, a page at a time.
struct ReadNewest {
    std::uint64_t callId = 0;
    StoreTopic topic = StoreTopic::Jobs;
    /// Continue behind this key; empty for the first page.
    std::string after;
};

struct NewestResponse {
    bool answered = false;
    bool more = false;
    std::int64_t end = 0;
    std::vector<StoreRecord> records;
};

/// Orders to the host beside this side. The host refuses an order whose fence is lower than one that it has seen.
struct StartOnHost {
    std::string hostId;
    std::int64_t incarnation = 0;
    std::int64_t fence = 0;
    std::int64_t leaseUntilMilliseconds = 0;
    /// The newest reading of the host's clock when the order was sent.
    std::int64_t clockMilliseconds = 0;
    Wire::StartOrder order;
};

struct HaltOnHost {
    std::string hostId;
    std::int64_t incarnation = 0;
    std::int64_t fence = 0;
    Wire::HaltOrder order;
};

struct PaceOnHost {
    std::string hostId;
    std::int64_t incarnation = 0;
    std::int64_t fence = 0;
    Wire::PaceOrder order;
};

/// Extends the lease, acknowledges ends and lists what runs; the answer may wait for an end.
struct ListHost {
    /// Counts the lists that this process asks for; the answer to an earlier one may come later.
    std::uint64_t number = 0;
    std::string hostId;
    std::int64_t incarnation = 0;
    std::int64_t fence = 0;
    std::int64_t leaseUntilMilliseconds = 0;
    std::int64_t acknowledgedNumber = 0;
    Duration wait {};
};

/// How a host answered an order.
enum class HostAnswer {
    Done,
    /// The order was refused; nothing was done.
    Refused,
    /// The host is another incarnation than the one meant.
    OtherIncarnation,
    /// Nothing listens at its address: the incarnation has ended.
    NotListening,
    /// No answer: the order may have been carried out or may still be.
    Uncertain,
};

struct HostResponse {
    HostAnswer answer = HostAnswer::Uncertain;
    std::string reason;
    std::int64_t incarnation = 0;
    std::int64_t clockMilliseconds = 0;
    std::vector<Wire::RunningTask> running;
    std::vector<Wire::EndedTask> ended;
    /// The list holds no more ends; others may wait until these are acknowledged.
    bool endsOmitted = false;
    /// The first part that was passed over, for the log; empty when all was read.
    std::string unreadable;
};

/// The final answer to a client's call about a job.
struct AnswerJobCall {
    CallerToken token = 0;
    Wire::JobReply reply;
};

/// One line for the log.
struct WriteLog {
    std::string line;
};

using Action = std::variant<SendMessage, OpenLink, CloseLink, ReplyToCaller, AppendRecords, AppendBatch, CallTarget,
    StartTask, RenewTask, StopTask, ListTasks, AppendToStore, ReadStore, ReadNewest, StartOnHost, HaltOnHost,
    PaceOnHost, ListHost, AnswerJobCall, WriteLog>;
using Actions = std::vector<Action>;

} // namespace Plantainpier
