# SPDX-License-Identifier: BSD-2-Clause
"""Engines that load, at a moment of their own, chunks that their agents verified at another."""

import threading
import time

from fleet import CHUNKS, Fleet, wait_until
from test_direct_path import wait_linked
from test_engine_restarts import Callers

BOUND_MS = 8000
# A load that took what had been bad for longer than a load may take breaks the promise.
STANDSTILL_SECONDS = 3.5


# At each entry, enough to reach every engine.
CALLERS = 10


def callers(fleet):
    return Callers(fleet, ["/stream/a"] * CALLERS)


class Orders:
    """Does something at the first order that an engine gets, once."""

    def __init__(self, engine, action):
        self.engine = engine
        self.action = action
        self.came = threading.Event()
        engine.on_order = self.on_order

    def on_order(self):
        if not self.came.is_set():
            self.came.set()
            self.action()

    def wait(self):
        assert self.came.wait(30), "no order came"


def wait_served(fleet, version):
    """Each engine holds the version and begins requests with it."""
    def has_begun(engine, since):
        return any(run[2] == version and run[3] > since for run in engine.runs)
    since = time.monotonic()
    for engine in fleet.engines:
        wait_until(lambda engine=engine: has_begun(engine, since), f"requests at {engine.address} with version {version}")


def assert_whole(fleet):
    """No request began on layers that were loaded from a chunk that was missing, of another version or bad for too long."""
    wrong = [(engine.address, run) for engine in fleet.engines for run in engine.wrong_runs]
    assert not wrong, (len(wrong), wrong[0], [engine.wrong_loads for engine in fleet.engines])


def stand_still_beside_corruption(engine):
    engine.be_silent(STANDSTILL_SECONDS)
    engine.staged.corrupt(3)


def leave_bad_load_to_the_next_agent(fleet):
    """An agent is killed before its order is taken, and the next one starts after the load. Returns their engine."""
    wait_linked(fleet)
    engine = fleet.engines[0]
    orders = Orders(engine, lambda: stand_still_beside_corruption(engine))
    fleet.name_version(2)
    orders.wait()
    fleet.kill(engine.address)
    wait_until(lambda: engine.version == 2 and engine.wrong_loads, "the order to be taken")
    fleet.start_agent(engine)
    return engine


def deployment(build, folders):
    return Fleet(build, folders, engines=2, version_bound_ms=BOUND_MS)


def test_an_order_that_a_standing_engine_takes_late_serves_nothing_bad(build, folders):
    """Guards against answers made with a chunk that turned bad while the order to load it lay at an engine that stood still."""
    with deployment(build, folders) as fleet, callers(fleet):
        wait_linked(fleet)
        engine = fleet.engines[0]
        orders = Orders(engine, lambda: stand_still_beside_corruption(engine))
        fleet.name_version(2)
        orders.wait()
        wait_served(fleet, 2)
        assert_whole(fleet)


def test_an_order_that_outlives_its_agent_serves_nothing_bad(build, folders):
    """Guards against answers made with a bad chunk that an order loaded whose agent was killed and knows nothing of it."""
    with deployment(build, folders) as fleet, callers(fleet):
        wait_linked(fleet)
        engine = fleet.engines[0]
        engine.warm_seconds = 0.3
        orders = Orders(engine, lambda: stand_still_beside_corruption(engine))
        fleet.name_version(2)
        orders.wait()
        fleet.kill(engine.address)
        fleet.start_agent(engine)
        wait_served(fleet, 2)
        assert_whole(fleet)


def test_a_bad_load_that_is_there_before_its_agent_is_replaced(build, folders):
    """Guards against a bad load whose agent was killed before it checked it, and that the next agent takes for whole until the next version."""
    with deployment(build, folders) as fleet, callers(fleet):
        engine = leave_bad_load_to_the_next_agent(fleet)
        wait_until(lambda: engine.holds_all_layers() and not engine.held_wrong, "the load to be replaced")
        wait_served(fleet, 2)


def test_a_bad_load_that_is_there_before_its_agent_serves_nothing(build, folders):
    """Guards against answers made with a bad load between the start of an agent, whose predecessor ended before it checked that load, and its check."""
    with deployment(build, folders) as fleet, callers(fleet):
        leave_bad_load_to_the_next_agent(fleet)
        wait_served(fleet, 2)
        assert_whole(fleet)


def test_an_order_of_an_older_version_serves_no_chunk_of_a_newer_one(build, folders):
    """Guards against answers made with chunks of two versions: an order without an answer is taken while the next version is staged."""
    with deployment(build, folders) as fleet, callers(fleet):
        wait_linked(fleet)
        engine = fleet.engines[0]

        def stand_still():
            engine.be_silent(2.0)
            engine.order_seconds = 0.9
        orders = Orders(engine, stand_still)
        fleet.name_version(2)
        orders.wait()
        fleet.name_version(3)
        wait_served(fleet, 3)
        assert_whole(fleet)


def test_an_order_that_the_next_incarnation_takes_serves_nothing_missing(build, folders):
    """Guards against answers made with missing chunks: the engine lost power, and the order fits its next incarnation as well."""
    with deployment(build, folders) as fleet, callers(fleet):
        wait_linked(fleet)
        engine = fleet.engines[0]
        engine.born = None
        engine.restart()

        def lose_power():
            engine.staged.lose()
            engine.forget()
        orders = Orders(engine, lose_power)
        orders.wait()
        wait_served(fleet, 1)
        assert_whole(fleet)


def test_read_backs_that_waited_for_a_paused_agent_serve_nothing_bad(build, folders):
    """Guards against read-backs that count from when a paused agent handles them, and not from when the engine answered."""
    with deployment(build, folders) as fleet, callers(fleet):
        wait_linked(fleet)
        engine = fleet.engines[0]
        for number in range(2, 5):
            engine.answer_seconds = 0.3
            fleet.name_version(number)
            asked = len(engine.reads)
            wait_until(lambda asked=asked: len(engine.reads) >= asked + CHUNKS, "the staged chunks to be read back")
            fleet.pause(engine.address)
            engine.staged.corrupt(3)
            time.sleep(STANDSTILL_SECONDS)
            engine.answer_seconds = 0
            fleet.resume(engine.address)
            wait_served(fleet, number)
        assert_whole(fleet)


def test_a_clean_load_takes_one_order(build, folders):
    """Without any fault each engine is ordered once for a version, and out of service for one load."""
    with deployment(build, folders) as fleet, callers(fleet):
        wait_linked(fleet)
        for engine in fleet.engines:
            engine.warm_seconds = 0.3
        fleet.name_version(2)
        wait_served(fleet, 2)
        assert [engine.order_sequence for engine in fleet.engines] == [1, 1]
        assert_whole(fleet)
