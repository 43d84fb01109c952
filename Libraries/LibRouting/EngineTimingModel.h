// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibSchema/Generated.h>
#include <cstdint>

namespace Routing {

/// Timing model of the engines of one service: predicts how long prefill, decoding and whole requests take. All times are in
/// milliseconds.
///
/// The operator configures the model's rates. A rate that is not configured takes the default of an ordinary engine, and correction()
/// then adjusts the predictions by the observed times to the first event of an answer.
class EngineTimingModel {
public:
    explicit EngineTimingModel(Schema::EngineTiming const&);

    /// Prefill time of a prompt of so many tokens on an otherwise idle engine.
    double prefill_ms(double tokens) const;
    /// Prefill time of a prompt of the usual size.
    double usual_prefill_ms() const { return prefill_ms(m_usual_prompt); }
    /// Time of one decoding step, which generates one token for each of the `running` requests.
    double step_ms(double running) const;
    /// Time between two events of an answer's stream: an event carries the tokens of several decoding steps.
    double stream_event_interval_ms(double running) const { return m_steps_per_event * step_ms(running); }
    /// Time that a request with a prompt and an answer of the usual size takes at a full engine. Includes the time in which the engine
    /// reads the prompts of other requests.
    double usual_service_ms() const;
    /// As usual_service_ms(), for a request with a prompt and an answer of the given size.
    double service_ms(double prompt_tokens, double answer_tokens) const;
    /// Time from the first event to the end of an answer of so many tokens while `running` requests run, the engine reading a prompt of the
    /// usual size whenever one of them ends and another one begins.
    double answer_ms(double tokens, double running) const;
    /// Number of tokens of a usual answer.
    double usual_answer_tokens() const { return m_usual_answer; }
    /// Mean time between two requests that end at a full engine, and so between two slots that become free.
    double slot_interval_ms() const { return usual_service_ms() / m_slots; }
    /// Number of requests that the engine runs at once.
    double slots() const { return m_slots; }

    /// Adjusts correction() by the time from sending a request to the first event of its answer.
    /// @param predicted_ms the prediction for this request, with the correction of that time; ignored if not positive.
    void on_first_event(double predicted_ms, double observed_ms);
    /// Factor by which the caller multiplies the predictions of this class, which don't include it. It is 1 if the operator configured
    /// every rate.
    double correction() const { return m_is_fully_configured ? 1 : m_correction; }

private:
    double m_slots;
    double m_steps_per_event;
    double m_step_ms;
    // Added to a decoding step for each running request.
    double m_per_sequence_ms;
    // Added to a decoding step for each running request and 1000 tokens of its context.
    double m_context_ms_per_1000;
    double m_prompt_tokens_per_ms;
    // Prefill time per million pairs of prompt tokens: the part that grows with the square of the prompt's length.
    double m_pairs_ms_per_million;
    double m_usual_prompt;
    double m_usual_answer;
    bool m_is_fully_configured;
    double m_correction { 1 };
};

}
