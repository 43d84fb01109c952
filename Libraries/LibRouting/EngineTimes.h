// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/Time.h>
#include <LibSchema/Generated.h>
#include <cstdint>

namespace Routing {

/// How long an engine of a service takes for what, by the service's timing model. All times are milliseconds.
///
/// The operator states the model's rates. One that is not stated is taken as an ordinary engine's, and what is then
/// predicted is corrected by the first events that are seen.
class EngineTimes {
public:
    explicit EngineTimes(Schema::EngineTiming const&);

    /// Reading a prompt.
    double read_ms(double tokens) const;
    double read_usual_ms() const { return read_ms(m_usual_prompt); }
    /// One token for each of the requests that run.
    double step_ms(double running) const;
    /// The steps between two events of a stream.
    double pass_ms(double running) const { return m_stride * step_ms(running); }
    /// A request of the usual size at a full engine, the reading of others' prompts in between included.
    double full_service_ms() const;
    /// A request of a size at a full engine, likewise.
    double service_ms(double prompt_tokens, double answer_tokens) const;
    /// Mean time between two requests that end at a full engine.
    double turnover_ms() const { return full_service_ms() / m_slots; }
    /// Requests that run at once.
    double slots() const { return m_slots; }

    /// A first event came so long after its request was sent, where the model said otherwise.
    void on_first_event(double predicted_ms, double observed_ms);
    /// Factor by which what the model says is to be taken; 1 where the operator stated every rate.
    double correction() const { return m_is_stated ? 1 : m_correction; }

private:
    double m_slots;
    double m_stride;
    double m_step_ms;
    double m_per_sequence_ms;
    double m_context_ms_per_1000;
    double m_prompt_tokens_per_ms;
    double m_pairs_ms_per_million;
    double m_usual_prompt;
    double m_usual_answer;
    bool m_is_stated;
    double m_correction { 1 };
};

}
