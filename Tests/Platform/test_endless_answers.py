# SPDX-License-Identifier: BSD-2-Clause
"""Servers whose answers have no end: bytes come in a head or a body until the caller closes."""

import time

from fleet import MODEL, Fleet, wait_until
from stand_ins import ENDLESS
from test_direct_path import assert_whole_stream, wait_linked

# What a daemon may take in all; a sanitizer's own memory is not counted.
MOST_MEGABYTES = 64
ENDLESS_SECONDS = 1.5


def peak_megabytes(fleet, identity):
    with open(f"/proc/{fleet.processes[identity].pid}/status", encoding="utf-8") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmHWM")) / 1024


def is_sanitized(fleet, identity):
    with open(f"/proc/{fleet.processes[identity].pid}/maps", encoding="utf-8") as file:
        return "libasan" in file.read()


def assert_all_small(fleet, what):
    for identity, process in fleet.processes.items():
        assert process.poll() is None, f"{what}: {identity} ended"
        if not is_sanitized(fleet, identity):
            assert peak_megabytes(fleet, identity) < MOST_MEGABYTES, f"{what}: {identity} took {peak_megabytes(fleet, identity):.0f} MB"


def serve_without_end(fleet, server, path, kind):
    """The server answers so for a while, in which streams are served by all entries."""
    before = server.endless_answers
    server.endless_kind, server.endless_path = kind, path
    wait_until(lambda: server.endless_answers > before, f"an answer without end to {path}")
    end = time.monotonic() + ENDLESS_SECONDS
    while time.monotonic() < end:
        for entry in fleet.entries:
            assert_whole_stream(fleet.call(entry, "POST", "/stream/a"))
    server.endless_path = None
    assert_all_small(fleet, f"{path} {kind}")


def test_weights_without_end_end_no_process(build, folders):
    """Guards against entries and agents that keep all that the origin of the weights sends, until they end for lack of memory."""
    with Fleet(build, folders) as fleet:
        wait_linked(fleet)
        version = 1
        for path in ("/manifest/", "/piece/"):
            for kind in ENDLESS:
                version += 1
                fleet.origin.endless_kind, fleet.origin.endless_path = kind, path
                fleet.name_version(version)
                serve_without_end(fleet, fleet.origin, path, kind)
                wait_until(lambda version=version: all(engine.version == version for engine in fleet.engines), f"version {version} everywhere")


def test_an_engines_answers_to_its_agent_without_end_end_no_process(build, folders):
    """Guards against an agent that keeps all that its engine sends in answer to a question, until it ends for lack of memory."""
    with Fleet(build, folders) as fleet:
        wait_linked(fleet)
        engine = fleet.engines[0]
        for kind in ENDLESS:
            serve_without_end(fleet, engine, "/report", kind)
        version = 1
        for path in (f"/stage-get/{MODEL}", f"/stage-put/{MODEL}", "/order"):
            for kind in ("head", "body"):
                version += 1
                engine.endless_kind, engine.endless_path = kind, path
                fleet.name_version(version)
                serve_without_end(fleet, engine, path, kind)
                wait_until(lambda version=version: all(each.version == version for each in fleet.engines), f"version {version} everywhere")


def test_the_stores_answers_without_end_end_no_process(build, folders):
    """Guards against entries that keep all that the store sends, until they end for lack of memory. Each starts amid such answers."""
    with Fleet(build, folders) as fleet:
        wait_linked(fleet)
        entry = fleet.entries[0]
        door = fleet.door(entry)
        for path in ("/log-read", "/log-newest"):
            for kind in ENDLESS:
                door.endless_kind, door.endless_path = kind, path
                before = door.endless_answers
                fleet.kill(entry)
                fleet.start_entry(entry)
                wait_until(lambda before=before: door.endless_answers > before, f"an answer without end to {path}")
                time.sleep(ENDLESS_SECONDS)
                assert_all_small(fleet, f"{path} {kind}")
                door.endless_path = None
                fleet.wait_ready(entry)
                fleet.configure()
                wait_until(lambda: fleet.configuration_in_force(entry) == fleet.version, "the configuration in force")
