// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/PlaceWait.h>

#include <LibCore/Log.h>
#include <algorithm>
#include <utility>

namespace Routing {

// Those that can only be late stand behind all that can be in time, whatever their priority.
static constexpr int late_rank = 1000;
// Streams that were cut go on first: their callers wait in the middle of an answer.
static constexpr int resumed_rank = -1;
// Callers give up a stream that stands still for about this long.
static constexpr Core::Duration resume_patience { 2000 };
static constexpr Core::Duration least_retry_after { 200 };
static constexpr double retry_after_spread = 2;

PlaceWait::PlaceWait(ServerTable const& servers, WaitingPolicy const& policy, std::function<ServiceLine&(std::string const&)> line)
    : m_servers(servers)
    , m_policy(policy)
    , m_line_of(std::move(line))
{
}

Core::Duration PlaceWait::service_time(WaitingRequest const& request) const
{
    return m_servers.service_time(request.service, request.prompt_tokens, request.answer_tokens);
}

Timeliness PlaceWait::timeliness(WaitingRequest const& request, Core::Time begins) const
{
    return request.terms.classify(begins, begins + service_time(request));
}

void PlaceWait::begin(WaitingRequest const& request, Core::Time now)
{
    m_is_late = !request.delivered_at && now > request.terms.in_time_until;
    auto& line = m_line_of(request.service);
    if (m_is_late && line.late == 0)
        line.leftover.on_wait_started(now);
}

bool PlaceWait::join(WaitingRequest const& request, Core::Time now)
{
    bool const is_behind = m_is_late && m_policy.orders_by_timeliness;
    auto const rank = request.delivered_at ? resumed_rank : static_cast<int>(request.priority) + (is_behind ? late_rank : 0);
    auto& line = m_line_of(request.service);
    auto const pushed = line.queue.push(request.number, request.customer, rank, request.terms.deadline, now);
    if (pushed != RequestQueue::PushResult::Queued)
        return false;
    line.late += m_is_late ? 1 : 0;
    m_line = &line;
    m_number = request.number;
    return true;
}

void PlaceWait::leave()
{
    auto* line = std::exchange(m_line, nullptr);
    if (!line)
        return;
    line->queue.remove(m_number);
    line->late -= m_is_late ? 1 : 0;
}

void PlaceWait::on_sent(Core::Time now)
{
    if (m_line && m_is_late)
        m_line->leftover.on_sent(now);
    leave();
}

bool PlaceWait::becomes_late(WaitingRequest const& request, Core::Time now) const
{
    if (request.delivered_at || m_is_late)
        return false;
    return now + m_servers.least_first_event(request.service, request.prompt_tokens) > request.terms.in_time_until;
}

bool PlaceWait::is_hopeless(WaitingRequest const& request, NoServer reason, Core::Time now) const
{
    if (request.delivered_at)
        return now >= *request.delivered_at + resume_patience;
    if (reason == NoServer::NoneUsable) {
        auto const next = m_servers.next_engine(request.service, now);
        return !next || timeliness(request, now + *next) == Timeliness::TooLate;
    }
    if (!m_is_late)
        return false;
    auto const& line = m_line_of(request.service);
    auto const interval = m_servers.place_interval(request.service, now);
    auto const usual = Core::Duration(static_cast<int64_t>(static_cast<double>(interval.count()) * m_policy.leftover_factor));
    auto const ahead = m_line ? 1 : line.late + 1;
    auto const begins = now + line.leftover.expected_interval(now, usual) * static_cast<int64_t>(ahead);
    return timeliness(request, begins) == Timeliness::TooLate;
}

Core::Duration PlaceWait::retry_after(std::string const& service, Core::Time now, std::mt19937_64& random) const
{
    auto const wait = m_servers.place_interval(service, now) * static_cast<int64_t>(1 + m_line_of(service).queue.size());
    std::uniform_real_distribution<double> spread(1, retry_after_spread);
    auto const spread_wait = Core::Duration(static_cast<int64_t>(static_cast<double>(wait.count()) * spread(random)));
    return std::clamp(spread_wait, least_retry_after, longest_retry_after);
}

void PlaceWait::log_refusal(std::string const& id, WaitingRequest const& request, Core::Time now) const
{
    auto const& line = m_line_of(request.service);
    auto const interval = m_servers.place_interval(request.service, now);
    auto const milliseconds = [](Core::Duration duration) { return std::to_string(duration.count()); };
    Core::log_event(Core::LogLevel::Info, "no_place_in_time",
        { { "request", id }, { "in_line", m_line ? "yes" : "no" }, { "late", m_is_late ? "yes" : "no" }, { "late_waiting", std::to_string(line.late) }, { "waiting", std::to_string(line.queue.size()) }, { "late_interval_ms", milliseconds(line.leftover.expected_interval(now, interval)) }, { "place_interval_ms", milliseconds(interval) }, { "left_ms", milliseconds(request.terms.deadline - now) }, { "service_ms", milliseconds(service_time(request)) } });
}

}
