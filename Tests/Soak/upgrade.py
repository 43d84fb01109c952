#!/usr/bin/env python3
# SPDX-License-Identifier: BSD-2-Clause
"""An upgrade from one build to another, one instance after another, and the way back, while callers ask and the promises are checked.

upgrade.py OLD_BUILD NEW_BUILD [--half-seconds N] [--entries N] [--engines N]

Amid it versions are named, keys added and taken away, and a process is killed; half of the instances stay at each build for a while.
Exits with failure where a promise broke. Called by Meta/upgrade.sh, which builds both.
"""

import argparse
import collections
import signal
import sys
import time

from soak import Soak

SEED = 1
# From the end of one process to that of the next.
STEP_SECONDS = 1.5


class Upgrade:
    def __init__(self, soak):
        self.soak = soak
        self.fleet = soak.fleet

    def wait(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.soak.run_due()
            time.sleep(0.02)

    def replace(self, identity, build):
        """A planned stop; what starts in its place is of the other build."""
        self.fleet.builds[identity] = build
        self.soak.send(identity, signal.SIGTERM)
        self.soak.wait(lambda: identity not in self.soak.told_to_end and identity not in self.soak.returning and self.soak.has_started(identity), f"{identity} to be back")

    def replace_all(self, build, half_seconds):
        identities = list(self.fleet.processes)
        half = len(identities) // 2
        for number, identity in enumerate(identities):
            if number == half:
                self.soak.name_version()
                self.wait(half_seconds)
                self.soak.kill()
            if number % 3 == 1:
                self.soak.change_keys()
            self.replace(identity, build)
            self.wait(STEP_SECONDS)

    def seen_since(self, begin):
        statuses = collections.Counter(seen.status for caller in self.soak.callers for seen in list(caller.seen) if seen.sent_at >= begin)
        asked = sum(statuses.values())
        return f"{statuses[200]} of {asked} answered well ({100 * statuses[200] / max(1, asked):.1f} in 100), " + ", ".join(f"{status or 'no answer'} {count}" for status, count in sorted(statuses.items()))


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("old")
    parser.add_argument("new")
    parser.add_argument("--half-seconds", type=float, default=20)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--engines", type=int, default=5)
    arguments = parser.parse_args()
    folders = []
    soak = Soak(arguments.old, SEED, folders, arguments.entries, arguments.engines)
    broken = []
    with soak.fleet:
        upgrade = Upgrade(soak)
        for caller in soak.callers:
            caller.start()
        try:
            # The same build restarted one after another is what an upgrade is held against.
            for name, build in (("restart", arguments.old), ("upgrade", arguments.new), ("way back", arguments.old)):
                begin = time.monotonic()
                upgrade.replace_all(build, arguments.half_seconds)
                print(f"{name}: {upgrade.seen_since(begin)}", flush=True)
            soak.heal()
        except AssertionError as error:
            broken.append(f"recovery: {error!r}")
        finally:
            soak.close()
        broken += list(soak.broken_promises())
    for fault in broken[:20]:
        print(fault)
    print(f"{len(broken)} promises broken ({folders[0]})")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
