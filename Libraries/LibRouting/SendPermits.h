// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace Routing {

/// The limit that a backend server stated in an answer, on the requests that it accepts from all entries together.
struct ServerLimit {
    /// Requests per second; std::nullopt if the server accepts any number again.
    std::optional<double> per_second;
    /// The moment for which the statement holds: of a limit, when the answer arrived; of a higher limit or none, when the request for that
    /// answer was sent. Of two statements the one for the later moment is right, in whatever order answers arrive.
    Core::Time as_of { 0 };
    /// Start of the incarnation that stated it, in milliseconds of the Unix clock; std::nullopt if unknown.
    std::optional<int64_t> started_at_ms {};
};

/// The limits that backend servers stated, and the permits of this entry to send requests to such servers. One entry issues the permits
/// of each limited server (see LimitCoordinator); an entry sends only as many requests there as it holds permits.
class SendPermits {
public:
    /// Returns the start of a server's latest known incarnation, in milliseconds of the Unix clock; std::nullopt if it is unknown.
    using LatestStart = std::function<std::optional<int64_t>(std::string const& server)>;

    explicit SendPermits(LatestStart latest_start = [](auto const&) { return std::nullopt; })
        : m_latest_start(std::move(latest_start))
    {
    }

    /// Records what an answer from the server states.
    /// @param per_second the limit, requests per second; std::nullopt if the answer states none.
    /// @param sent_at when the request for that answer was sent.
    void on_answer(std::string const& server, std::optional<int64_t> started_at_ms, std::optional<double> per_second, Core::Time sent_at, Core::Time now);

    /// Records what an answer to another entry stated. @return false if the limit known here is as recent, or a later incarnation of
    /// the server is known.
    bool on_peer_statement(std::string const& server, ServerLimit const&);

    /// Returns a statement that the server is not limited if the given one is of an earlier incarnation than the latest known one, and that
    /// one has stated no limit; std::nullopt otherwise.
    std::optional<ServerLimit> correction_of(std::string const& server, ServerLimit const&, Core::Time now) const;

    /// Drops what an incarnation before the one that started then has stated.
    void on_incarnation(std::string const& server, std::optional<int64_t> started_at_ms);

    /// The last statement of the server; null if it has stated no limit.
    ServerLimit const* find(std::string const& server) const;
    /// Requests per second that the server accepts; std::nullopt if it is not limited.
    std::optional<double> limit(std::string const& server) const;

    /// Whether the server is not limited, or this entry holds a permit.
    bool may_send(std::string const& server, Core::Time now) const;
    /// Uses up a permit if the server is limited.
    void on_sent(std::string const& server, Core::Time now);
    /// A request that no other server could take would have been sent to the limited server with a permit.
    void add_wanted(std::string const& server, Core::Time now);
    /// A request was sent elsewhere although the limited server could have taken it. A permit is wanted every five seconds nevertheless, as
    /// only an answer of the server shows that its limit has ended.
    void add_probe(std::string const& server, Core::Time now);
    void add_permits(std::string const& server, int64_t count, Core::Time now);
    /// The issuer tells how many entries wait for permits of the server, this one among them.
    void on_demand(std::string const& server, int64_t waiting_entries, Core::Time now);
    /// Number of entries, this one among them, that the server's limit is shared by at present: as the issuer has told within the last second.
    /// While its answer is on the way, the first request that waits here counts alone, so that it is not refused before the answer is there.
    /// Otherwise all `entries` count, as where the issuer is of an older build.
    /// @param place the place of a request among those that wait here, from 1.
    size_t sharing_entries(std::string const& server, size_t entries, size_t place, Core::Time now) const;
    /// Drops all permits: after a pause of the process they may be older than they appear.
    void drop_permits();

    /// Returns for each limited server how many permits to request now. What was returned is not returned again for half a second, as
    /// the request is kept that long by the issuer, unless permits have come since.
    std::map<std::string, int64_t> take_wanted(Core::Time now);
    /// Returns the servers whose limit changed by an answer to this entry since the last call.
    std::set<std::string> take_changed();

    /// Removes the limits of which nothing was heard for ten minutes.
    void remove_old(Core::Time now);
    std::map<std::string, ServerLimit> limits() const;

private:
    struct Server {
        ServerLimit limit;
        // When each permit expires, the first one first.
        std::deque<Core::Time> permits;
        int64_t wanted { 0 };
        std::optional<Core::Time> requested_at;
        std::optional<Core::Time> probed_at;
        // What the issuer last told of the demand, and when.
        size_t waiting_entries { 1 };
        std::optional<Core::Time> demand_told_at;
        // Since when permits have been wanted while the demand is unknown.
        std::optional<Core::Time> demand_unknown_since;
    };

    static bool is_demand_known(Server const&, Core::Time now);

    LatestStart m_latest_start;
    std::map<std::string, Server> m_servers;
    std::set<std::string> m_changed;
};

}
