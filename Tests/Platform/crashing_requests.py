#!/usr/bin/env python3
# SPDX-License-Identifier: BSD-2-Clause
"""Requests that end each engine that begins to run them, asked for again and again beside harmless ones.

crashing_requests.py BUILD_DIRECTORY [--distinct N] [--seeds FIRST COUNT] [--seconds N] [--entries N] [--engines N]

Prints for each seed how many engines ended, what was sent on after the third end, and how the harmless fared.
"""

import argparse
import collections
import dataclasses
import itertools
import os
import random
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [HERE, os.path.join(os.path.dirname(HERE), "Processes")]

from fleet import Fleet  # noqa: E402
from test_direct_path import wait_linked  # noqa: E402

HARMLESS_CALLERS = 24
# A harmless stream lasts six of these.
EVENT_SECONDS = 0.05
# How long a caller waits before it asks again for a request that was not served.
AGAIN_SECONDS = (0.1, 0.8)
EVENTS = [1, 2, 3, 4, 5, 6]
# Ends of engines after which a request must be stopped, and the time in which all entries must know.
ENOUGH_ENDS, KNOWN_SECONDS = 3, 3
ALLOWED_LATE_SENDS = 3


@dataclasses.dataclass
class Outcome:
    """What engines and callers saw of a play."""

    # For each crashing request: engines that it ended, and sends that reached one later than all must have known.
    ends: dict
    late_sends: dict
    # Statuses of the crashing requests' answers.
    crashing_statuses: collections.Counter
    harmless: int = 0
    # Harmless ones whose answer was not whole, by status.
    unserved: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    # Harmless ones that are still not served when all is over.
    refused_for_good: list = dataclasses.field(default_factory=list)

    def line(self):
        served = f"{sum(self.unserved.values())} of {self.harmless} harmless not served {dict(self.unserved)}, {len(self.refused_for_good)} for good"
        return f"ended {sum(self.ends.values())} {sorted(self.ends.values())}, late sends {sorted(self.late_sends.values())}, {served}; crashing answered {dict(self.crashing_statuses)}"


def is_served(answer):
    return answer.status == 200 and answer.is_whole and answer.event_ids() == EVENTS


class Play:
    """Callers of both kinds beside each other, until a time is over."""

    def __init__(self, fleet, seed, distinct, harmless_callers=HARMLESS_CALLERS):
        self.fleet = fleet
        self.seed = seed
        self.bodies = [f"crashing-{number}".encode() for number in range(distinct)]
        self.harmless_callers = harmless_callers
        self.numbers = itertools.count()
        self.is_over = threading.Event()
        self.statuses = collections.Counter()
        self.harmless = {}
        for engine in fleet.engines:
            engine.crashing_bodies = set(self.bodies)
            engine.event_seconds = EVENT_SECONDS

    def ask(self, chance, path, body):
        request_id = f"c{next(self.numbers)}"
        return self.fleet.call(chance.choice(self.fleet.entries), "POST", path, body=body, request_id=request_id, headers={"X-Deadline-Ms": "6000"})

    def ask_crashing(self, body):
        """One caller, who comes again at any entry."""
        chance = random.Random(f"{self.seed} {body}")
        while not self.is_over.is_set():
            self.statuses[self.ask(chance, "/stream/" + body.decode(), body).status] += 1
            self.is_over.wait(chance.uniform(*AGAIN_SECONDS))

    def ask_harmless(self, number):
        chance = random.Random(f"{self.seed} {number}")
        for count in itertools.count():
            if self.is_over.is_set():
                return
            path = f"/stream/harmless-{number}-{count}"
            self.harmless[path] = self.ask(chance, path, b"harmless")

    def run(self, seconds):
        threads = [threading.Thread(target=self.ask_crashing, args=(body,)) for body in self.bodies]
        threads += [threading.Thread(target=self.ask_harmless, args=(number,)) for number in range(self.harmless_callers)]
        for thread in threads:
            thread.start()
        time.sleep(seconds)
        self.is_over.set()
        for thread in threads:
            thread.join()
        return self.outcome()

    def late_sends(self, body):
        ends = sorted(when for engine in self.fleet.engines for ender, when in engine.crashes if ender == body)
        if len(ends) < ENOUGH_ENDS:
            return 0
        known = ends[ENOUGH_ENDS - 1] + KNOWN_SECONDS
        return sum(sent == body and when > known for engine in self.fleet.engines for sent, when, _ in engine.crashing_sends)

    def outcome(self):
        ends = collections.Counter(body for engine in self.fleet.engines for body, _ in engine.crashes)
        unserved = {path: answer for path, answer in self.harmless.items() if not is_served(answer)}
        return Outcome(ends={body: ends[body] for body in self.bodies}, late_sends={body: self.late_sends(body) for body in self.bodies},
                       crashing_statuses=self.statuses, harmless=len(self.harmless), unserved=collections.Counter(answer.status for answer in unserved.values()),
                       refused_for_good=[path for path in unserved if not self.is_served_in_the_end(path)])

    def is_served_in_the_end(self, path):
        """Once all engines are back, whoever was not served asks again."""
        deadline = time.monotonic() + 20
        chance = random.Random(path)
        while time.monotonic() < deadline:
            if is_served(self.ask(chance, path, b"harmless")):
                return True
            time.sleep(0.1)
        return False


def play(build, folders, seed, distinct, seconds, entries=5, engines=10, harmless_callers=HARMLESS_CALLERS):
    with Fleet(build, folders, entries=entries, engines=engines) as fleet:
        wait_linked(fleet)
        return Play(fleet, seed, distinct, harmless_callers).run(seconds)


def play_arguments(description, engines):
    """The arguments that all programs take which play seeds."""
    parser = argparse.ArgumentParser(description=description, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("build")
    parser.add_argument("--seeds", type=int, nargs=2, default=(1, 1), metavar=("FIRST", "COUNT"))
    parser.add_argument("--seconds", type=float, default=24)
    parser.add_argument("--entries", type=int, default=5)
    parser.add_argument("--engines", type=int, default=engines)
    return parser


def main():
    parser = play_arguments(__doc__, engines=10)
    parser.add_argument("--distinct", type=int, default=1, help="crashing requests")
    arguments = parser.parse_args()
    first, count = arguments.seeds
    for seed in range(first, first + count):
        folders = []
        outcome = play(arguments.build, folders, seed, arguments.distinct, arguments.seconds, arguments.entries, arguments.engines)
        print(f"seed {seed}, {arguments.distinct} crashing: {outcome.line()} ({folders[0]})", flush=True)


if __name__ == "__main__":
    main()
