// SPDX-License-Identifier: BSD-2-Clause
#include <LibCore/Hash.h>

#include <algorithm>
#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace Core {

static std::string to_hex(unsigned char const* bytes, size_t size)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(size * 2);
    for (size_t i = 0; i < size; ++i) {
        text.push_back(digits[bytes[i] >> 4]);
        text.push_back(digits[bytes[i] & 15]);
    }
    return text;
}

Sha256::Sha256()
    : m_context(EVP_MD_CTX_new())
{
    EVP_DigestInit_ex(static_cast<EVP_MD_CTX*>(m_context), EVP_sha256(), nullptr);
}

Sha256::~Sha256()
{
    EVP_MD_CTX_free(static_cast<EVP_MD_CTX*>(m_context));
}

void Sha256::update(std::string_view bytes)
{
    EVP_DigestUpdate(static_cast<EVP_MD_CTX*>(m_context), bytes.data(), bytes.size());
}

std::string Sha256::finish()
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned size = 0;
    EVP_DigestFinal_ex(static_cast<EVP_MD_CTX*>(m_context), digest.data(), &size);
    return to_hex(digest.data(), size);
}

std::string sha256(std::string_view bytes)
{
    Sha256 hash;
    hash.update(bytes);
    return hash.finish();
}

std::string hmac_sha256(std::string_view key, std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<unsigned char const*>(bytes.data()), bytes.size(), digest.data(), &size);
    return to_hex(digest.data(), size);
}

bool equal_in_constant_time(std::string_view first, std::string_view second)
{
    if (first.size() != second.size())
        return false;
    return CRYPTO_memcmp(first.data(), second.data(), first.size()) == 0;
}

static uint64_t mix(uint64_t value)
{
    // The finaliser of MurmurHash3: every input bit affects every output bit.
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33;
    return value;
}

static uint64_t fnv1a(uint64_t state, std::string_view bytes)
{
    for (unsigned char byte : bytes) {
        state ^= byte;
        state *= 0x100000001b3ULL;
    }
    return state;
}

uint64_t stable_hash(std::string_view first, std::string_view second)
{
    uint64_t state = fnv1a(0xcbf29ce484222325ULL, first);
    // Mixing in a constant between both parts makes ("ab", "c") and ("a", "bc") hash differently.
    state = mix(state ^ 0x9e3779b97f4a7c15ULL);
    return mix(fnv1a(state, second));
}

std::string random_hex(size_t bytes)
{
    std::string raw(bytes, '\0');
    RAND_bytes(reinterpret_cast<unsigned char*>(raw.data()), static_cast<int>(bytes));
    return to_hex(reinterpret_cast<unsigned char const*>(raw.data()), raw.size());
}

std::vector<std::string> rendezvous_order(std::string_view key, std::vector<std::string> candidates)
{
    std::vector<std::pair<uint64_t, std::string>> scored;
    scored.reserve(candidates.size());
    for (auto& candidate : candidates) {
        auto score = stable_hash(key, candidate);
        scored.emplace_back(score, std::move(candidate));
    }
    std::sort(scored.begin(), scored.end(), std::greater<>());
    std::vector<std::string> order;
    order.reserve(scored.size());
    for (auto& [score, candidate] : scored)
        order.push_back(std::move(candidate));
    return order;
}

}
