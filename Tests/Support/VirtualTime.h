/// Instants in virtual time, and selection of actions by type. Used by the tests of decision logic.
#pragma once

#include "Decision/Process/Message.h"

namespace Plantainpier {

/// The instant the given number of milliseconds after the start of the test. The start differs from the epoch, which
/// stands for "never" and must lie before every instant of a test.
inline Instant at(long long millisecondsSinceStart)
{
    return Instant(seconds(1000)) + milliseconds(millisecondsSinceStart);
}

/// The actions of one type, in order.
template <typename T> std::vector<T> actionsOf(const Actions& actions)
{
    std::vector<T> found;
    for (const Action& action : actions) {
        if (const T* match = std::get_if<T>(&action))
            found.push_back(*match);
    }
    return found;
}

/// The sent messages of one type, in order.
template <typename T> std::vector<T> messagesOf(const Actions& actions)
{
    std::vector<T> found;
    for (const SendMessage& send : actionsOf<SendMessage>(actions)) {
        if (const T* match = std::get_if<T>(&send.message))
            found.push_back(*match);
    }
    return found;
}

} // namespace Plantainpier
