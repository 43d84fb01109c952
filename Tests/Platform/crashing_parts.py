#!/usr/bin/env python3
# SPDX-License-Identifier: BSD-2-Clause
"""Requests with a part of their prompt that ends each engine which begins to answer them, beside sound ones that share their other parts.

crashing_parts.py BUILD_DIRECTORY [--parts N] [--seeds FIRST COUNT] [--seconds N] [--entries N] [--engines N] [--unframed]

Prints for each seed how many engines ended, what was sent on after the fifth end, and how the sound requests fared.
"""

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

from crashing_requests import AGAIN_SECONDS, EVENT_SECONDS, is_served, play_arguments  # noqa: E402
from fleet import CONTACT_MS, Fleet  # noqa: E402
from test_direct_path import wait_linked  # noqa: E402

# Ends of engines under a part after which it must be stopped, and the sends that may still reach engines once all entries must know.
ENOUGH_ENDS, ALLOWED_LATE_SENDS = 5, 3
CONTACT_SECONDS = CONTACT_MS / 1000
# Once all must know for twice the time, sound requests begin at least half as often as before.
REQUIRED_SHARE = 0.5
# For how long only sound requests are asked for at first.
SOUND_SECONDS = 2.0
SOUND_CALLERS, CRASHING_CALLERS = 24, 4
# A part of all prompts, those of whole groups of callers, and how many prompts share one of the least common parts.
FIRST_PART, GROUP_PARTS, PROMPTS_OF_A_RARE_PART = "f0", ("a1", "a2", "a3"), 4


@dataclasses.dataclass
class Outcome:
    """What engines and callers saw of a play."""

    # For each crashing part: engines that it ended, and sends that reached one later than all entries must have known.
    ends: dict
    late_sends: dict
    crashing_statuses: collections.Counter
    # Shares of sound requests that were served: those asked for before the first crashing request, and those after all must have known.
    served_before: float = 0
    served_after: float = 0
    sound_after: int = 0
    # Sound requests that were not served, by status.
    unserved: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    # Streams that were passed on as whole though events are missing.
    cut_but_whole: list = dataclasses.field(default_factory=list)

    def line(self):
        return (f"ended {sum(self.ends.values())} {sorted(self.ends.values())}, late sends {sorted(self.late_sends.values())}, sound served {self.served_before:.2f} before, "
                f"{self.served_after:.2f} of {self.sound_after} after, unserved {dict(self.unserved)}, cut but whole {len(self.cut_but_whole)}; crashing answered {dict(self.crashing_statuses)}")

    def keeps_the_bounds(self):
        return (all(count <= ALLOWED_LATE_SENDS for count in self.late_sends.values()) and self.sound_after >= 20
                and self.served_after >= REQUIRED_SHARE * self.served_before and not self.cut_but_whole)


