/// Instants for tests of decision logic: milliseconds since the start of the test.
#pragma once

#include "Decision/Process/Message.h"

namespace Plantainpier {

/// This many milliseconds after the start; the start is not the epoch, so that "never" lies before it.
inline Instant at(long long millisecondsSinceStart)
{
    return Instant(seconds(1000)) + milliseconds(millisecondsSinceStart);
}

/// All actions of one type, in order.
template <typename T> std::vector<T> actionsOf(const Actions& actions)
{
    std::vector<T> found;
    for (const Action& action : actions) {
        if (const T* match = std::get_if<T>(&action))
            found.push_back(*match);
    }
    return found;
}

/// All messages of one type among the sent ones, in order.
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
