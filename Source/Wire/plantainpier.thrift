// Messages between the processes of plantainpier. Every call is one-way and answers are separate messages, so that
// calls on one connection do not wait for each other. Times are durations unless the field's name or comment says
// otherwise, because the clocks of different hosts are not compared.
namespace cpp Plantainpier.Wire

// The outcome of a request. Running is an interim answer.
enum Outcome { Done = 1, NotRun = 2, Unknown = 3, Running = 4 }

// The load of the target beside a side process; part of every answer.
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

// Side to entry, repeated as heartbeat: the identity, capacity and load of the side. sidesReported is the largest
// sidesPresent that an entry has recently sent to this side; an entry whose own view has fewer sides detects by this
// field that its view may be incomplete.
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

// Entry to side: the answer to Announcement, on the same link. sidesPresent is the number of sides that the entry
// counts as possible witnesses.
struct AnnouncementAck {
  1: string entryId
  2: i64 bundleVersion
  3: i32 sidesPresent
}

// Either direction: the heartbeat of a data link. Pong repeats the number of the Ping that it answers. The owner of the
// jobs adds ownershipAgeMilliseconds, as in HostOrders.
struct Ping { 1: i64 number }
struct Pong {
  1: i64 number
  2: optional i64 ownershipAgeMilliseconds
}

// Entry to side: run one request. budgetMicroseconds is the time left until the caller's deadline.
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

// Entry to side: query the outcome of a dispatch. With fence set, a dispatch that has not arrived or is still queued is
// refused from then on. Without fence, the query changes no state.
struct ResolveRequest {
  1: string dispatchId
  2: i64 sideIncarnation
  3: bool fence
}

// Entry to side (as witness): record that the key is held by this claim and its dispatch to runSideId.
// replacesDispatchId names a fenced dispatch of another claim whose key this claim takes over.
struct ClaimRequest {
  1: string key
  2: string claimId
  3: string dispatchId
  4: string runSideId
  5: i64 runSideIncarnation
  6: string replacesDispatchId
}

// Side to entry: the witness's answer to ClaimRequest or KeyQuery. If known is set, the witness already had a record of
// the key, and the holder fields describe it.
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

// Entry to side (as witness): the dispatch of this claim was not sent and will not be sent, so the key is released.
struct ClaimRelease { 1: string key, 2: string dispatchId }

// Entry to side (as witness): query which dispatch holds a key, without claiming the key.
struct KeyQuery { 1: string key, 2: string queryId }

// Entry to side: the signed bundle in force.
struct BundleNotice {
  1: i64 version
  2: string envelope
}

// Leader to side: reserve resources for one attempt of a task.
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

// Leader to side: continue to run this attempt until holdMicroseconds after basisMicroseconds. The basis is the reading
// of the side's own clock in the last answer or report that the leader received from the side, so a delayed message
// does not extend the hold. A basis of zero only requests a report.
struct HoldRequest {
  1: string taskId
  2: i32 attempt
  3: i64 term
  4: i64 holdMicroseconds
  5: i64 basisMicroseconds
}

// Leader to side: stop the attempt. With checkpoint set, a checkpoint is taken first.
struct StopRequest {
  1: string taskId
  2: i32 attempt
  3: i64 term
  4: bool checkpoint
}

// The state of an attempt on a worker.
enum AttemptState { Absent = 1, Reserved = 2, Running = 3, Completed = 4, Failed = 5, Stopped = 6 }

// Side to leader: the state of an attempt, sent when the state changes and as the answer to every HoldRequest.
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

// ---- Jobs with steps. The owner, one entry at a time, places tasks on hosts. The side beside a host carries out the
// owner's orders and reports the runs on the host.

// One step of a job: a number of identical tasks.
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

// A job as accepted, with the rules of its queue at that time. Not changed afterwards.
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

// Identifies one task of a job. occurrence is 0 for a job that is not repeated.
struct TaskName {
  1: string jobId
  2: i32 occurrence
  3: i32 step
  4: i32 index
}

// The persisted progress of one task.
struct TaskMark {
  1: i32 occurrence
  2: i32 step
  3: i32 index
  4: bool completed
  // The runs that failed. A host lists an end that is not yet acknowledged again to a later owner; the run numbers
  // ensure that the failure counts once.
  5: list<i32> failedRuns
  6: string checkpoint
}

enum JobOutcome { Open = 1, Completed = 2, Failed = 3, Cancelled = 4 }

// The progress of a job. Persisted before the ends of runs that it reflects are acknowledged to their hosts.
struct JobProgress {
  1: list<TaskMark> marks
  2: JobOutcome outcome
  // A host has shown that a task of the job started. Also implied by any mark.
  3: bool started
}

