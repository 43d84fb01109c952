// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/ReturningCallers.h>

#include <LibCore/Log.h>
#include <algorithm>

namespace Routing {

// Enough to distinguish any two requests whose callers stop waiting at the same moment.
static constexpr size_t told_digest_characters = 16;
// Size of one refusal in an encoded message.
static constexpr double bytes_per_refusal = 24;
// Limit on announcements, to all entries together. With a few hundred entries, each can announce one refusal a second.
static constexpr double bytes_per_second = 8000;
static constexpr double most_allowed_bytes = 2 * bytes_per_second;
static constexpr double milliseconds_per_second = 1000;
// Callers whose requests reached no entry have retried or stopped waiting after this time.
static constexpr Core::Duration outage_lasts { 10000 };
// No caller waits longer: longer durations in another entry's message are invalid.
static constexpr Core::Duration longest_wait { 3'600'000 };

void ReturningCallers::on_refused(RefusedRequest refused, Core::Time now)
{
    refused.digest.resize(std::min(refused.digest.size(), told_digest_characters));
    m_refused.add(refused, now);
    m_untold.push_back(std::move(refused));
}

Core::Time ReturningCallers::first_asked(std::string const& route, Core::Duration patience, std::function<std::string()> const& digest, Core::Time now)
{
    auto const inferred = now - m_deadlines.on_request(route, patience);
    bool const may_have_met_nobody = m_outage_at && now - *m_outage_at < outage_lasts;
    auto const otherwise = may_have_met_nobody ? inferred : now;
    if (m_refused.size() == 0)
        return otherwise;
    return m_refused.take(digest().substr(0, told_digest_characters), now + patience, now).value_or(otherwise);
}

void ReturningCallers::on_news(std::string const& entry, Schema::RefusalNews const& news, Core::Time now)
{
    auto const is_duration = [](int64_t milliseconds) { return milliseconds >= 0 && milliseconds <= longest_wait.count(); };
    auto const count = news.digests.size();
    bool const is_whole = news.asked_ms_ago.size() == count && news.left_ms.size() == count;
    bool const is_sound = is_whole && std::all_of(news.asked_ms_ago.begin(), news.asked_ms_ago.end(), is_duration) && std::all_of(news.left_ms.begin(), news.left_ms.end(), is_duration);
    if (!is_sound) {
        Core::log_event(Core::LogLevel::Warn, "refusals_dropped", { { "entry", entry }, { "refusals", std::to_string(count) } });
        return;
    }
    for (size_t i = 0; i < count; ++i)
        m_refused.add({ news.digests[i], now - Core::Duration(news.asked_ms_ago[i]), now + Core::Duration(news.left_ms[i]) }, now);
}

/// How many of `refusals` may be announced now to so many `entries`; their bytes are deducted from the allowance.
size_t ReturningCallers::may_tell(size_t refusals, size_t entries, Core::Time now)
{
    auto const elapsed = static_cast<double>((now - std::exchange(m_allowance_at, now)).count());
    m_allowance = std::min(most_allowed_bytes, m_allowance + elapsed * bytes_per_second / milliseconds_per_second);
    auto const price = bytes_per_refusal * static_cast<double>(entries);
    auto const told = std::min(refusals, static_cast<size_t>(m_allowance / price));
    m_allowance -= price * static_cast<double>(told);
    return told;
}

void ReturningCallers::tell(Core::Time now)
{
    m_refused.forget_ended(now);
    if (m_untold.empty())
        return;
    auto const entries = m_callbacks.entries();
    auto const refusals = std::exchange(m_untold, {});
    size_t const told = entries.empty() ? 0 : may_tell(refusals.size(), entries.size(), now);
    if (told == 0)
        return;
    Schema::Message message;
    auto& news = message.refusals.emplace();
    for (size_t i = 0; i < told; ++i) {
        news.digests.push_back(refusals[i].digest);
        news.asked_ms_ago.push_back((now - refusals[i].first_asked).count());
        news.left_ms.push_back(std::max<int64_t>(0, (refusals[i].deadline - now).count()));
    }
    for (auto const& entry : entries)
        m_callbacks.send(entry, message);
}

}
