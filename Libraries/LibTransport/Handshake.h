// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Error.h>
#include <LibSchema/Generated.h>
#include <optional>
#include <string>
#include <vector>

namespace Transport {

/// What a process says of itself on every link.
struct Identity {
    std::string id;
    Schema::Role role { Schema::Role::Agent };
    /// Start time of the process, milliseconds since the epoch: a restarted process is another one.
    int64_t incarnation { 0 };
};

/// Both sides prove that they hold a shared key before anything else is read.
/// Each sends a nonce, and answers the peer's nonce with an HMAC over it, its identity and its side,
/// so that neither a replay nor a reflection passes. Two keys may be valid at once, for rotation:
/// the first one signs, any one verifies.
class Handshake {
public:
    enum class Side {
        Dialer,
        Listener,
    };

    Handshake(Side, Identity, std::vector<std::string> keys, std::string nonce);

    /// The first word of this side.
    Schema::Challenge challenge() const;

    /// Answers the peer's challenge.
    /// @return MalformedMessage for another protocol version or a second challenge.
    Core::ErrorOr<Schema::Hello> on_challenge(Schema::Challenge const&, int64_t offset, int64_t list_version);

    /// Checks the peer's hello.
    /// @return BadCredentials if no valid key signed it.
    Core::ErrorOr<void> on_hello(Schema::Hello const&);

    bool is_proved() const { return m_is_proved; }

private:
    std::string mac(std::string const& key, Side, std::string const& nonce, Schema::Hello const&) const;

    Side m_side;
    Identity m_identity;
    std::vector<std::string> m_keys;
    std::string m_nonce;
    bool m_has_answered { false };
    bool m_is_proved { false };
};

/// Reads link keys, one a line, newest first.
Core::ErrorOr<std::vector<std::string>> read_keys(std::string const& path);

}
