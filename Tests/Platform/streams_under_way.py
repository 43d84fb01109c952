#!/usr/bin/env python3
# SPDX-License-Identifier: BSD-2-Clause
"""Streams over kept connections while a process stops, engines pause, or the configuration changes in some field.

streams_under_way.py BUILD_DIRECTORY [--seeds FIRST COUNT] [--troubles NAME ...] [--entries N] [--engines N]

Prints for each trouble and seed how many streams began and how many of them broke off, and what the entries' logs say of these.
"""

import argparse
import collections
import dataclasses
import http.client
import itertools
import os
import random
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [HERE, os.path.join(os.path.dirname(HERE), "Processes")]

from fleet import CALLERS_PORT, KEY, LEDGER, LLM, Fleet, caller_fields, limits, route  # noqa: E402
from test_direct_path import wait_linked  # noqa: E402

CALLERS = 24
EVENTS = 20
EVENT_SECONDS = 0.1
DEADLINE_MS = 8000
# How long a caller waits for the next byte: past its deadline.
PATIENCE_SECONDS = 10
# Times from the first stream to the trouble, between two troubles, and from the last one to the end.
BEFORE_SECONDS, BETWEEN_SECONDS, AFTER_SECONDS = 1.0, 1.5, 1.0
STOP_SECONDS, SILENCE_SECONDS = 2.5, 3.2


@dataclasses.dataclass
class Stream:
    """What the caller saw of one stream."""

    request_id: str
    entry: str
    status: int = 0
    body: bytes = b""
    is_whole: bool = False
    ended_at: float = 0.0

    def event_ids(self):
        return [int(line[3:]) for line in self.body.decode(errors="replace").splitlines() if line.startswith("id:")]

    def has_begun(self):
        return self.status == 200

    def is_reset(self):
        return self.has_begun() and not self.is_whole

    def is_wrong(self):
        """The events are not those from the first on, or look like a whole answer and are not."""
        ids = self.event_ids()
        return self.has_begun() and (ids != list(range(1, len(ids) + 1)) or (self.is_whole and len(ids) != EVENTS))


class Caller(threading.Thread):
    """Asks for one stream after the other over a connection to one entry that it keeps."""

    def __init__(self, number, entry, is_over):
        super().__init__(daemon=True)
        self.number = number
        self.entry = entry
        self.is_over = is_over
        self.connection = None
        self.streams = []

    def run(self):
        while not self.is_over.is_set():
            stream = Stream(f"under-way-{self.number}-{len(self.streams)}", self.entry)
            self.streams.append(stream)
            self.ask(stream)
            if not stream.is_whole:
                self.is_over.wait(0.1)

    def ask(self, stream):
        self.connection = self.connection or http.client.HTTPConnection(self.entry, CALLERS_PORT, timeout=PATIENCE_SECONDS)
        try:
            self.connection.request("POST", f"/stream/{stream.request_id}", body=b"x", headers=caller_fields(stream.request_id, KEY, DEADLINE_MS))
            answer = self.connection.getresponse()
            stream.status = answer.status
            stream.body = answer.read()
            stream.is_whole = True
        except (OSError, http.client.HTTPException) as error:
            stream.body = getattr(error, "partial", b"")
            self.connection.close()
            self.connection = None
        stream.ended_at = time.monotonic()


class Play:
    """Callers at all entries, and troubles meanwhile."""

    def __init__(self, fleet, seed, callers=CALLERS):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.is_over = threading.Event()
        for engine in fleet.engines:
            engine.events, engine.event_seconds = EVENTS, EVENT_SECONDS
        self.callers = [Caller(number, fleet.entries[number % len(fleet.entries)], self.is_over) for number in range(callers)]

    def run(self, trouble):
        for caller in self.callers:
            caller.start()
        self.wait(BEFORE_SECONDS)
        trouble(self)
        self.wait(AFTER_SECONDS)
        self.is_over.set()
        for caller in self.callers:
            caller.join()
        return [stream for caller in self.callers for stream in caller.streams]

    def wait(self, seconds):
        time.sleep(seconds * self.random.uniform(0.8, 1.2))

    def ends(self, streams):
        """What the entries' logs say of streams."""
        wanted = {stream.request_id for stream in streams}
        lines = [line for entry in self.fleet.entries for line in self.fleet.log_lines(entry) if line.get("event") == "request_ended"]
        return collections.Counter(line["end"] for line in lines if line["request"] in wanted)


# Troubles.

def stop_some_entry(play):
    entry = play.random.choice(play.fleet.entries)
    play.fleet.pause(entry)
    time.sleep(STOP_SECONDS)
    play.fleet.resume(entry)
    play.wait(BETWEEN_SECONDS)


def stop_an_entry(play):
    """One entry is stopped, three times; nothing happens to engines."""
    for _ in range(3):
        stop_some_entry(play)


def stop_an_entry_in_slices(play):
    """One entry runs a seventh of the time."""
    entry = play.random.choice(play.fleet.entries)
    for _ in range(5):
        play.fleet.pause(entry)
        time.sleep(0.6)
        play.fleet.resume(entry)
        time.sleep(0.1)


def stop_all_agents(play):
    for engine in play.fleet.engines:
        play.fleet.pause(engine.address)
    time.sleep(STOP_SECONDS)
    for engine in play.fleet.engines:
        play.fleet.resume(engine.address)


def silence_all_engines(play):
    """All engines stand still in the middle of their answers and then go on."""
    for engine in play.fleet.engines:
        engine.be_silent(SILENCE_SECONDS)
    time.sleep(SILENCE_SECONDS)
    play.wait(BETWEEN_SECONDS)


