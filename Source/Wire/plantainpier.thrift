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
}
