# SPDX-License-Identifier: BSD-2-Clause
"""What entries that start again know of the versions that were named before."""

import json
import time

from fleet import LEDGER, Fleet, route, wait_until
from soak_fleet import SoakFleet
from test_direct_path import wait_linked

# From the naming of a version to the last request that begins on an older one. The entry insists on the newer one 1.5 s before it.
BOUND_MS = 4000
# Past the bound, for longer than an entry that knows no date lets engines keep an older version.
WATCHED_SECONDS = 4


def stay_at_an_old_version(fleet):
    """Engines serve version 2. Version 3 is named, and cannot be had until long after its bound."""
    wait_linked(fleet)
    fleet.name_version(2)
    wait_until(lambda: all(engine.version == 2 for engine in fleet.engines), "version 2 everywhere")
    fleet.origin.silent_versions = {3}
    fleet.name_version(3)
    time.sleep(BOUND_MS / 1000 + 1)


def start_again(fleet, entries, agents):
    """Ends the processes at the same time, and starts them. Returns when they were ended."""
    for identity in [*entries, *agents]:
        fleet.kill(identity)
    ended = time.monotonic()
    for entry in entries:
        fleet.start_entry(entry)
    for engine in fleet.engines:
        if engine.address in agents:
            fleet.start_agent(engine)
    for entry in entries:
        fleet.wait_ready(entry)
    return ended


def runs_on_an_old_version(fleet, entry, since):
    """What begins on a version before the newest, asked at an entry."""
    until = time.monotonic() + WATCHED_SECONDS
    while time.monotonic() < until:
        fleet.call(entry, "POST", "/stream/a", headers={"X-Deadline-Ms": "1000"})
    return [round(run[3] - since, 2) for engine in fleet.engines for run in engine.runs if run[2] < 3 and run[3] > since]


def test_no_request_begins_on_an_old_version_after_a_restart(build, folders):
    """
    Seen: a request began on version 2, 26 s after version 3 was acknowledged.
    How: a write that named version 2 was answered late and repeated; the store carried the first one out after version 3 was
    named, so version 2 stood in the newest record of its key. All processes started again, and read that.
    Cause: what a process knows of versions moved forward only, but ended with the process; after a restart the order of the
    records decided, and not that of the versions. Nobody could tell, either, that the bound of a version was long over.
    Proof: entries and agents that start again serve version 2 for as long as they run; where version 2 was not written again, for
    2.5 s; where one entry alone starts again, it alone.
    """
    for is_written_again, is_one_alone in ((True, False), (False, False), (True, True)):
        with Fleet(build, folders, version_bound_ms=BOUND_MS) as fleet:
            stay_at_an_old_version(fleet)
            if is_written_again:
                fleet.name_version(2)
            entry = fleet.entries[0]
            agents = [] if is_one_alone else [engine.address for engine in fleet.engines]
            ended = start_again(fleet, [entry] if is_one_alone else fleet.entries, agents)
            late = runs_on_an_old_version(fleet, entry, ended)
            assert not late, (is_written_again, is_one_alone, late[:3], late[-3:])
            assert fleet.call(entry, "GET", "/public/a").status == 200, "what needs no version is served"


def test_no_request_begins_on_an_old_version_that_was_named_again_while_no_entry_ran(build, folders):
    """
    Seen: in review, not by users.
    How: all entries end; version 3 is named; the repeated write of version 2 is carried out after it; the entries start.
    Cause: an entry that starts lists the newest record of each key only, and nobody lived to write version 3 down. The log still
    holds the record of version 3, which is not read.
    Proof: each entry takes version 2 for the newest for as long as it runs.
    """
    with Fleet(build, folders, version_bound_ms=BOUND_MS) as fleet:
        wait_linked(fleet)
        fleet.name_version(2)
        wait_until(lambda: all(engine.version == 2 for engine in fleet.engines), "version 2 everywhere")
        for entry in fleet.entries:
            fleet.kill(entry)
        fleet.name_version(3)
        fleet.name_version(2)
        for entry in fleet.entries:
            fleet.start_entry(entry)
        for entry in fleet.entries:
            fleet.wait_ready(entry)
        time.sleep(BOUND_MS / 1000 + 1)
        late = runs_on_an_old_version(fleet, fleet.entries[0], time.monotonic())
        assert not late, (late[:3], late[-3:])


