// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Core {

/// Computes SHA-256 incrementally, so that the event loop can run between the slices of a long input.
class Sha256 {
public:
    Sha256();
    ~Sha256();
    Sha256(Sha256 const&) = delete;
    Sha256& operator=(Sha256 const&) = delete;

    /// Appends a slice of the input.
    void update(std::string_view bytes);

    /// Returns the digest in lower-case hexadecimal. The object must not be used afterwards.
    std::string finish();

private:
    void* m_context { nullptr };
};

/// Returns the SHA-256 digest in lower-case hexadecimal.
std::string sha256(std::string_view bytes);

/// Returns the HMAC-SHA-256 (RFC 2104) in lower-case hexadecimal.
std::string hmac_sha256(std::string_view key, std::string_view bytes);

/// Compares two secrets. The time it takes does not depend on where they differ; texts of different lengths are rejected at once.
bool equal_in_constant_time(std::string_view, std::string_view);

/// Returns a 64-bit hash that is the same in every process and on every instance. It is not cryptographic.
uint64_t stable_hash(std::string_view first, std::string_view second = {});

/// Returns `bytes` cryptographically random bytes as lower-case hexadecimal, two digits for each byte.
std::string random_hex(size_t bytes);

/// Orders candidates by their rendezvous hash with `key`, the highest and so most preferred first. Removing a candidate leaves the order of
/// the others as it was.
std::vector<std::string> rendezvous_order(std::string_view key, std::vector<std::string> candidates);

}
