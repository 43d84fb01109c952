// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Core {

/// SHA-256 over slices fed one after another, so that a loop can keep turning in between.
class Sha256 {
public:
    Sha256();
    ~Sha256();
    Sha256(Sha256 const&) = delete;
    Sha256& operator=(Sha256 const&) = delete;

    void update(std::string_view bytes);

    /// The digest in lower-case hexadecimal; the object is not used after this.
    std::string finish();

private:
    void* m_context { nullptr };
};

/// SHA-256 in lower-case hexadecimal.
std::string sha256(std::string_view bytes);

/// HMAC-SHA-256 in lower-case hexadecimal (RFC 2104).
std::string hmac_sha256(std::string_view key, std::string_view bytes);

/// True if both are equal; takes the same time wherever they differ.
bool equal_in_constant_time(std::string_view, std::string_view);

/// A well-mixed 64-bit hash that is the same in every process; not for secrets.
uint64_t stable_hash(std::string_view first, std::string_view second = {});

/// Cryptographically random bytes in hexadecimal.
std::string random_hex(size_t bytes);

/// Candidates ordered by highest rendezvous hash with `key`, the most preferred first.
std::vector<std::string> rendezvous_order(std::string_view key, std::vector<std::string> candidates);

}