def test_no_engine_is_turned_back_to_an_older_version(build, folders):
    """
    Seen: in review, not by users.
    How: all engines serve version 3. The repeated write of version 2 is carried out late. Version 3 was written down by nobody: those
    whose turn it was were turned away by the store. All processes start again.
    Cause: an engine that serves version 3 is the last witness that it was named, and nobody asks it: an agent whose goal is an older
    version loads that in its place.
    Proof: engines that served version 3 serve version 2.
    """
    with Fleet(build, folders) as fleet:
        wait_linked(fleet)
        for version in (2, 3):
            fleet.name_version(version)
            wait_until(lambda version=version: all(engine.version == version for engine in fleet.engines), f"version {version} everywhere")
        fleet.name_version(2)
        agents = [engine.address for engine in fleet.engines]
        for identity in [*fleet.entries, *agents]:
            fleet.kill(identity)
        fleet.store.topics.pop("keyed.mountbarrow-versions", None)
        start_again(fleet, fleet.entries, agents)
        time.sleep(10)
        assert [engine.version for engine in fleet.engines] == [3] * len(fleet.engines), [engine.version for engine in fleet.engines]


def older_configuration_after_a_restart(build, folders, is_one_alone):
    """An older configuration is written behind the newest one, and entries start again.

    Returns what the first of them goes by then, and the status of a route that only the newest one has; and what it should be."""
    with Fleet(build, folders) as fleet:
        wait_linked(fleet)
        older = fleet.store.topics["keyed.op"][-1]
        assert older[0] == "config"
        added = route("added", "/added/", "safe", LEDGER)
        fleet.configure(Routes=[*fleet.routes(), added])
        newest = fleet.version
        for entry in fleet.entries:
            wait_until(lambda entry=entry: fleet.configuration_in_force(entry) == newest, "the newest configuration")
        fleet.store.write("keyed.op", "config", json.loads(older[1]))
        time.sleep(0.5)
        assert all(fleet.configuration_in_force(entry) == newest for entry in fleet.entries), "none that runs goes back"
        start_again(fleet, fleet.entries[:1] if is_one_alone else fleet.entries, [])
        # Time enough to hear of it from the other entry, or to read it.
        time.sleep(3)
        answer = fleet.call(fleet.entries[0], "GET", "/added/a")
        return (fleet.configuration_in_force(fleet.entries[0]), answer.status), (newest, 200)


def test_an_entry_that_starts_goes_by_no_older_configuration(build, folders):
    """
    Seen: in review, not by users.
    How: the write of a configuration is carried out late, after that of a newer one. One entry starts again.
    Cause: the order of the records decides at a start, and not that of the versions; a peer that holds the newer configuration does
    not tell it, as its record lies before what the asking one has read.
    Proof: the restarted entry answers 404 for a route that the newer configuration has, and stays with the older one.
    """
    found, wanted = older_configuration_after_a_restart(build, folders, True)
    assert found == wanted, found


def test_no_older_configuration_comes_back_when_all_entries_start_again(build, folders):
    """As above, but all entries start again: nobody is left who knows the newer one."""
    found, wanted = older_configuration_after_a_restart(build, folders, False)
    assert found == wanted, found


def test_an_entry_whose_time_of_day_is_wrong_shortens_no_bound(build, folders):
    """
    Seen: in review, not by users.
    How: a version is named that engines cannot have yet. An entry whose time of day is an hour ahead starts again, then the store turns
    the other one away for a moment.
    Cause: when a version was known is kept as a time of day, and taken as certain by whoever reads it. The reader tells it as an
    age to others, for whom the earliest time counts, also before their own last read without that version.
    Proof: the restarted entry insists on the version at once, and so does the other, whose clock is right: neither serves a call for the
    rest of the bound.
    """
    for offset_seconds in (0, 3600):
        with SoakFleet(build, folders, True, version_bound_ms=12000) as fleet:
            wait_linked(fleet)
            stepped, other = fleet.entries
            fleet.origin.silent_versions = {2}
            fleet.name_version(2)
            named = time.monotonic()
            wait_until(lambda: fleet.store.topics["keyed.mountbarrow-versions"], "version 2 is written down")
            fleet.set_clock(stepped, offset_seconds)
            start_again(fleet, [stepped], [])
            wait_until(lambda: any(line.get("event") == "link_up" and line.get("peer") == other for line in fleet.log_lines(stepped)[-200:]), "the entries are linked")
            fleet.door(other).mode = "busy"
            time.sleep(1)
            fleet.door(other).mode = ""
            statuses = {}
            while time.monotonic() < named + 6:
                for entry in fleet.entries:
                    statuses.setdefault(entry, []).append(fleet.call(entry, "POST", "/stream/a", headers={"X-Deadline-Ms": "500"}).status)
            assert time.monotonic() < named + 10, "the machine was too slow for this test"
            assert 200 in statuses[other][-3:], (offset_seconds, "the other", statuses)
            assert 200 in statuses[stepped][:3], (offset_seconds, "the restarted one", statuses)
