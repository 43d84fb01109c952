# SPDX-License-Identifier: BSD-2-Clause
"""What the scripts of the second review share: a small deployment with the settings of the users' pages, a record, and the exit code."""

import os
import shutil
import sys
import threading
import time
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
# The programs that the deploy file names, as its build line leaves them.
TARGET = os.environ.get("TARGET", os.path.join(ROOT, "target"))
sys.dont_write_bytecode = True
sys.path[:0] = [os.path.join(ROOT, "Tests", "Platform"), os.path.join(ROOT, "Tests", "Processes")]

import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
CONTACT_SECONDS, CONFIG_APPLY_SECONDS, RECOVERY_SECONDS = 3.0, 2.0, 12.0
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "chunks"]


class Deployment(fleet.Fleet):
    """The project's stand-ins without what the users' pages do not name: starts of servers and eras of the store."""

    def start_all(self):
        self.store.era = None
        for server in self.engines:
            server.born = None
        for server in self.engines + self.plains:
            server.enlist()
        super().start_all()

    def start(self, program, identity, settings):
        # As in the templates of the deploy folder: of the two programs only the entry has this setting.
        if program == "mountbarrow-direct-entry":
            settings["platform_features"] = CONTRACTS
        super().start(program, identity, settings)

    @staticmethod
    def routes(**stream):
        routes = fleet.Fleet.routes(**stream)
        for route in routes:
            route["TimeoutMs"] = 6000
        return routes


class Record:
    """What was sent, answered and run, line by line with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def note(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} s  {text}\n")
            self.file.flush()


def run(record_path, play):
    """Plays a case, writes its record, and exits: `play(record, folders)` returns whether the rule was broken."""
    record, folders = Record(record_path), []
    record.note(f"TROUBLE={1 if TROUBLE else 0}")
    code = CANNOT_RUN
    try:
        if not os.access(os.path.join(TARGET, "mountbarrow-direct-entry"), os.X_OK):
            raise RuntimeError("the programs of the deploy file are not built")
        code = BROKEN if play(record, folders) else HELD
        record.note("the rule was broken" if code == BROKEN else "the rule held")
    except BaseException:  # pylint: disable=broad-except
        record.note("the case could not run: " + traceback.format_exc())
    finally:
        for each in folders:
            shutil.rmtree(each, ignore_errors=True)
    print({HELD: "held", BROKEN: "broken", CANNOT_RUN: "could not run"}[code])
    sys.exit(code)
