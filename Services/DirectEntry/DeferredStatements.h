// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <LibCore/EventLoop.h>
#include <functional>
#include <memory>

namespace DirectEntry {

/// What the head of an answer states about its server. It takes effect when the answer ends, and after a short delay if it goes on
/// for longer. If the answer is found to be malformed before, it never does.
class DeferredStatements {
public:
    DeferredStatements(Core::EventLoop&, std::function<void()> take_effect);
    void confirm();
    void discard();

private:
    std::function<void()> m_take_effect;
    std::unique_ptr<Core::Timer> m_timer;
};

}
