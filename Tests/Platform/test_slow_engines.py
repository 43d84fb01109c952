# SPDX-License-Identifier: BSD-2-Clause
"""Engines that are slow, and say so."""

from cluster import wait_until
from fleet import Fleet
from test_direct_path import wait_linked

PACE = 4.0
# An ordinary engine that sends nothing for 1 s in the middle of an answer is taken for silent.
EVENT_SECONDS, EVENTS = 2.0, 3


class SlowFleet(Fleet):
    def add_engine(self, number, version):
        engine = super().add_engine(number, version)
        engine.pace, engine.events, engine.event_seconds = PACE, EVENTS, EVENT_SECONDS
        return engine


# Guards against work done twice on engines that are slow already: after a loss of all instances, more than a third of the sends went to a
# second engine beside a slow one that was taken for silent.
def test_a_slow_engine_is_not_taken_for_a_silent_one(build, folders):
    with SlowFleet(build, folders, entries=1, engines=2) as fleet:
        entry, request = fleet.entries[0], "slow-1"
        wait_until(lambda: all(fleet.times_logged(entry, "link_up", peer=engine.address) for engine in fleet.engines), "links to all agents")
        wait_linked(fleet)
        answer = fleet.call(entry, "POST", "/stream/1", body=b"x", request_id=request)
        assert answer.is_whole and answer.event_ids() == list(range(1, EVENTS + 1)), (answer.status, answer.body)
        assert fleet.runs(request, fleet.engines) == 1, fleet.runs(request, fleet.engines)
        assert fleet.times_logged(entry, "send_silent") == 0
