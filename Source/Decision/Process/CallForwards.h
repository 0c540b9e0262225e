/// The copies of one client's call that an entry has forwarded to owners, and which reply is the answer to the call.
/// Used by JobEntryCore.
#pragma once

#include "Decision/Process/Message.h"

#include <vector>

namespace Plantainpier {

/// Weighs replies against the copies that no owner has answered yet. A call is forwarded again after a change of owner
/// and after the loss of a connection, so several owners may handle it.
class CallForwards {
public:
    /// What a reply means for the call.
    enum class Verdict {
        /// The reply is the answer to the call.
        Final,
        /// Another copy decides the outcome.
        Superseded,
        /// The owner refused this copy, but may still accept another one that it has not read yet.
        Uncertain,
    };

    /// Records a copy that was sent to the owner of the term; noLink stands for the owner in this process.
    void add(std::int64_t callId, std::int64_t term, LinkId link);
    Verdict onReply(std::int64_t callId, Wire::JobReplyKind::type kind);

    /// The call was never forwarded, so no owner can have accepted it.
    bool isEmpty() const { return m_newestTerm == 0; }
    /// Unanswered copies, by call id.
    std::vector<std::int64_t> callIds() const;

private:
    struct Copy {
        std::int64_t callId = 0;
        std::int64_t term = 0;
        LinkId link = noLink;
    };

    std::vector<Copy> m_unanswered;
    std::int64_t m_newestTerm = 0;
};

} // namespace Plantainpier
