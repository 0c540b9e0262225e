/// One caller's request at an entry, from its arrival to its answer.
#pragma once

#include "Decision/Process/Message.h"
#include "Decision/Request/CallerRequest.h"
#include "Decision/Version/Bundle.h"

#include <map>
#include <memory>
#include <set>

namespace Plantainpier {

/// Where a request stands at its entry.
enum class RequestState {
    /// Waits for the witnesses of its key.
    Claiming,
    /// Sent to a side.
    Dispatched,
    /// Its connection was lost; the side is asked what became of it.
    Resolving,
    /// Its key belongs to another dispatch; that one is asked about.
    FollowingHolder,
    /// A question by key: the witnesses are asked who holds it.
    AskingWitnesses,
};
std::string_view name(RequestState state);

/// A dispatch that may have run: which, where, in which incarnation of the side.
struct DispatchPlace {
    std::string dispatchId;
    std::string sideId;
    std::int64_t sideIncarnation = 0;
};

/// The state of one request. Decided by one bundle version from start to end. Owned by RequestCoordinator.
struct RequestSession {
    std::string requestId;
    CallerRequest request;
    std::vector<CallerToken> callers;
    std::shared_ptr<const Bundle> bundle;
    int classIndex = 0;
    Instant arrivedAt;
    Instant deadlineAt;
    /// When the caller is told "unknown" at the latest.
    Instant giveUpAt;
    RequestState state = RequestState::Dispatched;
    /// Counts the dispatches made for this request.
    int dispatches = 0;
    /// The dispatch in progress (its own, or the holder's while it follows that one).
    DispatchPlace place;
    /// Sides not to try again.
    std::set<std::string> excluded;
    /// Witnesses asked, and whether each has granted the key.
    std::map<std::string, bool> witnesses;
    /// How often its claim met another one made at the same time.
    int contests = 0;
    /// The fenced dispatch of another claim that this one takes over; empty when there is none.
    std::string replacesDispatchId;
    /// The current dispatch may have started.
    bool mayHaveRun = false;
    /// So may one of the dispatches before it.
    bool earlierMayHaveRun = false;
    /// The holder's side had not seen the holder's dispatch: the next question fences it.
    bool fenceHolder = false;
    Duration longestWitnessUptime {};
    Instant lastAsked;
    ErrorCode lastRefusal = ErrorCode::NoTarget;
    Duration retryAfter {};
};

} // namespace Plantainpier
