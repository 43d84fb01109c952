#!/usr/bin/env python3
# SPDX-License-Identifier: BSD-2-Clause
"""A randomized soak: the real programs as processes, faults from outside them, and the promises checked meanwhile.

soak.py BUILD_DIRECTORY [--seconds N] [--seeds FIRST COUNT] [--engines N]

Each seed starts a deployment of its own. A seed that fails is printed with what was broken and the folder of its logs;
it belongs into failed_seeds.txt, with a line on the cause. Only processes that the soak started are ended.
"""

import argparse
import heapq
import os
import random
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [HERE, os.path.join(os.path.dirname(HERE), "Platform"), os.path.join(os.path.dirname(HERE), "Processes")]

from callers import Caller, faults_of  # noqa: E402
from cluster import wait_until  # noqa: E402
from fault_proxy import MODES, FaultProxy  # noqa: E402
from fleet import Fleet  # noqa: E402

PROXY_PORT = 8021
CALLERS = 4
STORE_MODES = ("busy", "many", "reset", "silent")
PLAIN_FAULTS = ("full", "reset_after_run", "cut_answer", "other_answer", "false_503", "error")
ENGINE_FAULTS = ("full", "cut_in_event", "silent_midway")


class Soak:
    def __init__(self, build, seed, folders, engines=3):
        self.seed = seed
        self.random = random.Random(seed)
        self.fleet = Fleet(build, folders, entries=2, engines=engines, plains=2)
        self.is_over = threading.Event()
        self.lives = dict.fromkeys(self.fleet.entries, 0)
        # Processes that are being stopped, paused or restarted.
        self.in_hand = set()
        self.undo = []
        self.order = 0
        self.named = 1
        self.own_ends = []
        self.proxies = [self.put_proxy_before(server) for server in self.fleet.engines + self.fleet.plains]
        self.callers = [Caller(number, seed, self) for number in range(CALLERS)]

    def put_proxy_before(self, server):
        """From now on callers of the server are led through a proxy; its agent is not."""
        server.listed_port = PROXY_PORT
        server.enlist()
        return FaultProxy(self.fleet.loop, server.address, PROXY_PORT, server.port)

    def later(self, seconds, action):
        self.order += 1
        heapq.heappush(self.undo, (time.monotonic() + seconds, self.order, action))

    def start_what_ended(self):
        """The platform starts again what ends by itself; that none does without being told is a promise too."""
        for identity, process in list(self.fleet.processes.items()):
            if identity not in self.in_hand and process.poll() is not None:
                self.own_ends.append(f"{identity} ended by itself with {process.returncode}")
                self.in_hand.add(identity)
                self.start_again(identity)

    def run_due(self):
        self.start_what_ended()
        while self.undo and self.undo[0][0] <= time.monotonic():
            heapq.heappop(self.undo)[2]()

    # Faults.

    def free_process(self):
        free = [identity for identity in self.fleet.processes if identity not in self.in_hand]
        return self.random.choice(free) if free else None

    def start_again(self, identity):
        process = self.fleet.processes[identity]
        if process.poll() is None:
            self.later(0.2, lambda: self.start_again(identity))
            return
        if identity in self.lives:
            self.lives[identity] += 1
            self.fleet.start_entry(identity)
        else:
            self.fleet.start_agent(next(engine for engine in self.fleet.engines if engine.address == identity))
        self.in_hand.discard(identity)

    def end_process(self, number):
        identity = self.free_process()
        if identity:
            self.in_hand.add(identity)
            self.fleet.processes[identity].send_signal(number)
            self.later(self.random.uniform(0.1, 1.5), lambda: self.start_again(identity))

    def kill(self):
        self.end_process(signal.SIGKILL)

    def stop(self):
        self.end_process(signal.SIGTERM)

    def pause(self):
        identity = self.free_process()
        if not identity:
            return
        self.in_hand.add(identity)
        process = self.fleet.processes[identity]
        process.send_signal(signal.SIGSTOP)

        def wake():
            process.send_signal(signal.SIGCONT)
            self.in_hand.discard(identity)
        self.later(self.random.uniform(0.3, 4.0), wake)

    def has_started(self, identity):
        """The program runs its own code; before that a signal ends it, whatever the program is."""
        lines = self.fleet.log_lines(identity)
        return sum(1 for line in lines if line.get("event") == "started") >= self.fleet.starts[identity]

    def change_settings(self):
        identity = self.free_process()
        if identity and self.has_started(identity):
            self.fleet.processes[identity].send_signal(signal.SIGHUP)

    def harm_store(self):
        doors = list(self.fleet.doors.values())
        chosen = doors if self.random.random() < 0.3 else self.random.sample(doors, 2)
        mode = self.random.choice(STORE_MODES)
        for door in chosen:
            door.mode = mode

        def mend():
            for door in chosen:
                door.mode = ""
        self.later(self.random.uniform(0.5, 4.0), mend)

    def forget_history(self):
        self.fleet.store.forget_history()

    def harm_link(self):
        proxy = self.random.choice(self.proxies)
        proxy.set_mode(self.random.choice(MODES))
        self.later(self.random.uniform(0.3, 3.0), lambda: proxy.set_mode(""))

    def harm_plain(self):
        server = self.random.choice(self.fleet.plains)
        server.fault, server.faults_left = self.random.choice(PLAIN_FAULTS), self.random.randint(1, 5)

    def harm_engine(self):
        engine = self.random.choice(self.fleet.engines)
        engine.fault, engine.faults_left = self.random.choice(ENGINE_FAULTS), self.random.randint(1, 5)

    def restart_engine(self):
        self.random.choice(self.fleet.engines).restart()

    def name_version(self):
        self.named += 1
        self.fleet.origin.spoil_pieces = self.random.choice((0, 0, 3))
        self.fleet.name_version(self.named)

    def add_key(self):
        self.fleet.keys = [*self.fleet.keys, f"key-{len(self.fleet.keys) + 1}"]
        self.fleet.configure()

    def play(self, seconds):
        faults = [self.kill, self.kill, self.stop, self.pause, self.pause, self.change_settings, self.harm_store, self.harm_store, self.forget_history,
                  self.harm_link, self.harm_link, self.harm_plain, self.harm_engine, self.restart_engine, self.name_version, self.add_key]
        end = time.monotonic() + seconds
        for caller in self.callers:
            caller.start()
        while time.monotonic() < end:
            self.run_due()
            self.random.choice(faults)()
            time.sleep(self.random.uniform(0.05, 0.5))

    def heal(self):
        while self.undo:
            self.run_due()
            time.sleep(0.05)
        for server in self.fleet.engines + self.fleet.plains:
            server.faults_left = 0
        self.fleet.origin.spoil_pieces = 0
        fleet = self.fleet
        for entry in fleet.entries:
            wait_until(lambda entry=entry: fleet.call(entry, "POST", "/stream/after").status == 200, f"seed {self.seed}: a stream through {entry} after all faults")
            wait_until(lambda entry=entry: fleet.call(entry, "POST", "/once/after", body=b"x").status == 200, f"seed {self.seed}: a call through {entry} after all faults")
        wait_until(lambda: all(engine.version == self.named for engine in fleet.engines), f"seed {self.seed}: version {self.named} everywhere")

    # Promises.

    def broken_promises(self):
        yield from self.own_ends
        accepted = set()
        for caller in self.callers:
            for seen in caller.seen:
                yield from faults_of(seen, self.fleet.runs(seen.request_id))
                # A configuration that a process has acted on is never gone back from.
                if seen.status == 401 and (caller.number, seen.entry, seen.life, seen.key) in accepted:
                    yield f"{seen.request_id}: {seen.entry} refused {seen.key} after it had taken it"
                if seen.status == 200:
                    accepted.add((caller.number, seen.entry, seen.life, seen.key))
        for engine in self.fleet.engines:
            for version, digests in engine.loads:
                if digests != self.fleet.origin.digests(version):
                    yield f"{engine.address} loaded bytes that are not version {version}"

    def answers(self):
        return sum(1 for caller in self.callers for seen in caller.seen if seen.status == 200), sum(len(caller.seen) for caller in self.callers)


def run_seed(build, seed, seconds, folders, engines=3):
    """@return what was broken, and the numbers of good answers and of requests."""
    soak = Soak(build, seed, folders, engines)
    with soak.fleet:
        try:
            soak.play(seconds)
            soak.heal()
        finally:
            soak.is_over.set()
            for caller in soak.callers:
                caller.join(15)
            for proxy in soak.proxies:
                proxy.close()
        return list(soak.broken_promises()), soak.answers()


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("build")
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--seeds", type=int, nargs=2, default=(1, 3), metavar=("FIRST", "COUNT"))
    parser.add_argument("--engines", type=int, default=3)
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.seeds[0], arguments.seeds[0] + arguments.seeds[1]):
        folders = []
        try:
            broken, (good, asked) = run_seed(os.path.abspath(arguments.build), seed, arguments.seconds, folders, arguments.engines)
        except Exception as error:  # A deployment that does not heal is a finding like any other.
            broken, good, asked = [repr(error)], 0, 0
        failed += 1 if broken else 0
        print(f"seed {seed}: {good} of {asked} answered well, {'kept' if not broken else 'BROKEN ' + '; '.join(broken[:5]) + ' logs in ' + str(folders)}", flush=True)
    print(f"{arguments.seeds[1] - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
