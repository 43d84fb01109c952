// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/ReturningCallers.h>

#include <LibCore/Log.h>
#include <algorithm>

namespace Routing {

// Enough to distinguish any two requests whose callers stop waiting at the same moment.
static constexpr size_t announced_digest_characters = 16;
// Size of one refusal in an encoded message.
static constexpr double bytes_per_refusal = 24;
// Limit on announcements, to all entries together. With a few hundred entries, each can announce one refusal a second.
static constexpr double bytes_per_second = 8000;
static constexpr double max_allowance_bytes = 2 * bytes_per_second;
static constexpr double milliseconds_per_second = 1000;
// Callers whose requests reached no entry have retried or stopped waiting after this time.
static constexpr Core::Duration outage_effect_duration { 10000 };
// No caller waits longer: longer durations in another entry's message are invalid.
static constexpr Core::Duration max_wait { 3'600'000 };

void ReturningCallers::on_refused(RefusedRequest refused, Core::Time now)
{
    refused.digest.resize(std::min(refused.digest.size(), announced_digest_characters));
    m_refused.add(refused, now);
    m_unannounced.push_back(std::move(refused));
}

Core::Time ReturningCallers::first_request_time(std::string const& route, Core::Duration remaining_wait, std::function<std::string()> const& digest, Core::Time now)
{
    auto const estimated_time = now - m_estimator.time_since_first_request(route, remaining_wait);
    bool const is_after_outage = m_outage_at && now - *m_outage_at < outage_effect_duration;
    auto const default_time = is_after_outage ? estimated_time : now;
    if (m_refused.size() == 0)
        return default_time;
    return m_refused.take_first_request_time(digest().substr(0, announced_digest_characters), now + remaining_wait, now).value_or(default_time);
}

void ReturningCallers::on_announcement(std::string const& entry, Schema::RefusalNews const& news, Core::Time now)
{
    auto const is_duration = [](int64_t milliseconds) { return milliseconds >= 0 && milliseconds <= max_wait.count(); };
    auto const count = news.digests.size();
    bool const is_whole = news.asked_ms_ago.size() == count && news.left_ms.size() == count;
    bool const is_valid = is_whole && std::all_of(news.asked_ms_ago.begin(), news.asked_ms_ago.end(), is_duration) && std::all_of(news.left_ms.begin(), news.left_ms.end(), is_duration);
    if (!is_valid) {
        Core::log_event(Core::LogLevel::Warn, "refusals_dropped", { { "entry", entry }, { "refusals", std::to_string(count) } });
        return;
    }
    for (size_t i = 0; i < count; ++i)
        m_refused.add({ news.digests[i], now - Core::Duration(news.asked_ms_ago[i]), now + Core::Duration(news.left_ms[i]) }, now);
}

/// How many of `refusals` may be announced now to so many `entries`; their bytes are deducted from the allowance.
size_t ReturningCallers::reserve_allowance(size_t refusals, size_t entries, Core::Time now)
{
    auto const elapsed = static_cast<double>((now - std::exchange(m_allowance_at, now)).count());
    m_allowance = std::min(max_allowance_bytes, m_allowance + elapsed * bytes_per_second / milliseconds_per_second);
    auto const bytes_per_refusal_to_all = bytes_per_refusal * static_cast<double>(entries);
    auto const announced = std::min(refusals, static_cast<size_t>(m_allowance / bytes_per_refusal_to_all));
    m_allowance -= bytes_per_refusal_to_all * static_cast<double>(announced);
    return announced;
}

void ReturningCallers::tell(Core::Time now)
{
    m_refused.remove_expired(now);
    if (m_unannounced.empty())
        return;
    auto const entries = m_callbacks.entries();
    auto const refusals = std::exchange(m_unannounced, {});
    size_t const announced = entries.empty() ? 0 : reserve_allowance(refusals.size(), entries.size(), now);
    if (announced == 0)
        return;
    Schema::Message message;
    auto& news = message.refusals.emplace();
    for (size_t i = 0; i < announced; ++i) {
        news.digests.push_back(refusals[i].digest);
        news.asked_ms_ago.push_back((now - refusals[i].first_request_time).count());
        news.left_ms.push_back(std::max<int64_t>(0, (refusals[i].deadline - now).count()));
    }
    for (auto const& entry : entries)
        m_callbacks.send(entry, message);
}

}
