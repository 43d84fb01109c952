// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/SlotWait.h>

#include <LibCore/Log.h>
#include <algorithm>
#include <utility>

namespace Routing {

// Added to the priority of late requests, so that they queue behind all that can be answered in time, whatever their priority.
static constexpr int late_rank = 1000;
// Streams that broke off resume first: their callers wait in the middle of an answer.
static constexpr int resumed_rank = -1;
// Callers give up on a stream that delivers nothing for about this long.
static constexpr Core::Duration max_resume_wait { 2000 };
static constexpr Core::Duration min_retry_after { 200 };
static constexpr Core::Duration max_retry_after_spread { 5000 };

SlotWait::SlotWait(ServerTable const& servers, WaitingPolicy const& policy, std::function<ServiceQueue&(std::string const&)> service_queue)
    : m_servers(servers)
    , m_policy(policy)
    , m_queue_of(std::move(service_queue))
{
}

Core::Duration SlotWait::service_time(WaitingRequest const& request, Core::Time now) const
{
    return m_servers.service_time(request.service, request.prompt_tokens, request.answer_tokens, now);
}

Timeliness SlotWait::timeliness(WaitingRequest const& request, Core::Time begins, Core::Time now) const
{
    return request.terms.classify(begins, begins + service_time(request, now));
}

void SlotWait::begin(WaitingRequest const& request, Core::Time now)
{
    m_is_late = !request.delivered_at && now > request.terms.in_time_until;
    auto& service_queue = m_queue_of(request.service);
    if (m_is_late && service_queue.late_count == 0)
        service_queue.late_slot_interval.on_wait_started(now);
}

bool SlotWait::join(WaitingRequest const& request, Core::Time now)
{
    bool const goes_behind_others = m_is_late && m_policy.orders_by_timeliness;
    auto const rank = request.delivered_at ? resumed_rank : static_cast<int>(request.priority) + (goes_behind_others ? late_rank : 0);
    auto& service_queue = m_queue_of(request.service);
    auto const pushed = service_queue.queue.push(request.number, request.customer, rank, request.terms.deadline, now);
    if (pushed != RequestQueue::PushResult::Queued)
        return false;
    service_queue.late_count += m_is_late ? 1 : 0;
    m_queue = &service_queue;
    m_number = request.number;
    return true;
}

void SlotWait::leave()
{
    auto* service_queue = std::exchange(m_queue, nullptr);
    if (!service_queue)
        return;
    service_queue->queue.remove(m_number);
    service_queue->late_count -= m_is_late ? 1 : 0;
}

void SlotWait::on_sent(Core::Time now)
{
    if (m_queue && m_is_late)
        m_queue->late_slot_interval.on_sent(now);
    leave();
}

bool SlotWait::has_become_late(WaitingRequest const& request, Core::Time now) const
{
    if (request.delivered_at || m_is_late)
        return false;
    return now + m_servers.min_time_to_first_event(request.service, request.prefill_allowance, now) > request.terms.in_time_until;
}

bool SlotWait::should_refuse(WaitingRequest const& request, NoServer reason, Core::Time now) const
{
    if (request.delivered_at)
        return now >= *request.delivered_at + max_resume_wait;
    if (reason == NoServer::NoneUsable) {
        auto const next = m_servers.time_until_next_engine(request.service, now);
        return !next || timeliness(request, now + *next, now) == Timeliness::TooLate;
    }
    auto const& service_queue = m_queue_of(request.service);
    if (reason == NoServer::Limited) {
        auto const position = m_queue ? 1 : service_queue.queue.size() + 1;
        auto const begins = now + expected_wait(request.service, reason, position, now);
        return timeliness(request, begins, now) == Timeliness::TooLate;
    }
    if (!m_is_late)
        return false;
    auto const interval = m_servers.slot_interval(request.service, now);
    auto const expected_interval = Core::Duration(static_cast<int64_t>(static_cast<double>(interval.count()) * m_policy.leftover_factor));
    auto const ahead = m_queue ? 1 : service_queue.late_count + 1;
    auto const begins = now + service_queue.late_slot_interval.expected_interval(now, expected_interval) * static_cast<int64_t>(ahead);
    return timeliness(request, begins, now) == Timeliness::TooLate;
}

Core::Duration SlotWait::expected_wait(std::string const& service, NoServer reason, size_t count, Core::Time now) const
{
    auto const limited = reason == NoServer::Limited ? m_servers.limited_wait(service, count, now) : std::nullopt;
    return limited.value_or(m_servers.slot_interval(service, now) * static_cast<int64_t>(count));
}

Core::Duration SlotWait::retry_after(std::string const& service, NoServer reason, Core::Time now, std::mt19937_64& random) const
{
    auto const wait = expected_wait(service, reason, 1 + m_queue_of(service).queue.size(), now);
    std::uniform_int_distribution<int64_t> spread(0, std::min(wait, max_retry_after_spread).count());
    auto const spread_wait = wait + Core::Duration(spread(random));
    auto longest = max_retry_after;
    if (reason == NoServer::Limited)
        longest = std::max(max_retry_after_under_limits, m_servers.time_until_rest_ends(service, now).value_or(Core::Duration(0)) + max_retry_after_spread);
    return std::clamp(spread_wait, min_retry_after, longest);
}

void SlotWait::log_refusal(std::string const& id, WaitingRequest const& request, NoServer reason, Core::Time now) const
{
    auto const& service_queue = m_queue_of(request.service);
    auto const interval = m_servers.slot_interval(request.service, now);
    auto const milliseconds = [](Core::Duration duration) { return std::to_string(duration.count()); };
    Core::log_event(Core::LogLevel::Info, "no_place_in_time",
        { { "request", id }, { "cause", no_server_name(reason) }, { "in_line", m_queue ? "yes" : "no" }, { "late", m_is_late ? "yes" : "no" }, { "late_waiting", std::to_string(service_queue.late_count) }, { "waiting", std::to_string(service_queue.queue.size()) }, { "late_interval_ms", milliseconds(service_queue.late_slot_interval.expected_interval(now, interval)) }, { "place_interval_ms", milliseconds(interval) }, { "left_ms", milliseconds(request.terms.deadline - now) }, { "service_ms", milliseconds(service_time(request, now)) }, { "prompt_tokens", std::to_string(request.prompt_tokens) }, { "answer_tokens", std::to_string(request.answer_tokens) }, { "in_time_for_ms", milliseconds(request.terms.in_time_until - now) }, { "first_event_at_least_ms", milliseconds(m_servers.min_time_to_first_event(request.service, request.prefill_allowance, now)) } });
}

}
