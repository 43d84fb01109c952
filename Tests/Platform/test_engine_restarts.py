# SPDX-License-Identifier: BSD-2-Clause
"""Engines that crash and start again under the id that they had."""

import itertools
import threading
import time

from fleet import LLM, Fleet, route, wait_until
from test_direct_path import assert_whole_stream, right_loads, wait_linked

# From the naming of a version to the last request that begins on an older one.
BOUND_MS = 6000
# A record of the store is in force at an entry well before this.
HEARD_SECONDS = 2
# Three engines of the stand-ins have places for 48.
CALLERS_AT_ONCE = 40


class Callers:
    """Callers that ask each entry for both kinds of streams, one request after another, until the end."""

    def __init__(self, fleet, paths):
        self.fleet = fleet
        self.is_over = False
        self.answers = []
        self.numbers = itertools.count()
        self.threads = [threading.Thread(target=self.ask, args=(entry, path)) for entry in fleet.entries for path in paths]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.is_over = True
        for thread in self.threads:
            thread.join()

    def ask(self, entry, path):
        while not self.is_over:
            request_id = f"c{next(self.numbers)}"
            answer = self.fleet.call(entry, "POST", path, request_id=request_id, headers={"X-Deadline-Ms": "2000"})
            self.answers.append((request_id, path, answer.status))


def wait_serving(fleet, version):
    wait_until(lambda: all(engine.version == version for engine in fleet.engines), f"version {version} everywhere")


def wait_used(fleet):
    """Each engine is sent requests, once more are asked for at once than the nearest engines have places for."""
    since = time.monotonic()

    def ask_many():
        entries = [entry for entry in fleet.entries for _ in range(CALLERS_AT_ONCE // len(fleet.entries))]
        threads = [threading.Thread(target=fleet.call, args=(entry, "POST", "/stream/many")) for entry in entries]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return all(any(run[3] > since for run in engine.runs) for engine in fleet.engines)
    wait_until(ask_many, "requests at every engine")


def test_engines_that_start_again_under_their_id_amid_a_version(build, folders):
    """
    Each engine crashes twice amid a version, and starts again under its id: first with what was staged, then without.
    Proof: all reach the version and are used again; no request begins on the older one past its bound; no request that may not
    be repeated runs twice.
    """
    with Fleet(build, folders, version_bound_ms=BOUND_MS) as fleet:
        fleet.configure(Routes=[*fleet.routes(), route("solo", "/solo/", "stream", LLM, TargetGapMs=400)])
        wait_linked(fleet)
        for entry in fleet.entries:
            wait_until(lambda entry=entry: fleet.call(entry, "POST", "/solo/warm").status == 200, "the route that may not be repeated")
        for engine in fleet.engines:
            engine.event_seconds = 0.05
        wait_used(fleet)
        with Callers(fleet, ("/stream/a", "/solo/a")) as callers:
            fleet.name_version(2)
            named = time.monotonic()
            for is_power_lost in (False, True):
                for engine in fleet.engines:
                    engine.crash()
                    if is_power_lost:
                        engine.staged.lose()
                    engine.start_again()
                    time.sleep(0.2)
            wait_serving(fleet, 2)
            wait_used(fleet)
            time.sleep(max(0, named + BOUND_MS / 1000 + HEARD_SECONDS - time.monotonic()))
        old = [run for engine in fleet.engines for run in engine.runs if run[2] < 2 and run[3] > named + BOUND_MS / 1000]
        assert not old, old[:3]
        assert right_loads(fleet, 2)
        single = [request_id for request_id, path, _ in callers.answers if path == "/solo/a"]
        repeated = [request_id for request_id in single if fleet.runs(request_id) > 1]
        assert single and not repeated, repeated[:3]


def test_a_record_of_the_incarnation_before_takes_nobody_out(build, folders):
    """The store takes what an engine wrote before its crash after what it wrote at its next start."""
    with Fleet(build, folders, engines=1) as fleet:
        wait_linked(fleet)
        engine = fleet.engines[0]
        before = engine.entry("draining")
        engine.crash()
        engine.start_again()
        wait_linked(fleet)
        fleet.store.write("keyed.servers", engine.id, before)
        # Entries have read it once they know of a server that was listed behind it.
        behind = fleet.add_engine(1, version=1)
        fleet.engines.append(behind)
        behind.enlist()
        for entry in fleet.entries:
            wait_until(lambda entry=entry: fleet.times_logged(entry, "server_changed", server=behind.id) > 0, "the list to be read")
        behind.delist()
        for entry in fleet.entries:
            wait_until(lambda entry=entry: fleet.times_logged(entry, "server_changed", server=behind.id, state="removed") > 0, "the list to be read")
            assert_whole_stream(fleet.call(entry, "POST", "/stream/a"))


def test_a_stream_goes_on_at_its_own_engine_after_a_restart(build, folders):
    """With one engine alone, a stream that its crash cut can only go on there; the caller gives it up after two seconds."""
    with Fleet(build, folders, engines=1) as fleet:
        wait_linked(fleet)
        engine = fleet.engines[0]
        engine.event_seconds = 0.1
        for _ in range(6):
            running = len(engine.runs)
            answers = []
            thread = threading.Thread(target=lambda answers=answers: answers.append(fleet.call(fleet.entries[0], "POST", "/stream/a")))
            thread.start()
            wait_until(lambda running=running: len(engine.runs) > running, "the stream to begin")
            time.sleep(0.25)
            engine.crash()
            engine.start_again()
            thread.join()
            wait_linked(fleet)
            if answers[0].is_whole and answers[0].event_ids() == [1, 2, 3, 4, 5, 6]:
                return
        raise AssertionError("no stream went on")
