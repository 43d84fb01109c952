// SPDX-License-Identifier: BSD-2-Clause
#include "DeferredStatements.h"

#include <utility>

namespace DirectEntry {

// A small answer is whole by then, and a server that leaves must get no new work 2 s after it stated so.
static constexpr Core::Duration max_delay { 250 };

DeferredStatements::DeferredStatements(Core::EventLoop& loop, std::function<void()> take_effect)
    : m_take_effect(std::move(take_effect))
    , m_timer(loop.after(max_delay, [this] { confirm(); }))
{
}

void DeferredStatements::confirm()
{
    m_timer.reset();
    if (auto const take_effect = std::exchange(m_take_effect, {}))
        take_effect();
}

void DeferredStatements::discard()
{
    m_timer.reset();
    m_take_effect = {};
}

}
