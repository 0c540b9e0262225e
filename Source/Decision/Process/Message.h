/// Typed messages between processes, and the actions that the decision logic requests from its shell.
#pragma once

#include "Base/NameTable.h"
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

/// Identifies one connection of this process; ids are never reused.
using LinkId = std::uint64_t;
constexpr LinkId noLink = 0;

/// Identifies one waiting HTTP caller of this process.
using CallerToken = std::uint64_t;

/// Send a message on a connection; the message is dropped silently if the connection is closed.
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
    /// Zero if a retry would not help.
    Duration retryAfter {};
};

/// Pass records to the log service; one append may hold many.
struct AppendRecords {
    std::vector<LogRecord> records;
};

/// Append these texts to the log in one call and report the result.
struct AppendBatch {
    std::vector<std::string> texts;
};

/// Run a request on this side's target.
struct CallTarget {
    std::string dispatchId;
    bool idempotent = false;
    std::string body;
    Duration timeout {};
};

/// Start a task on the worker under a lease that ends at the given time of the worker's clock.
struct StartTask {
    std::string taskId;
    std::int32_t attempt = 0;
    std::int64_t leaseUntilMilliseconds = 0;
    Wire::Resources demand;
    std::string payload;
    std::string checkpoint;
};

/// Extend a running task's lease to the given time of the worker's clock.
struct RenewTask {
    std::string taskId;
    std::int32_t attempt = 0;
    std::int64_t leaseUntilMilliseconds = 0;
};

/// Stop a task on the worker, after a checkpoint if one is requested.
struct StopTask {
    std::string taskId;
    std::int32_t attempt = 0;
    bool checkpoint = false;
};

/// Query the worker's clock, its tasks and their usage.
struct ListTasks { };

/// Topics of the platform's store that jobs use. Each topic is an ordered log; most topics keep the newest value of
/// each key.
enum class StoreTopic {
    /// The policy and maintenance requests, written by operators. Read only.
    Policy,
    /// Claims of ownership, in order.
    Owners,
    /// Pulses, the heartbeat records of the owner.
    Pulses,
    /// Jobs, their progress and cancellations, and the hosts that received orders, by key.
    Jobs,
};

/// One record; an empty value deletes the key.
struct StoreRecord {
    std::string key;
    std::string value;
    std::int64_t offset = 0;
};

/// Append records in one call. Once an append carries an epoch, the store refuses older epochs, and it answers a
/// repeated sequence number with the outcome of the first append.
struct AppendToStore {
    std::uint64_t callId = 0;
    StoreTopic topic = StoreTopic::Jobs;
    std::vector<StoreRecord> records;
    /// Append only if the topic ends at this offset; negative for no condition.
    std::int64_t expectedEndOffset = -1;
    /// Zero for an append without a producer, which has no sequence number either.
    std::int64_t epoch = 0;
    std::int64_t appendNumber = 0;
    Duration timeout {};
};

/// Outcome of an append.
enum class AppendOutcome {
    Stored,
    /// The topic does not end at the expected offset; nothing was stored.
    EndMismatch,
    /// The store has accepted a higher epoch, or the sequence number is out of order; nothing was stored.
    Fenced,
    /// The store rejected the call; nothing was stored.
    Rejected,
    /// The records may have been stored or may still be stored.
    Uncertain,
};

inline constexpr std::array appendOutcomeNames {
    NamedValue { AppendOutcome::Stored, "stored" },
    NamedValue { AppendOutcome::EndMismatch, "end_mismatch" },
    NamedValue { AppendOutcome::Fenced, "fenced" },
    NamedValue { AppendOutcome::Rejected, "rejected" },
    NamedValue { AppendOutcome::Uncertain, "uncertain" },
};

struct AppendResponse {
    AppendOutcome outcome = AppendOutcome::Uncertain;
    /// Offset of the first record.
    std::int64_t offset = 0;
    std::int64_t endOffset = 0;
};

/// Read records from an offset on; if there are none, the store waits up to the given time for one.
struct ReadStore {
    std::uint64_t callId = 0;
    StoreTopic topic = StoreTopic::Owners;
    std::int64_t fromOffset = 0;
    Duration wait {};
    /// Set for a read that must not be lost with a kept connection that has gone silent: the read is made on a new
    /// connection and fails after this time.
    std::optional<Duration> newConnectionTimeout {};
};

struct ReadResponse {
    bool answered = false;
    /// The requested offset has been dropped: continue with the newest record of each key.
    bool truncated = false;
    /// If truncated: the oldest offset that can still be read.
    std::int64_t oldestOffset = 0;
    std::int64_t endOffset = 0;
    std::vector<StoreRecord> records;
};

/// Read the newest record of each key, a page at a time.
struct ReadNewest {
    std::uint64_t callId = 0;
    StoreTopic topic = StoreTopic::Jobs;
    /// Continue after this key; empty for the first page.
    std::string afterKey;
};

struct NewestResponse {
    bool answered = false;
    bool more = false;
    std::int64_t endOffset = 0;
    std::vector<StoreRecord> records;
};

/// Start a run on this side's host. The host refuses any order whose fence is lower than one that it has received.
struct StartOnHost {
    std::string hostId;
    std::int64_t incarnation = 0;
    std::int64_t fence = 0;
    std::int64_t leaseUntilMilliseconds = 0;
    /// The newest reading of the host's clock when the order was sent.
    std::int64_t clockMilliseconds = 0;
    Wire::StartOrder order;
};

/// Stop a run on this side's host.
struct HaltOnHost {
    std::string hostId;
    std::int64_t incarnation = 0;
    std::int64_t fence = 0;
    Wire::HaltOrder order;
};

/// Set the pace of a filler on this side's host.
struct SetPaceOnHost {
    std::string hostId;
    std::int64_t incarnation = 0;
    std::int64_t fence = 0;
    /// The newest reading of the host's clock when the order was sent.
    std::int64_t clockMilliseconds = 0;
    /// Sequence number of the call within this process.
    std::uint64_t callNumber = 0;
    Wire::PaceOrder order;
};

/// Extend the lease, acknowledge ended runs and list the host's runs; the host may delay its answer until a run ends.
struct ListHost {
    /// Sequence number of the list within this process. The response to an earlier list may arrive later.
    std::uint64_t listNumber = 0;
    std::string hostId;
    std::int64_t incarnation = 0;
    std::int64_t fence = 0;
    std::int64_t leaseUntilMilliseconds = 0;
    std::int64_t acknowledgedNumber = 0;
    Duration wait {};
};

/// How a host answered an order or a list.
enum class HostAnswer {
    Done,
    /// The host refused the order; nothing was done.
    Refused,
    /// A different incarnation of the host answered.
    OtherIncarnation,
    /// Nothing listens at the host's address: the incarnation has ended.
    NotListening,
    /// No answer: the order may have been carried out or may still be carried out.
    Uncertain,
};

struct HostResponse {
    HostAnswer answer = HostAnswer::Uncertain;
    std::string reason;
    std::int64_t incarnation = 0;
    std::int64_t clockMilliseconds = 0;
    std::vector<Wire::RunningTask> running;
    /// In the order of their numbers.
    std::vector<Wire::EndedTask> ended;
    /// The list does not show all runs or all ends, so a run that is missing from it may be active or have ended.
    bool isIncomplete = false;
    /// Describes the first part of the response that was skipped as undecodable, for the log; empty if there is none.
    std::string decodeError;
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
    SetPaceOnHost, ListHost, AnswerJobCall, WriteLog>;
using Actions = std::vector<Action>;

} // namespace Plantainpier
