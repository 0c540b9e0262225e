#include "Shell/Connection/ConnectionTable.h"

#include <algorithm>

namespace Plantainpier {

ConnectionId ConnectionTable::add(int descriptor, const std::string& peer)
{
    Connection connection;
    connection.id = ++m_lastId;
    connection.descriptor = descriptor;
    connection.peer = peer;
    m_connections.push_back(std::move(connection));
    return m_lastId;
}

void ConnectionTable::remove(int descriptor)
{
    std::erase_if(
        m_connections, [descriptor](const Connection& connection) { return connection.descriptor == descriptor; });
}

ConnectionTable::Connection* ConnectionTable::find(ConnectionId id)
{
    const std::vector<Connection>::iterator it = std::find_if(
        m_connections.begin(), m_connections.end(), [id](const Connection& connection) { return connection.id == id; });
    return it == m_connections.end() ? nullptr : &*it;
}

void ConnectionTable::onEstablished(Instant now, ConnectionId id, int localPort)
{
    Connection* connection = find(id);
    if (!connection)
        return;
    connection->localPort = localPort;
    connection->provedAt = now;
}

ConnectionId ConnectionTable::onReused(const std::string& peer, int localPort)
{
    for (Connection& connection : m_connections) {
        if (connection.localPort != localPort || connection.peer != peer)
            continue;
        connection.inUse = true;
        return connection.id;
    }
    return noConnection;
}

void ConnectionTable::onAnswered(Instant now, ConnectionId id)
{
    Connection* connection = find(id);
    if (!connection)
        return;
    connection->inUse = false;
    connection->provedAt = now;
}

std::vector<int> ConnectionTable::findIdleUnprovedSince(const std::string& peer, Instant since) const
{
    std::vector<int> descriptors;
    for (const Connection& connection : m_connections) {
        if (!connection.inUse && connection.provedAt < since && connection.peer == peer)
            descriptors.push_back(connection.descriptor);
    }
    return descriptors;
}

} // namespace Plantainpier