class Play:
    """Callers of both kinds beside each other, until a time is over."""

    def __init__(self, fleet, seed, parts):
        self.fleet = fleet
        self.seed = seed
        self.crashing = [f"bad{number}" for number in range(parts)]
        self.numbers = itertools.count()
        self.is_over = threading.Event()
        self.statuses = collections.Counter()
        # (when it was asked for, answer) of each sound request.
        self.sound = []
        self.cut_but_whole = []
        for engine in fleet.engines:
            engine.crashing_parts = set(self.crashing)
            engine.event_seconds = EVENT_SECONDS

    def ask(self, chance, parts):
        """No two requests are alike."""
        number = next(self.numbers)
        prompt = ",".join(f"{part}:40" for part in [*parts, f"0{number}"])
        answer = self.fleet.call(chance.choice(self.fleet.entries), "POST", f"/stream/{number}", body=f"prompt {number}".encode(), request_id=f"p{number}",
                                 headers={"X-Deadline-Ms": "6000", "X-Prompt-Prefix": prompt})
        if answer.status == 200 and answer.is_whole and not is_served(answer):
            self.cut_but_whole.append((f"p{number}", answer.event_ids()))
        return answer

    def shared_parts(self, chance):
        rare = f"c{chance.randrange(10 ** 6) // PROMPTS_OF_A_RARE_PART}" if chance.random() < 0.5 else f"e{chance.randrange(8)}"
        return [FIRST_PART, chance.choice(GROUP_PARTS), rare]

    def ask_crashing(self, number):
        chance = random.Random(f"{self.seed} crashing {number}")
        while not self.is_over.is_set():
            part = self.crashing[number % len(self.crashing)]
            parts = self.shared_parts(chance)
            parts.insert(chance.randrange(len(parts) + 1), part)
            self.statuses[self.ask(chance, parts).status] += 1
            self.is_over.wait(chance.uniform(*AGAIN_SECONDS))

    def ask_sound(self, number):
        chance = random.Random(f"{self.seed} sound {number}")
        while not self.is_over.is_set():
            asked_at = time.monotonic()
            answer = self.ask(chance, self.shared_parts(chance))
            self.sound.append((asked_at, answer))
            if not is_served(answer):
                self.is_over.wait(chance.uniform(*AGAIN_SECONDS))

    def run(self, seconds, sound_callers, crashing_callers):
        threads = [threading.Thread(target=self.ask_sound, args=(number,)) for number in range(sound_callers)]
        for thread in threads:
            thread.start()
        time.sleep(SOUND_SECONDS)
        crashing_from = time.monotonic()
        crashing = [threading.Thread(target=self.ask_crashing, args=(number,)) for number in range(crashing_callers)]
        for thread in crashing:
            thread.start()
        time.sleep(seconds)
        self.is_over.set()
        for thread in threads + crashing:
            thread.join()
        return self.outcome(crashing_from)

    def ends_of(self, part):
        return sorted(when for engine in self.fleet.engines for cause, when in engine.crashes if cause == part)

    def late_sends(self, part):
        ends = self.ends_of(part)
        if len(ends) < ENOUGH_ENDS:
            return 0
        known = ends[ENOUGH_ENDS - 1] + CONTACT_SECONDS
        return sum(cause == part and when > known for engine in self.fleet.engines for cause, when, _ in engine.crashing_sends)

    def known_at(self, part, otherwise):
        """The fifth end under the part, or the last if they are fewer."""
        ends = self.ends_of(part)[:ENOUGH_ENDS]
        return ends[-1] if ends else otherwise

    def outcome(self, crashing_from):
        settled = max(self.known_at(part, crashing_from) for part in self.crashing) + 2 * CONTACT_SECONDS
        before = [is_served(answer) for asked_at, answer in self.sound if asked_at < crashing_from - 1]
        after = [is_served(answer) for asked_at, answer in self.sound if asked_at > settled]
        return Outcome(ends={part: len(self.ends_of(part)) for part in self.crashing}, late_sends={part: self.late_sends(part) for part in self.crashing},
                       crashing_statuses=self.statuses, served_before=sum(before) / max(1, len(before)), served_after=sum(after) / max(1, len(after)), sound_after=len(after),
                       unserved=collections.Counter(answer.status for _, answer in self.sound if not is_served(answer)), cut_but_whole=self.cut_but_whole)


def play(build, folders, seed, parts, seconds, entries=5, engines=12, sound_callers=SOUND_CALLERS, crashing_callers=CRASHING_CALLERS, is_unframed=False):
    with Fleet(build, folders, entries=entries, engines=engines) as fleet:
        wait_linked(fleet)
        for engine in fleet.engines:
            engine.is_unframed = is_unframed
        return Play(fleet, seed, parts).run(seconds, sound_callers, crashing_callers)


def main():
    parser = play_arguments(__doc__, engines=12)
    parser.add_argument("--parts", type=int, default=1, help="crashing parts")
    parser.add_argument("--unframed", action="store_true", help="answers have neither a length nor chunks")
    arguments = parser.parse_args()
    first, count = arguments.seeds
    for seed in range(first, first + count):
        folders = []
        outcome = play(arguments.build, folders, seed, arguments.parts, arguments.seconds, arguments.entries, arguments.engines, is_unframed=arguments.unframed)
        print(f"seed {seed}, {arguments.parts} crashing: {outcome.line()} ({folders[0]})", flush=True)


if __name__ == "__main__":
    main()
