/// Socket addresses on this machine.
#pragma once

#include <arpa/inet.h>
#include <cstdint>

namespace Plantainpier {

/// The IPv4 loopback address with a port.
inline sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

} // namespace Plantainpier