def silence_an_engine(play):
    play.random.choice(play.fleet.engines).be_silent(SILENCE_SECONDS)
    time.sleep(SILENCE_SECONDS)


def silence_all_but_one_engine(play):
    spared = play.random.choice(play.fleet.engines)
    for engine in play.fleet.engines:
        if engine is not spared:
            engine.be_silent(SILENCE_SECONDS)
    time.sleep(SILENCE_SECONDS)
    play.wait(BETWEEN_SECONDS)


def silence_engines_and_stop_an_entry(play):
    """Both at once, overlapping."""
    for engine in play.fleet.engines:
        engine.be_silent(SILENCE_SECONDS)
    play.wait(0.5)
    stop_some_entry(play)


def change_each_field(play):
    """Each configuration changes something else, and the next one takes it back."""
    fleet = play.fleet
    routes = Fleet.routes()
    other_key = {"Tenants": [{"Name": "customer-1", "ApiKeys": ["key-2"]}]}
    changes = [
        {"Routes": Fleet.routes(TimeoutMs=6000)}, {"Routes": Fleet.routes(TargetLatencyMs=100, TargetGapMs=50)}, {"Routes": Fleet.routes(Resumable=False)},
        {"Routes": Fleet.routes(MaxAttempts=1)}, {"Routes": Fleet.routes(Priority=5)}, {"Routes": Fleet.routes(Service=LEDGER)}, {"Routes": routes[1:]},
        {"Routes": [*routes, route("more", "/stream/more/", "safe", LEDGER)]}, other_key, {"Tenants": []}, limits(MaxHeaderBytes=300), limits(MaxBodyBytes=1),
        limits(HeaderTimeoutMs=1), limits(IdleTimeoutMs=100), {"Services": [{"Name": LEDGER, "HealthPath": "/health", "MaxConns": 100}]},
        {"Services": [{"Name": LLM, "HealthPath": "/health", "MaxConns": 1}, {"Name": LEDGER, "HealthPath": "/other", "MaxConns": 1}]},
    ]
    for change in play.random.sample(changes, len(changes)):
        fleet.configure(**change)
        play.wait(0.4)
        fleet.configure()
        play.wait(0.4)


def storm_of_configurations(play):
    for number in range(40):
        play.fleet.configure(Routes=[*Fleet.routes(TimeoutMs=6000 + number), *(route(f"r{i}", f"/r{i}/", "safe", LEDGER) for i in range(number))])
        play.wait(0.08)


def change_slots(play):
    for slots in (1, 16, 2, 16):
        for engine in play.fleet.engines:
            engine.slots = slots
            engine.enlist()
        play.wait(0.7)


def reload_settings(play):
    for _ in range(8):
        for entry in play.fleet.entries:
            play.fleet.processes[entry].send_signal(signal.SIGHUP)
        play.wait(0.3)


def press_for_processor(play):
    """Threads that only compute, as many as the machine has processors and more, in the process that plays the engines too."""
    is_over = threading.Event()

    def compute():
        while not is_over.is_set():
            sum(itertools.repeat(1, 20000))
    threads = [threading.Thread(target=compute, daemon=True) for _ in range(os.cpu_count() or 1)]
    for thread in threads:
        thread.start()
    play.wait(4)
    is_over.set()


TROUBLES = {trouble.__name__: trouble for trouble in (
    stop_an_entry, stop_an_entry_in_slices, stop_all_agents, silence_all_engines, silence_an_engine, silence_all_but_one_engine,
    silence_engines_and_stop_an_entry, change_each_field, storm_of_configurations, change_slots, reload_settings, press_for_processor)}


@dataclasses.dataclass
class Outcome:
    streams: list
    ends: collections.Counter

    def begun(self):
        return [stream for stream in self.streams if stream.has_begun()]

    def reset(self):
        return [stream for stream in self.streams if stream.is_reset()]

    def wrong(self):
        return [stream for stream in self.streams if stream.is_wrong()]

    def line(self):
        statuses = collections.Counter(stream.status for stream in self.streams)
        return f"{len(self.begun())} begun, {len(self.reset())} reset {dict(self.ends)}, {len(self.wrong())} wrong, statuses {dict(statuses)}"


def play(build, folders, trouble, seed, entries=4, engines=4, is_tight=False):
    """One run. Tight: no more places than callers."""
    with Fleet(build, folders, entries=entries, engines=engines) as fleet:
        for engine in fleet.engines:
            engine.is_bounded = True
            if is_tight:
                engine.slots = CALLERS // engines
                engine.enlist()
        wait_linked(fleet)
        scene = Play(fleet, seed)
        streams = scene.run(trouble)
        return Outcome(streams, scene.ends([stream for stream in streams if stream.is_reset()]))


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("build")
    parser.add_argument("--seeds", type=int, nargs=2, default=(1, 3), metavar=("FIRST", "COUNT"))
    parser.add_argument("--troubles", nargs="+", choices=TROUBLES, default=list(TROUBLES))
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--engines", type=int, default=4)
    parser.add_argument("--tight", action="store_true", help="no more places than callers")
    arguments = parser.parse_args()
    first, count = arguments.seeds
    for name in arguments.troubles:
        for seed in range(first, first + count):
            folders = []
            outcome = play(os.path.abspath(arguments.build), folders, TROUBLES[name], seed, arguments.entries, arguments.engines, arguments.tight)
            print(f"{name} seed {seed}: {outcome.line()} logs in {folders}", flush=True)


if __name__ == "__main__":
    main()
