// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <LibCore/Metrics.h>
#include <LibMembership/IdempotencyKeyOwner.h>
#include <LibRouting/Admission.h>
#include <LibRouting/AnswerBuffer.h>
#include <LibRouting/IdempotencyTable.h>
#include <LibSchema/Generated.h>
#include <LibTransport/HttpClient.h>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Agent {

struct RequestRunnerSettings {
    std::string backend_address;
    uint16_t backend_port { 0 };
    /// How long an attempt outlives the link that it came over.
    Core::Duration resume_wait { 3000 };
    size_t once_record_bytes { 16 * 1024 * 1024 };
    Core::Duration key_lifetime { 600000 };
};

/// Carries dispatches to the backend server and its answers back.
class RequestRunner {
public:
    using Send = std::function<bool(std::string const& entry, Schema::Message const&)>;
    using View = std::function<Routing::AdmissionView()>;
    /// A slot became free after a request had been refused for want of one.
    using SlotFreed = std::function<void()>;

    RequestRunner(Core::EventLoop&, RequestRunnerSettings, Membership::IdempotencyKeyOwner const&, Core::Metrics&, Send, View, SlotFreed);
    ~RequestRunner();

    void on_dispatch(std::string const& entry, Schema::Dispatch const&);
    void on_acknowledge(std::string const& attempt, int64_t next_sequence);
    void on_resume(std::string const& entry, Schema::Resume const&);
    void on_cancel(std::string const& attempt);
    void on_entry_down(std::string const& entry);
    /// The process is about to end: tells the entries which answers will not come. @return how many.
    size_t break_off_unfinished();

    /// Requests on the backend server.
    size_t in_flight() const;
    /// True once every answer has arrived at its entry.
    bool is_idle() const { return m_attempts.empty(); }

private:
    struct Attempt {
        std::string entry;
        Schema::Dispatch dispatch;
        Routing::AnswerBuffer buffer;
        std::unique_ptr<Transport::HttpCall> call;
        Routing::StoredAnswer kept;
        bool is_kept_whole { true };
        bool has_head { false };
        bool has_ended { false };
        // When the entry's link went down; nothing while it is up.
        std::optional<Core::Time> orphaned_at;
    };

    void run(std::string const& entry, Schema::Dispatch const&);
    void replay(std::string const& entry, Schema::Dispatch const&, Routing::StoredAnswer const&);
    void refuse(std::string const& entry, std::string const& attempt, Schema::Reason);
    void broken(std::string const& entry, std::string const& attempt, Schema::Reason);
    void on_head(std::string const& attempt, int status, Transport::HttpHeaders const&);
    void on_data(std::string const& attempt, std::string_view);
    void on_done(std::string const& attempt);
    void on_failed(std::string const& attempt, Transport::HttpFailure);
    void send_part(Attempt&, Schema::Part);
    void remove(std::string const& attempt);
    void note_slot_freed();
    void housekeep();

    Core::EventLoop& m_loop;
    RequestRunnerSettings m_settings;
    Membership::IdempotencyKeyOwner const& m_home;
    Core::Metrics& m_metrics;
    Send m_send;
    View m_view;
    SlotFreed m_slot_freed;
    bool m_has_refused_as_busy { false };
    Routing::IdempotencyTable m_once;
    std::map<std::string, Attempt> m_attempts;
    // Attempts that ended or were refused: a late dispatch of one must not run.
    std::map<std::string, Core::Time> m_tombstones;
    std::unique_ptr<Core::Timer> m_timer;
};

}
