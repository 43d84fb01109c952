// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Error.h>
#include <LibSchema/Generated.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Platform {

/// The state that an engine reports.
struct EngineReport {
    /// Weights that the engine holds.
    std::vector<Schema::HeldLayers> held;
    /// Start of the engine's incarnation in Unix milliseconds; std::nullopt if the engine does not report it.
    std::optional<int64_t> started_at_ms {};
    /// Whether the engine is carrying out an order to load weights.
    bool is_busy { false };
    /// Number of orders that the engine accepted since its start; std::nullopt if the engine does not report it.
    std::optional<int64_t> order_sequence;
    /// Number of requests that run on the engine.
    int64_t running { 0 };
    /// Number of requests that wait in the engine's queue.
    int64_t waiting { 0 };
    /// Slowdown factor: 1 at normal speed, above 1 if the engine is slow.
    double pace { 1 };
    /// Paths of the report's fields that could not be decoded.
    std::vector<std::string> unreadable_fields;
};

/// What happens to the requests that run on the engine when it is ordered to load weights.
enum class LoadMode {
    /// The engine accepts no new requests and loads once the running ones have ended.
    WaitForRunning,
    /// The engine aborts them; streams that may be resumed continue on another backend server.
    EvictRunning,
};

/// How an order to load weights ended.
enum class OrderOutcome {
    /// The engine has started to carry out this order.
    Accepted,
    /// The engine does nothing, since it already holds the weights: it took another order for them.
    AlreadyHeld,
    /// The engine refused the order because it does not fit the engine's state.
    Refused,
    /// No answer; the engine may have accepted the order.
    Unknown,
};

/// Interface to the engine that runs beside this process. Callbacks run later, from the event loop.
class EngineApi {
public:
    virtual ~EngineApi() = default;

    /// Reads the engine's state; the callback gets an error if the engine did not answer or the answer could not be decoded.
    virtual void read_report(std::function<void(Core::ErrorOr<EngineReport>)>) = 0;

    /// Orders the engine to load the staged weights of a model. Layers of the same version that it holds already stay as they are.
    /// `expected_sequence`: number of orders that the engine must have accepted before this one; std::nullopt if that is unknown.
    virtual void start(std::string const& model, int64_t version, LoadMode, std::optional<int64_t> expected_sequence, std::function<void(OrderOutcome)>) = 0;

    /// Stores a chunk in the engine's staging area, from which start() loads. The callback gets true if the engine confirmed it.
    virtual void stage(std::string const& model, size_t chunk, std::string const& bytes, std::function<void(bool)>) = 0;

    /// Reads a staged chunk of `max_bytes` at most back; the callback gets null if none is staged, and an error if the engine did not answer, or
    /// sent much more.
    virtual void read_staged(std::string const& model, size_t chunk, size_t max_bytes, std::function<void(Core::ErrorOr<std::shared_ptr<std::string const>>)>) = 0;

    /// Orders the engine to hold this layer of a version and no other. It loads the layer from the staged weights unless it holds it already.
    virtual void hold_layer(std::string const& model, int64_t version, int64_t layer, std::optional<int64_t> expected_sequence, std::function<void(OrderOutcome)>) = 0;
};

/// The longest manifest that is read, in bytes: some 15,000 digests.
inline constexpr size_t max_manifest_bytes = size_t { 1 } << 20;
/// The longest chunk that a manifest may state, in bytes. A process holds several at once while it reads them.
inline constexpr int64_t max_chunk_bytes = int64_t { 16 } << 20;

/// The digests of the chunks of one version of a model's weights, in order.
struct Manifest {
    std::string model;
    int64_t version { 0 };
    int64_t chunk_bytes { 0 };
    std::vector<std::string> digests;
};

/// Interface to the service from which the weights come at first. Callbacks run later, from the event loop.
class WeightOrigin {
public:
    virtual ~WeightOrigin() = default;

    /// Reads the manifest of a version. `address`: IP:PORT of the origin.
    virtual void read_manifest(std::string const& address, std::string const& model, int64_t version, std::function<void(Core::ErrorOr<Manifest>)>) = 0;
    /// Reads one chunk, of at most `max_bytes`, of a version. Returns the number to pass to cancel().
    virtual uint64_t read_chunk(std::string const& address, std::string const& model, int64_t version, size_t chunk, size_t max_bytes, std::function<void(Core::ErrorOr<std::string>)>) = 0;
    /// Cancels a read of a chunk without calling its callback, so that the origin stops sending data that is no longer needed.
    virtual void cancel(uint64_t) = 0;
};

}
