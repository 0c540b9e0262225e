/// The open connections of an HttpClient, and when each of them last proved to work. Used by HttpClient.
///
/// An idle connection that has gone silent looks like any other until a request on it times out. Connections to one
/// peer often go silent together, so this table finds the ones that may be affected when the first request times out.
#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Plantainpier {

/// Identifies a connection; never used twice, unlike a descriptor.
using ConnectionId = std::uint64_t;
constexpr ConnectionId noConnection = 0;

/// Lives as long as the HttpClient. Used on the client's thread only, and by its destructor once that thread has ended.
class ConnectionTable {
public:
    /// Adds a connection whose socket was opened for a request to this peer (address and port).
    ConnectionId add(int descriptor, const std::string& peer);
    void remove(int descriptor);
    /// The connection is established and carries the request for which it was opened.
    void onEstablished(Instant now, ConnectionId id, int localPort);
    /// A kept connection to the peer carries a request. Returns its id, or noConnection if the table does not have it.
    ConnectionId onReused(const std::string& peer, int localPort);
    /// The request that the connection carried was answered, and the connection is kept.
    void onAnswered(Instant now, ConnectionId id);
    /// Descriptors of the idle connections to the peer that have not proved to work since the given time.
    std::vector<int> findIdleUnprovedSince(const std::string& peer, Instant since) const;

private:
    struct Connection {
        ConnectionId id = noConnection;
        int descriptor = -1;
        std::string peer;
        /// Identifies the connection among those to the same peer. Zero until the connection is established.
        int localPort = 0;
        /// A request is in progress, which ends by its own timeout.
        bool inUse = true;
        /// Since then nothing is known of the connection.
        Instant provedAt;
    };

    Connection* find(ConnectionId id);

    /// In no order; a few tens at most.
    std::vector<Connection> m_connections;
    ConnectionId m_lastId = noConnection;
};

} // namespace Plantainpier
