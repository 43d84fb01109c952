// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibConfiguration/Replica.h>
#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibDistribution/RolloutProgress.h>
#include <LibPlatform/Platform.h>
#include <LibRouting/StopSchedule.h>
#include <LibSettings/Settings.h>
#include <LibTransport/IngressServer.h>
#include <list>
#include <memory>
#include <set>

namespace Entry {

/// The operators' resource API below `/api/v1/`.
class OperatorApi {
public:
    /// Whether the configuration is all that is on the log, as read a moment ago.
    using IsConfirmed = std::function<bool()>;

    OperatorApi(Core::EventLoop&, Core::Metrics&, Configuration::Replica const&, Distribution::RolloutProgress const&, Platform::Platform&, std::map<std::string, Settings::OperatorRole> tokens, Routing::StopSchedule const&, IsConfirmed);
    ~OperatorApi();

    void handle(std::shared_ptr<Transport::IngressRequest> const&);

    /// The fold moved on: changes that wait to be read back may be answered, and watchers told.
    void on_configuration();

    /// Ends the watches, so that a stop need not wait for them.
    void end_watches();
    /// The process is about to end: answers the changes that are not decided yet.
    void give_up_unfinished();
    /// Changes that are not answered yet.
    size_t pending_changes() const { return m_pending.size(); }

private:
    struct Pending {
        std::shared_ptr<Transport::IngressRequest> exchange;
        Schema::Change change;
        std::string body;
        Core::Time started { 0 };
        Core::Time next_append { 0 };
        bool is_appending { false };
    };

    struct Watch {
        std::shared_ptr<Transport::IngressRequest> exchange;
        std::string kind;
        std::string name;
        int64_t told_to { -1 };
        std::set<std::string> known;
        std::map<std::string, std::string> told_status;
    };

    bool is_allowed(Transport::IngressRequest&);
    void list(Transport::IngressRequest&, Schema::ChangeKind);
    void read(Transport::IngressRequest&, Schema::ChangeKind, std::string const& name);
    void change(std::shared_ptr<Transport::IngressRequest> const&, Schema::ChangeKind, std::string const& name);
    void read_change(Transport::IngressRequest&, std::string const& change_id);
    void watch(std::shared_ptr<Transport::IngressRequest> const&);
    void tell(Watch&);
    void tell_status(Watch&);
    nlohmann::json view(Configuration::Resource const&) const;
    void append(Pending&);
    void answer_pending();
    void answer_undecided(Pending&);
    void answer_outcome(Pending&, Configuration::ChangeOutcome const&);
    void tick();

    Core::EventLoop& m_loop;
    Core::Metrics& m_metrics;
    Configuration::Replica const& m_replica;
    Distribution::RolloutProgress const& m_tally;
    Platform::Platform& m_platform;
    std::map<std::string, Settings::OperatorRole> m_tokens;
    Routing::StopSchedule const& m_stop;
    IsConfirmed m_is_configuration_confirmed;
    std::list<std::shared_ptr<Pending>> m_pending;
    std::list<std::shared_ptr<Watch>> m_watches;
    uint64_t m_told_generation { 0 };
    std::unique_ptr<Core::Timer> m_timer;
};

}
