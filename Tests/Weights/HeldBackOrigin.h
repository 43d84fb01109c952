// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Hash.h>
#include <LibPlatform/EngineApi.h>
#include <functional>
#include <set>
#include <string>
#include <vector>

/// An origin whose answers wait until the test delivers them. The first chunk is the same in all versions, the others differ.
class HeldBackOrigin final : public Platform::WeightOrigin {
public:
    static constexpr size_t chunk_count = 3;

    static std::string bytes_of(int64_t version, size_t chunk)
    {
        return chunk == 0 ? "shared" : std::to_string(version) + "-" + std::to_string(chunk);
    }

    void read_manifest(std::string const&, std::string const& model, int64_t version, std::function<void(Core::ErrorOr<Platform::Manifest>)> callback) override
    {
        Platform::Manifest manifest { .model = model, .version = version, .chunk_bytes = 1, .digests = {} };
        for (size_t i = 0; i < chunk_count; ++i)
            manifest.digests.push_back(Core::sha256(bytes_of(version, i)));
        m_answers.emplace_back([manifest, callback = std::move(callback)] { callback(manifest); });
    }

    uint64_t read_chunk(std::string const&, std::string const&, int64_t version, size_t chunk, size_t, std::function<void(Core::ErrorOr<std::string>)> callback) override
    {
        m_answers.emplace_back([version, chunk, callback = std::move(callback)] { callback(bytes_of(version, chunk)); });
        return ++m_reads;
    }

    void cancel(uint64_t read) override { m_cancelled.insert(read); }

    std::set<uint64_t> const& cancelled() const { return m_cancelled; }

    /// Number of answers that were not delivered yet.
    size_t waiting() const { return m_answers.size(); }

    void deliver_one()
    {
        auto const answer = std::move(m_answers.front());
        m_answers.erase(m_answers.begin());
        answer();
    }

    void deliver_all()
    {
        while (!m_answers.empty())
            deliver_one();
    }

private:
    std::vector<std::function<void()>> m_answers;
    uint64_t m_reads { 0 };
    std::set<uint64_t> m_cancelled;
};
