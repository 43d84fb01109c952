// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <arpa/inet.h>
#include <cstdint>
#include <cstdlib>
#include <iterator>
#include <linux/filter.h>
#include <netinet/in.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <utility>

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

/// Splits IP:PORT; the port is 0 where there is none that can be read.
inline std::pair<std::string, uint16_t> split_address(std::string const& text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos)
        return { text, 0 };
    unsigned long const port = std::strtoul(text.c_str() + colon + 1, nullptr, 10);
    return { text.substr(0, colon), port <= UINT16_MAX ? static_cast<uint16_t>(port) : uint16_t { 0 } };
}

/// Whether a text is IP:PORT of something that can be called, and nothing else.
inline bool is_address(std::string const& text)
{
    auto const [ip, port] = split_address(text);
    in_addr parsed {};
    bool const has_ip = inet_pton(AF_INET, ip.c_str(), &parsed) == 1 && parsed.s_addr != INADDR_ANY;
    // What reads as a port may be more than its digits: spaces, a sign, what follows.
    return has_ip && port != 0 && text == ip + ':' + std::to_string(port);
}

/// The port that a bound socket got.
inline uint16_t local_port(int socket)
{
    sockaddr_in bound {};
    socklen_t size = sizeof(bound);
    getsockname(socket, reinterpret_cast<sockaddr*>(&bound), &size);
    return ntohs(bound.sin_port);
}

/// Whether a listening socket has a connection that was not accepted, or another one bytes, or an end, that were not read.
inline bool has_unread(int socket)
{
    pollfd waiting { .fd = socket, .events = POLLIN, .revents = 0 };
    return poll(&waiting, 1, 0) > 0;
}

/// From now on a listening socket takes part in no new handshake; those that are under way end well. To a caller that connects now
/// it is as if its packet were lost: it tries again after a second, and finds the socket closed.
/// @return whether the system took the filter; errno tells why not.
inline bool ignore_new_connections(int listener)
{
    static constexpr uint32_t offset_of_flags = 13;
    static constexpr uint32_t opens_connection = 0x02;
    static constexpr uint32_t flags_of_handshake = 0x12;
    // Of the two flags SYN and ACK, the first packet of a connection has the former alone (RFC 9293, section 3.5).
    sock_filter program[] = {
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, offset_of_flags),
        BPF_STMT(BPF_ALU | BPF_AND | BPF_K, flags_of_handshake),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, opens_connection, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
    };
    sock_fprog const filter { .len = static_cast<unsigned short>(std::size(program)), .filter = program };
    return setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter)) == 0;
}

}
