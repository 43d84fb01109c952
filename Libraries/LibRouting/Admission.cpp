// SPDX-License-Identifier: BSD-2-Clause
#include <LibRouting/Admission.h>

namespace Routing {

static std::optional<AdmissionResult> result_of_earlier_run(Schema::Dispatch const& dispatch, IdempotencyTable const& table)
{
    auto const* entry = table.find(*dispatch.key);
    if (!entry)
        return {};
    // A key belongs to one customer: no other customer may read that customer's answer with it.
    if (entry->customer != dispatch.customer)
        return RefuseNotRun { Schema::Reason::KeyMalformed };
    switch (entry->state) {
    case IdempotencyTable::State::Running:
        return RefuseMayHaveRun { Schema::Reason::KeyInProgress };
    case IdempotencyTable::State::Answered:
        return Replay { entry->answer };
    case IdempotencyTable::State::Unknown:
        return RefuseMayHaveRun { Schema::Reason::BackendBrokeOff };
    }
    return {};
}

static bool serves_requested_version(Schema::Dispatch const& dispatch, AdmissionView const& view)
{
    if (!dispatch.model)
        return true;
    if (view.is_switching || !view.serving || view.serving->model != *dispatch.model)
        return false;
    return !dispatch.version || view.serving->version == *dispatch.version;
}

AdmissionResult admit(Schema::Dispatch const& dispatch, AdmissionView const& view, Membership::IdempotencyKeyOwner const& key_owner, IdempotencyTable& table)
{
    if (dispatch.key) {
        // A request that ran before is answered even by an agent that is draining.
        if (auto earlier = result_of_earlier_run(dispatch, table))
            return *earlier;
    }
    if (view.is_draining)
        return RefuseNotRun { Schema::Reason::Draining };
    if (dispatch.deadline_ms <= 0)
        return RefuseNotRun { Schema::Reason::DeadlinePassed };
    if (!serves_requested_version(dispatch, view))
        return RefuseNotRun { Schema::Reason::VersionNotReady };
    if (view.in_flight >= view.capacity)
        return RefuseNotRun { Schema::Reason::InstanceBusy };
    if (!dispatch.key)
        return Admit {};
    if (auto reason = key_owner.refusal(*dispatch.key, view.now, view.wall_now)) {
        bool const may_have_run = *reason == Schema::Reason::KeyBeforeHome || *reason == Schema::Reason::KeyTooOld;
        if (may_have_run)
            return RefuseMayHaveRun { *reason };
        return RefuseNotRun { *reason };
    }
    if (!table.begin(*dispatch.key, dispatch.customer, view.now))
        return RefuseNotRun { Schema::Reason::RecordFull };
    return Admit {};
}

}
