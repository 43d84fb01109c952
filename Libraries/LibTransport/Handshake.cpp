// SPDX-License-Identifier: BSD-2-Clause
#include <LibTransport/Handshake.h>

#include <LibCore/Hash.h>
#include <LibSchema/Json.h>
#include <algorithm>
#include <fstream>

namespace Transport {

static constexpr int64_t protocol_version = 1;
static constexpr size_t least_nonce_characters = 16;

Handshake::Handshake(Side side, Identity identity, std::vector<std::string> keys, std::string nonce)
    : m_side(side)
    , m_identity(std::move(identity))
    , m_keys(std::move(keys))
    , m_nonce(std::move(nonce))
{
}

Schema::Challenge Handshake::challenge() const
{
    Schema::Challenge challenge;
    challenge.nonce = m_nonce;
    challenge.protocol = protocol_version;
    return challenge;
}

std::string Handshake::mac(std::string const& key, Side side, std::string const& nonce, Schema::Hello const& hello) const
{
    std::string text = side == Side::Dialer ? "dialer" : "listener";
    text += '\n' + nonce;
    text += '\n' + hello.identity;
    text += '\n' + Schema::enumerator_name(hello.role);
    text += '\n' + std::to_string(hello.incarnation);
    return Core::hmac_sha256(key, text);
}

Core::ErrorOr<Schema::Hello> Handshake::on_challenge(Schema::Challenge const& challenge, int64_t offset, int64_t list_version)
{
    if (challenge.protocol != protocol_version)
        return Core::failure(Core::ErrorCode::MalformedMessage, "protocol version");
    if (m_has_answered || challenge.nonce.size() < least_nonce_characters)
        return Core::failure(Core::ErrorCode::MalformedMessage, "challenge");
    m_has_answered = true;
    Schema::Hello hello;
    hello.identity = m_identity.id;
    hello.role = m_identity.role;
    hello.incarnation = m_identity.incarnation;
    hello.offset = offset;
    hello.list_version = list_version;
    hello.mac = mac(m_keys.front(), m_side, challenge.nonce, hello);
    return hello;
}

Core::ErrorOr<void> Handshake::on_hello(Schema::Hello const& hello)
{
    auto peer_side = m_side == Side::Dialer ? Side::Listener : Side::Dialer;
    auto signs = [&](std::string const& key) {
        return Core::equal_in_constant_time(hello.mac, mac(key, peer_side, m_nonce, hello));
    };
    if (m_is_proved || std::none_of(m_keys.begin(), m_keys.end(), signs))
        return Core::failure(Core::ErrorCode::BadCredentials, hello.identity);
    m_is_proved = true;
    return {};
}

Core::ErrorOr<std::vector<std::string>> read_keys(std::string const& path)
{
    std::ifstream file(path);
    if (!file)
        return Core::failure(Core::ErrorCode::FileUnreadable, path);
    std::vector<std::string> keys;
    for (std::string line; std::getline(file, line);) {
        if (!line.empty())
            keys.push_back(line);
    }
    if (keys.empty())
        return Core::failure(Core::ErrorCode::ImpossibleSettings, path + ": no key");
    return keys;
}

}
