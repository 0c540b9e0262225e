/// The state of one request at an entry, from its arrival to the final answer.
#pragma once

#include "Decision/Process/Message.h"
#include "Decision/Request/CallerRequest.h"
#include "Decision/Version/Bundle.h"

#include <map>
#include <memory>
#include <set>

namespace Plantainpier {

/// The state of a request at its entry.
enum class RequestState {
    /// The key is being claimed at its witnesses.
    Claiming,
    /// The dispatch was sent to a side and the answer is pending.
    Dispatched,
    /// The connection was lost or the deadline passed; the side is queried for the outcome.
    Resolving,
    /// The key is held by another dispatch; the side of that dispatch is queried for its outcome.
    FollowingHolder,
    /// A query by key: the witnesses are queried for the dispatch that holds the key.
    AskingWitnesses,
};
std::string_view name(RequestState state);

/// Identifies a dispatch and the incarnation of the side that it is sent to.
struct DispatchRef {
    std::string dispatchId;
    std::string sideId;
    std::int64_t sideIncarnation = 0;
};

/// One request. The same bundle version applies from arrival to answer. Owned by RequestCoordinator.
struct RequestSession {
    std::string requestId;
    CallerRequest request;
    std::vector<CallerToken> callers;
    std::shared_ptr<const Bundle> bundle;
    int classIndex = 0;
    Instant arrivedAt;
    Instant deadlineAt;
    /// When the attempt to resolve the outcome ends and the caller gets the final answer.
    Instant resolveUntil;
    RequestState state = RequestState::Dispatched;
    /// Number of dispatches made for this request, retries included.
    int dispatchCount = 0;
    /// The dispatch in progress: one of this request, or the holder of the key in state FollowingHolder.
    DispatchRef currentDispatch;
    /// Sides that are not used for further dispatches.
    std::set<std::string> excludedSides;
    /// The selected witnesses, and whether each has answered the claim or query.
    std::map<std::string, bool> witnesses;
    /// Number of retries against simultaneous claims.
    int contestCount = 0;
    /// The fenced dispatch of another claim whose key this request takes over; empty if there is none.
    std::string replacesDispatchId;
    /// The current dispatch may have started.
    bool mayHaveRun = false;
    /// An earlier dispatch may have started.
    bool earlierMayHaveRun = false;
    /// The holder's side had no record of the holder's dispatch, so the next query fences the dispatch.
    bool fenceHolder = false;
    Duration longestWitnessUptime {};
    Instant lastQueryAt;
    ErrorCode lastRefusal = ErrorCode::NoTarget;
    Duration retryAfter {};
};

} // namespace Plantainpier
