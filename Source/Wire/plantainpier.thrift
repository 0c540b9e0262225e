// Messages between the processes of plantainpier. Every call is one-way: an answer is a message of
// its own, so that calls on one connection never wait for each other. Times are durations, never
// clock readings, because the hosts' clocks are not compared.
namespace cpp Plantainpier.Wire

// What became of a request. Running is only ever an interim answer.
enum Outcome { Done = 1, NotRun = 2, Unknown = 3, Running = 4 }

// How loaded the target beside a side process is; travels on every answer.
struct Load {
  1: i32 inFlight
  2: i32 queued
  3: i32 slots
  4: i64 latencyMicroseconds
}

// Processors, memory and accelerators of a host, or a part of them.
struct Resources {
  1: i64 milliProcessors
  2: i64 memoryMegabytes
  3: i32 accelerators
}

// Side to entry, repeated as the heartbeat: who is here and what it can take. sidesReported is the largest
// number of living sides that any entry has told this side of late, so that an entry that sees fewer knows.
struct Announcement {
  1: string sideId
  2: string address
  3: i32 port
  4: string zone
  5: i64 incarnation
  6: bool targetPresent
  7: bool leaving
  8: i64 bundleVersion
  9: Load load
  10: Resources capacity
  11: Resources free
  12: string rack
  13: i32 sidesReported
}

// Entry to side: the heartbeat's answer on the announcement link.
struct AnnouncementAck {
  1: string entryId
  2: i64 bundleVersion
  3: i32 sidesPresent
}

// Either direction: heartbeat on a data link, answered with the same number.
struct Ping { 1: i64 number }
struct Pong { 1: i64 number }

// Entry to side: run one request. The budget is the time left of the caller's deadline.
struct RunRequest {
  1: string dispatchId
  2: string key
  3: string caller
  4: i32 workClass
  5: bool idempotent
  6: i64 budgetMicroseconds
  7: i64 bundleVersion
  8: binary body
  9: i64 sideIncarnation
}

// Side to entry: the answer to RunRequest or ResolveRequest.
struct RunAnswer {
  1: string dispatchId
  2: Outcome outcome
  3: i32 code
  4: string reason
  5: binary body
  6: i64 retryAfterMicroseconds
  7: Load load
  8: i64 sideIncarnation
  9: i64 bundleVersion
  10: i32 status
}

// Entry to side: what became of this dispatch? With fence set, one that was never seen or still waits is
// refused from then on; without it the question changes nothing.
struct ResolveRequest {
  1: string dispatchId
  2: i64 sideIncarnation
  3: bool fence
}

// Entry to side (as witness): remember that this key belongs to this claim, dispatched to that side.
// replacesDispatchId names a fenced dispatch of another claim that this one takes over.
struct ClaimRequest {
  1: string key
  2: string claimId
  3: string dispatchId
  4: string runSideId
  5: i64 runSideIncarnation
  6: string replacesDispatchId
}

// Side to entry: the witness' answer; when the key is taken, what the holder recorded.
struct ClaimAnswer {
  1: string key
  2: string claimId
  3: bool granted
  4: string holderDispatchId
  5: string holderSideId
  6: i64 holderSideIncarnation
  7: i64 witnessUptimeMicroseconds
  8: string witnessId
  9: bool known
  10: string dispatchId
  11: i64 holderAgeMicroseconds
}

// Entry to side (as witness): this claim's dispatch was never sent and never will be, so the key is free again.
struct ClaimRelease { 1: string key, 2: string dispatchId }

// Entry to side: ask without claiming where a key was dispatched.
struct KeyQuery { 1: string key, 2: string queryId }

// Entry to side: the signed bundle in force.
struct BundleNotice {
  1: i64 version
  2: string envelope
}

// Leader to side: set resources aside for one attempt of a task.
struct ReserveRequest {
  1: string taskId
  2: i32 attempt
  3: i64 term
  4: Resources demand
  5: i64 validMicroseconds
}
struct ReserveAnswer {
  1: string taskId
  2: i32 attempt
  3: bool granted
  4: string reason
  5: Resources free
  6: i64 sideClockMicroseconds
}

// Leader to side: start a reserved attempt that the log records.
struct StartRequest {
  1: string taskId
  2: i32 attempt
  3: i64 term
  4: Resources demand
  5: i64 holdMicroseconds
  6: string payload
  7: string checkpoint
  8: i64 basisMicroseconds
}

