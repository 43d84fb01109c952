# SPDX-License-Identifier: BSD-2-Clause
"""The store comes back from an older copy: what it has lost is written again, at offsets that entries have read past before."""

import time

from fleet import Fleet, wait_until
from test_crashing_requests import blame
from test_direct_path import wait_linked
from test_server_statements import Load

LOST_SERVER_RECORDS = 24
DRAIN_SECONDS, VERSION_SECONDS = 2.0, 4.0
# What a request takes from its acceptance to its server, and the scheduling of a busy machine.
ON_THE_WAY_SECONDS = 0.5
WATCHED_SECONDS = 3.0
# Between two requests of a caller.
PAUSE_SECONDS = 0.02


def heartbeat(fleet, engine):
    fleet.store.write("keyed.servers", engine.id, engine.entry())


def close_doors(fleet, mode):
    for entry in fleet.entries:
        fleet.door(entry).mode = mode


def start_fleet(build, folders):
    fleet = Fleet(build, folders, entries=2, engines=4, version_bound_ms=int(VERSION_SECONDS * 1000))
    # The list does not tell when an engine has started.
    for engine in fleet.engines:
        engine.born = None
        heartbeat(fleet, engine)
    return fleet


def lose_records(fleet, **lost):
    """The entries read all that is to be lost; the store is away for a moment, and comes back without it."""
    for number in range(LOST_SERVER_RECORDS):
        heartbeat(fleet, fleet.engines[number % len(fleet.engines)])
    time.sleep(2)
    close_doors(fleet, "busy")
    time.sleep(1)
    return fleet.store.come_back_from_copy({"keyed.servers": LOST_SERVER_RECORDS, **{topic.replace("_", "."): count for topic, count in lost.items()}})


def test_an_engine_that_says_it_leaves_at_a_reused_offset_gets_no_more_work(build, folders):
    """Guards against a record of a leaving engine that entries skip, as it stands below the offset that they read on from."""
    with start_fleet(build, folders) as fleet:
        wait_linked(fleet)
        with Load(fleet, "POST", "/stream/load", PAUSE_SECONDS):
            gone = lose_records(fleet)
            leaver = fleet.engines[0]
            leaver.enlist("draining")
            for engine in fleet.engines[1:] * LOST_SERVER_RECORDS:
                heartbeat(fleet, engine)
            close_doors(fleet, "")
            bound = time.monotonic() + DRAIN_SECONDS + ON_THE_WAY_SECONDS
            time.sleep(DRAIN_SECONDS + WATCHED_SECONDS)
        assert gone["keyed.servers"]
        late = leaver.arrivals_since(bound)
        assert not late, f"{len(late)} requests reached the leaving engine past its bound"
        assert sum(len(engine.arrivals_since(bound)) for engine in fleet.engines[1:]) > len(fleet.entries), "the others get the work"


def test_a_version_that_is_named_at_a_reused_offset_is_in_force_within_its_bound(build, folders):
    """Guards against a named version that entries skip, as its record stands below the offset that they read on from."""
    with start_fleet(build, folders) as fleet:
        wait_linked(fleet)
        for _ in range(4):
            fleet.configure()
        wait_until(lambda: all(fleet.configuration_in_force(entry) == fleet.version for entry in fleet.entries), "the configuration")
        with Load(fleet, "POST", "/stream/load", PAUSE_SECONDS):
            lose_records(fleet, keyed_op=3)
            fleet.name_version(2)
            for _ in range(4):
                fleet.configure()
            close_doors(fleet, "")
            bound = time.monotonic() + VERSION_SECONDS
            time.sleep(VERSION_SECONDS + WATCHED_SECONDS)
        outdated = [run for engine in fleet.engines for run in engine.runs if run[3] > bound and run[2] != 2]
        assert not outdated, f"{len(outdated)} requests began on the old version past its bound"
        assert any(run[2] == 2 for engine in fleet.engines for run in engine.runs), "nothing ran on the new version"


def test_what_the_copy_holds_undoes_nothing_in_force(build, folders):
    """Guards against an engine that leaves, and a revoked key, that are in force again by records of the copy."""
    with start_fleet(build, folders) as fleet:
        wait_linked(fleet)
        leaver = fleet.engines[0]
        fleet.keys = []
        fleet.configure(Tenants=[{"Name": "customer-1", "ApiKeys": ["key-2"]}])
        leaver.enlist("draining")
        wait_until(lambda: all(fleet.configuration_in_force(entry) == fleet.version for entry in fleet.entries), "the configuration")
        # The entries have read the list too.
        time.sleep(2)
        close_doors(fleet, "busy")
        time.sleep(1)
        fleet.store.come_back_from_copy({"keyed.servers": 1, "keyed.op": 1})
        reopened = time.monotonic()
        close_doors(fleet, "")
        time.sleep(WATCHED_SECONDS)
        for number in range(20):
            for entry in fleet.entries:
                assert fleet.call(entry, "POST", f"/stream/{number}", key="key-1").status == 401
                assert fleet.call(entry, "POST", f"/stream/{number}", key="key-2").status == 200
        assert not leaver.arrivals_since(reopened)


def test_entries_read_on_after_two_returns_without_asking_over_and_over(build, folders):
    """Guards against entries that ask for an offset which the store does not have, list all and ask for it again, without a pause."""
    with start_fleet(build, folders) as fleet:
        wait_linked(fleet)
        for _ in range(2):
            for _ in range(3):
                fleet.configure()
            gone = lose_records(fleet, keyed_op=2)
            close_doors(fleet, "")
            time.sleep(1)
            calls = fleet.store.calls
            time.sleep(2)
            assert fleet.store.calls - calls <= 20 * len(fleet.entries), fleet.store.calls - calls
            fleet.store.write_again(gone)


def test_the_systems_own_records_that_the_copy_lacks_are_written_again(build, folders):
    """Guards against a blame and a version that are stored nowhere any more, as the entries take them for written."""
    with Fleet(build, folders, entries=2, engines=5) as fleet:
        wait_linked(fleet)
        fleet.name_version(2)
        blame(fleet)
        own = ("keyed.mountbarrow-blames", "keyed.mountbarrow-versions")
        wait_until(lambda: all(fleet.store.topics[topic] for topic in own), "the records to be written")
        close_doors(fleet, "busy")
        time.sleep(1)
        fleet.store.come_back_from_copy({topic: len(fleet.store.topics[topic]) for topic in own})
        close_doors(fleet, "")
        wait_until(lambda: all(fleet.store.topics[topic] for topic in own), "the records to be written again")
