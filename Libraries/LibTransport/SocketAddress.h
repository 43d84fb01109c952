// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <arpa/inet.h>
#include <cstdint>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>

namespace Transport {

/// An IPv4 address for the socket calls; an address that does not parse becomes 0.0.0.0.
inline sockaddr_in socket_address(std::string const& address, uint16_t port)
{
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &target.sin_addr);
    return target;
}

/// The port that a bound socket got.
inline uint16_t local_port(int socket)
{
    sockaddr_in bound {};
    socklen_t size = sizeof(bound);
    getsockname(socket, reinterpret_cast<sockaddr*>(&bound), &size);
    return ntohs(bound.sin_port);
}

}