// Leader to side: go on running this attempt until this long after the basis, which is the side's own clock
// out of the last answer or report that the leader has from it. A late hold so extends nothing. A basis of
// zero only asks for a report.
struct HoldRequest {
  1: string taskId
  2: i32 attempt
  3: i64 term
  4: i64 holdMicroseconds
  5: i64 basisMicroseconds
}

// Leader to side: give the attempt up (with a checkpoint if asked to).
struct StopRequest {
  1: string taskId
  2: i32 attempt
  3: i64 term
  4: bool checkpoint
}

// The state of an attempt on a worker.
enum AttemptState { Absent = 1, Reserved = 2, Running = 3, Completed = 4, Failed = 5, Stopped = 6 }

// Side to leader, on change and on every hold.
struct AttemptReport {
  1: string taskId
  2: i32 attempt
  3: AttemptState state
  4: string result
  5: string checkpoint
  6: i64 sideIncarnation
  7: string sideId
  8: i64 sideClockMicroseconds
}

// ---- Jobs of steps. The owner (one entry at a time) places tasks on hosts; the side beside a host carries
// its orders out and reports what runs there.

// One step of a job: tasks that are alike.
struct StepDefinition {
  1: i32 count
  2: Resources demand
  3: i64 estimateMilliseconds
  4: list<i32> after
  5: bool savesProgress
  6: bool gang
  7: bool sameRack
  8: string requiredLabel
  9: string dataRack
  10: i32 maximumPerHost
  11: bool allowDuplicates
  12: bool longRunning
  13: string image
  14: i64 targetMilliseconds
  15: bool filler
  16: i32 mayMiss
}

// A job as it was accepted, with the rules of its queue at that time. Never changes afterwards.
struct JobDefinition {
  1: string jobId
  2: string queue
  3: string serviceName
  4: i32 priority
  5: i32 maximumAttempts
  6: double stretch
  7: i64 objectiveMilliseconds
  8: string payload
  9: list<StepDefinition> steps
  10: i32 occurrences
  11: i64 firstDueUnixMilliseconds
  12: i64 intervalMilliseconds
  13: i64 acceptedUnixMilliseconds
  14: i64 acceptedTerm
  15: i64 adviceValidityMilliseconds
}

// Names one task of a job; occurrence is 0 for a job that is not repeated.
struct TaskName {
  1: string jobId
  2: i32 occurrence
  3: i32 step
  4: i32 index
}

// What is known for good about one task.
struct TaskMark {
  1: i32 occurrence
  2: i32 step
  3: i32 index
  4: bool completed
  // The runs that failed: an end that is not acknowledged yet is listed again to a later owner and counts once.
  5: list<i32> failedRuns
  6: string checkpoint
}

enum JobOutcome { Open = 1, Completed = 2, Failed = 3, Cancelled = 4 }

// The progress of a job, stored before the ends that it comes from are acknowledged to their host.
struct JobProgress {
  1: list<TaskMark> marks
  2: JobOutcome outcome
}

// A host that the owner has ordered something on, stored before the first order.
struct HostRecord {
  1: i64 incarnation
  2: i64 term
}

// Who owns the jobs. The term is the offset of the record plus one.
struct OwnerClaim {
  1: string nodeId
  2: i64 incarnation
  3: string address
  4: i32 port
}

// The owner is alive and reaches the store. A resigning owner asks for a successor at once. Owners before this one may
// go on granting leases for predecessorsHoldMilliseconds from the time at which the pulse was written; zero while the
// owner has not taken over, when that is not known.
struct OwnerPulse {
  1: i64 term
  2: bool resigning
  3: i64 predecessorsHoldMilliseconds
}

enum RunEnd { Completed = 1, Failed = 2, Stopped = 3, Lapsed = 4, GangBroken = 5, GangAlone = 6 }

// One run on a host. Progress is the share of the run that is done; 100 for a lasting task that is at work. Usage is a rough figure for the last half second: the tail latency in milliseconds of a task
// that serves its own users, else the processor in use in thousandths of a core.
struct RunningTask {
  1: TaskName task
  2: i32 run
  3: string checkpoint
  4: i32 progressPercent
  5: i64 usage
}

