// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/EngineTimingModel.h>

#include <algorithm>

namespace Routing {

static constexpr double thousand = 1000;
static constexpr double million = 1e6;

// Defaults for rates that are not configured: the rounded order of magnitude of the engines seen so far.
static constexpr double default_slots = 8;
static constexpr double default_step_ms = 10;
static constexpr double default_prompt_tokens_per_second = 20000;
static constexpr double default_prompt_tokens = 1000;
static constexpr double default_answer_tokens = 100;

// Weight of one observation in the moving average of the correction, which adapts within some twenty first events.
static constexpr double correction_weight = 0.1;
// Limits of the correction that one observation can show: a first event that waited for a frozen engine says nothing about the rates.
static constexpr double min_correction = 0.1;
static constexpr double max_correction = 10;

EngineTimingModel::EngineTimingModel(Schema::EngineTiming const& timing)
    : m_slots(std::max(1.0, static_cast<double>(timing.slots.value_or(default_slots))))
    , m_steps_per_event(std::max(1.0, static_cast<double>(timing.stride.value_or(1))))
    , m_step_ms(timing.step_ms.value_or(default_step_ms))
    , m_per_sequence_ms(timing.per_sequence_ms.value_or(0))
    , m_context_ms_per_1000(timing.context_ms_per_1000.value_or(0))
    , m_prompt_tokens_per_ms(timing.prompt_tokens_per_second.value_or(default_prompt_tokens_per_second) / thousand)
    , m_pairs_ms_per_million(timing.pairs_ms_per_million.value_or(0))
    , m_usual_prompt(timing.usual_prompt_tokens.value_or(default_prompt_tokens))
    , m_usual_answer(timing.usual_answer_tokens.value_or(default_answer_tokens))
    , m_is_fully_configured(timing.step_ms && timing.per_sequence_ms && timing.context_ms_per_1000 && timing.prompt_tokens_per_second && timing.pairs_ms_per_million)
{
    if (m_prompt_tokens_per_ms <= 0)
        m_prompt_tokens_per_ms = default_prompt_tokens_per_second / thousand;
}

double EngineTimingModel::prefill_ms(double tokens) const
{
    return tokens / m_prompt_tokens_per_ms + m_pairs_ms_per_million * tokens * tokens / 2 / million;
}

double EngineTimingModel::step_ms(double running) const
{
    auto const context = m_usual_prompt + m_usual_answer / 2;
    return m_step_ms + running * (m_per_sequence_ms + m_context_ms_per_1000 * context / thousand);
}

double EngineTimingModel::usual_service_ms() const
{
    return m_usual_answer * step_ms(m_slots) + m_slots * usual_prefill_ms();
}

double EngineTimingModel::service_ms(double prompt_tokens, double answer_tokens) const
{
    // Prefill of other requests slows each generated token by the same share.
    auto const per_token = usual_service_ms() / std::max(1.0, m_usual_answer);
    return prefill_ms(prompt_tokens) + answer_tokens * per_token;
}

double EngineTimingModel::answer_ms(double tokens, double running) const
{
    auto const prefill_per_token = running * usual_prefill_ms() / std::max(1.0, m_usual_answer);
    return tokens * (step_ms(running) + prefill_per_token);
}

void EngineTimingModel::on_first_event(double predicted_ms, double observed_ms)
{
    if (predicted_ms <= 0)
        return;
    // The prediction includes the correction of that time.
    auto const observed_correction = std::clamp(m_correction * observed_ms / predicted_ms, min_correction, max_correction);
    m_correction += correction_weight * (observed_correction - m_correction);
}

}