// A host that has orders from the owner. Persisted before the first order is sent.
struct HostRecord {
  1: i64 incarnation
  2: i64 term
  // An acknowledgement to an earlier incarnation may make the host forget some of its first ends.
  3: bool mayForgetEnds
  // The incarnation has ended. Kept for a while, because the next one may have the same id.
  4: bool departed
  // The side that reported the host. Empty in records of earlier versions.
  5: string sideId
}

// What fillers take from the serving tasks of one image: for each filler image of the record the headroom that it takes
// when it uses a whole host, and the weight of the samples behind this figure, both in thousandths.
struct ServingPressures {
  1: string image
  2: list<i32> pressures
  3: list<i32> weights
}

// The interference that an owner has learned, for its successors.
struct InterferenceRecord {
  1: list<string> fillers
  2: list<ServingPressures> serving
}

// Identifies the owner of the jobs. The term of the owner is the offset of this record plus one.
struct OwnerClaim {
  1: string nodeId
  2: i64 incarnation
  3: string address
  4: i32 port
  // Thousandths of a processor core: the largest share of all claimants so far. Zero in claims of earlier versions.
  5: i32 largestMilliProcessors
}

// The pulse: the owner's heartbeat record in the store. It shows that the owner is running and reaches the store. A
// resigning owner requests an immediate successor. Earlier owners may continue to grant leases for
// predecessorsHoldMilliseconds from the time at which the pulse was written. The field is zero until the owner has
// taken over, because the duration is not known before.
struct OwnerPulse {
  1: i64 term
  2: bool resigning
  3: i64 predecessorsHoldMilliseconds
}

enum RunEnd { Completed = 1, Failed = 2, Stopped = 3, Lapsed = 4, GangBroken = 5, GangAlone = 6 }

// One run on a host. progressPercent is the completed share of the run; 100 for a long-running task that is working.
// usage is an approximate value for the last half second: the tail latency in milliseconds for a task that serves its
// own users, otherwise the processor usage in thousandths of a core.
struct RunningTask {
  1: TaskName task
  2: i32 run
  3: string checkpoint
  4: i32 progressPercent
  5: i64 usage
  // The newest pace that the host has acknowledged to this process of its side, or -1 if there is none. Absent in reports
  // of earlier versions. A report without a list has rows with task, run and this field only.
  6: optional i32 acknowledgedPacePercent
}

// The end of a run, listed by its host until the end is acknowledged. Numbers increase within an incarnation.
struct EndedTask {
  1: i64 number
  2: TaskName task
  3: i32 run
  4: RunEnd how
  5: string checkpoint
}

// The outcome of an order. Absent: the run is not on the host and can no longer start there.
enum OrderOutcome { Started = 1, Refused = 2, Absent = 3 }

struct OrderResult {
  1: TaskName task
  2: i32 run
  3: OrderOutcome outcome
  4: string reason
}

enum HostState { Ready = 1, Draining = 2, Gone = 3 }

struct RunName {
  1: TaskName task
  2: i32 run
}

// Side to owner: the state of the host beside the side, with a new list of runs if listed is true. Gone means that this
// incarnation of the host has shut down and has no runs.
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
  // Valid if listed is true: the fence under which the list was requested, and whether there may be further runs or ends
  // that the list does not contain.
  16: i64 listFence
  17: bool endsOmitted
  // The host accepts no new connections. Its runs may continue.
  18: bool refusesConnections
  // The report has the changes since the previous list over this connection and under this fence: new and changed runs
  // in running, missing ones in removed, and new ends. The description of the host, from serviceName to capacity, is
  // empty.
  19: bool changesOnly
  20: list<RunName> removed
  // The node id and address of the side, which has one host at a time. Empty in reports of changes and of earlier versions.
  21: string sideId
}

struct StartOrder {
  1: TaskName task
  2: i32 run
  3: string payload
  4: string checkpoint
  5: string ticket
  // The pace, in percent of full speed, at which a filler starts.
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

// Owner to side: orders for the host. All runs on the host may continue until the host's own clock reads
// leaseUntilMilliseconds. Every call to the host carries the fence; the host refuses calls with a lower fence than the
// highest one received.
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
  // The owner accepts reports with changesOnly set.
  10: bool acceptsChanges
  // Time since the pulse that the store confirmed last was sent: no later owner can have followed before that. Absent in
  // orders of earlier versions.
  11: optional i64 ownershipAgeMilliseconds
}

// First message on a link to the owner, and its answer. Also the last message to an owner whose follower has read a later
// claim, with the term of that claim.
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

// Owner to entry: the final answer to JobCall. Refused means that the job was not accepted and will not run.
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