// The end of a run, listed by its host until it is acknowledged. Numbers count up within an incarnation.
struct EndedTask {
  1: i64 number
  2: TaskName task
  3: i32 run
  4: RunEnd how
  5: string checkpoint
}

// Absent: the run is not there and can no longer come to be there.
enum OrderOutcome { Started = 1, Refused = 2, Absent = 3 }

struct OrderResult {
  1: TaskName task
  2: i32 run
  3: OrderOutcome outcome
  4: string reason
}

enum HostState { Ready = 1, Draining = 2, Gone = 3 }

// Side to owner: the host beside it, with a new list of runs when listed is true. Gone means that this incarnation
// has ended and runs nothing any more.
struct HostReport {
  1: string hostId
  2: i64 incarnation
  3: string serviceName
  4: string zone
  5: string rack
  6: list<string> labels
  7: Resources capacity
  8: HostState state
  9: i64 remainingMilliseconds
  10: bool listed
  11: i64 clockMilliseconds
  12: list<RunningTask> running
  13: list<EndedTask> ended
  14: list<OrderResult> results
  15: i64 highestTerm
  // With listed: the fence under which the list was asked for, and whether more ends may follow than it holds.
  16: i64 listFence
  17: bool endsOmitted
}

struct StartOrder {
  1: TaskName task
  2: i32 run
  3: string payload
  4: string checkpoint
  5: string ticket
  // The pace at which a filler begins.
  6: i32 percent
}

struct HaltOrder {
  1: TaskName task
  2: i32 run
}

struct PaceOrder {
  1: TaskName task
  2: i32 run
  3: i32 percent
}

// Owner to side. Everything that runs on the host may go on until leaseUntilMilliseconds of the host's own clock. Every
// call to the host carries the fence; the host refuses calls with a lower one than it has seen.
struct HostOrders {
  1: i64 term
  2: string hostId
  3: i64 incarnation
  4: i64 leaseUntilMilliseconds
  5: i64 acknowledgedNumber
  6: list<StartOrder> starts
  7: list<HaltOrder> halts
  8: list<PaceOrder> paces
  9: i64 fence
}

// First message on a link to the owner, and its answer.
struct NodeHello {
  1: string nodeId
  2: i64 incarnation
  3: bool isSide
  4: i64 term
  5: bool isOwner
}

enum JobCallKind { Submit = 1, Status = 2, Cancel = 3, Waiting = 4 }

// Entry to owner: a client's call about a job.
struct JobCall {
  1: i64 callId
  2: JobCallKind kind
  3: string jobId
  4: string queue
  5: JobDefinition job
  6: i64 policyVersion
  7: i64 budgetMilliseconds
}

enum JobReplyKind { Accepted = 1, Refused = 2, Unknown = 3, State = 4, NoSuchJob = 5, WaitingCount = 6, NoSuchQueue = 7, Invalid = 8 }

enum JobPhase { Queued = 1, Running = 2, Completed = 3, Failed = 4, Cancelled = 5 }

// Owner to entry: the final answer. Refused means that the job was not accepted and never runs.
struct JobReply {
  1: i64 callId
  2: JobReplyKind kind
  3: JobPhase phase
  4: i64 waiting
  5: i64 retryAfterMilliseconds
  6: string reason
}

service Peer {
  oneway void announce(1: Announcement message)
  oneway void acknowledge(1: AnnouncementAck message)
  oneway void ping(1: Ping message)
  oneway void pong(1: Pong message)
  oneway void run(1: RunRequest message)
  oneway void answer(1: RunAnswer message)
  oneway void resolve(1: ResolveRequest message)
  oneway void claim(1: ClaimRequest message)
  oneway void claimed(1: ClaimAnswer message)
  oneway void releaseClaim(1: ClaimRelease message)
  oneway void queryKey(1: KeyQuery message)
  oneway void publishBundle(1: BundleNotice message)
  oneway void reserve(1: ReserveRequest message)
  oneway void reserved(1: ReserveAnswer message)
  oneway void start(1: StartRequest message)
  oneway void hold(1: HoldRequest message)
  oneway void stop(1: StopRequest message)
  oneway void report(1: AttemptReport message)
  oneway void hello(1: NodeHello message)
  oneway void hostReport(1: HostReport message)
  oneway void hostOrders(1: HostOrders message)
  oneway void jobCall(1: JobCall message)
  oneway void jobReply(1: JobReply message)
}
