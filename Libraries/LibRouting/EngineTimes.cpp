// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/EngineTimes.h>

#include <algorithm>

namespace Routing {

static constexpr double thousand = 1000;
static constexpr double million = 1e6;

// Defaults for rates that are not configured: the rounded order of magnitude of the engines seen so far.
static constexpr double ordinary_slots = 8;
static constexpr double ordinary_step_ms = 10;
static constexpr double ordinary_prompt_tokens_per_second = 20000;
static constexpr double ordinary_prompt_tokens = 1000;
static constexpr double ordinary_answer_tokens = 100;

// Weight of one observation in the moving average of the correction, which adapts within some twenty first events.
static constexpr double correction_weight = 0.1;
// Limits of the correction that one observation can show: a first event that waited for a frozen engine says nothing about the rates.
static constexpr double least_correction = 0.1;
static constexpr double greatest_correction = 10;

EngineTimes::EngineTimes(Schema::EngineTiming const& timing)
    : m_slots(std::max(1.0, static_cast<double>(timing.slots.value_or(ordinary_slots))))
    , m_stride(std::max(1.0, static_cast<double>(timing.stride.value_or(1))))
    , m_step_ms(timing.step_ms.value_or(ordinary_step_ms))
    , m_per_sequence_ms(timing.per_sequence_ms.value_or(0))
    , m_context_ms_per_1000(timing.context_ms_per_1000.value_or(0))
    , m_prompt_tokens_per_ms(timing.prompt_tokens_per_second.value_or(ordinary_prompt_tokens_per_second) / thousand)
    , m_pairs_ms_per_million(timing.pairs_ms_per_million.value_or(0))
    , m_usual_prompt(timing.usual_prompt_tokens.value_or(ordinary_prompt_tokens))
    , m_usual_answer(timing.usual_answer_tokens.value_or(ordinary_answer_tokens))
    , m_is_stated(timing.step_ms && timing.per_sequence_ms && timing.context_ms_per_1000 && timing.prompt_tokens_per_second && timing.pairs_ms_per_million)
{
    if (m_prompt_tokens_per_ms <= 0)
        m_prompt_tokens_per_ms = ordinary_prompt_tokens_per_second / thousand;
}

double EngineTimes::read_ms(double tokens) const
{
    return tokens / m_prompt_tokens_per_ms + m_pairs_ms_per_million * tokens * tokens / 2 / million;
}

double EngineTimes::step_ms(double running) const
{
    auto const context = m_usual_prompt + m_usual_answer / 2;
    return m_step_ms + running * (m_per_sequence_ms + m_context_ms_per_1000 * context / thousand);
}

double EngineTimes::full_service_ms() const
{
    return m_usual_answer * step_ms(m_slots) + m_slots * read_usual_ms();
}

double EngineTimes::service_ms(double prompt_tokens, double answer_tokens) const
{
    // Prefill of other requests slows each generated token by the same share.
    auto const per_token = full_service_ms() / std::max(1.0, m_usual_answer);
    return read_ms(prompt_tokens) + answer_tokens * per_token;
}

void EngineTimes::on_first_event(double predicted_ms, double observed_ms)
{
    if (predicted_ms <= 0)
        return;
    // The prediction includes the correction of that time.
    auto const shown = std::clamp(m_correction * observed_ms / predicted_ms, least_correction, greatest_correction);
    m_correction += correction_weight * (shown - m_correction);
}

}
