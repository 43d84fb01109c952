# SPDX-License-Identifier: BSD-2-Clause
"""Engines lose the initial version, in forced orders: the origin sends no chunk until the entries have asked for some."""

from fleet import CHUNK_PORT, Fleet, wait_until
from test_direct_path import wait_linked


def origin_reads_begun(fleet, identity):
    """How many chunks a process has asked the origin for, as its metrics tell it."""
    for line in fleet.call(identity, "GET", "/metrics", port=CHUNK_PORT).body.decode().splitlines():
        if line.startswith("mountbarrow_fetches_total") and 'source="origin"' in line:
            return int(float(line.split()[-1]))
    return 0


def links(fleet):
    """How often each entry was linked to each agent."""
    return {(entry, engine.address): fleet.times_logged(entry, "link_up", peer=engine.address) for entry in fleet.entries for engine in fleet.engines}


def wait_linked_anew(fleet, before, engines):
    """Every entry has linked to the restarted agents, and heard of a loss."""
    for entry in fleet.entries:
        for engine in engines:
            wait_until(lambda e=entry, a=engine.address: fleet.times_logged(e, "link_up", peer=a) > before[e, a], f"{entry} to link to {engine.address}")


def wait_known(fleet, engines):
    """Every entry knows the records of the restarted engines."""
    for entry in fleet.entries:
        for engine in engines:
            wait_until(lambda e=entry, i=engine.id: fleet.times_logged(e, "server_changed", server=i), f"{entry} to know the record of {engine.id}")


def listed_since(fleet, entry, line):
    """The servers whose records an entry has read since that line of its log."""
    return {each["server"] for each in fleet.log_lines(entry)[line:] if each.get("event") == "server_changed"}


def expect_entries_to_read(fleet):
    """The entries ask the origin before any engine is whole, and the engines load the version."""
    wait_until(lambda: all(fleet.times_logged(entry, "goal_changed", version="1") for entry in fleet.entries), "the goal at every entry")
    wait_until(lambda: any(origin_reads_begun(fleet, entry) for entry in fleet.entries), "entries to ask the origin")
    assert all(engine.version == 0 for engine in fleet.engines)
    fleet.origin.silent_versions = set()
    wait_until(lambda: all(engine.version == 1 for engine in fleet.engines), "version 1 at all engines")
    wait_linked(fleet)


def begin(fleet):
    wait_linked(fleet)
    assert all(origin_reads_begun(fleet, entry) == 0 for entry in fleet.entries)
    fleet.origin.silent_versions = {1}
    return links(fleet)


def test_entries_read_a_lost_version_that_the_list_tells_of(build, folders):
    """The list tells of all losses while no agent is there."""
    with Fleet(build, folders) as fleet:
        begin(fleet)
        for engine in fleet.engines:
            fleet.kill(engine.address)
        for engine in fleet.engines:
            engine.staged.lose()
            engine.restart()
        wait_until(lambda: all(fleet.times_logged(entry, "goal_changed", version="1") for entry in fleet.entries), "the goal at every entry")
        for engine in fleet.engines:
            fleet.start_agent(engine)
        expect_entries_to_read(fleet)


def test_entries_read_a_lost_version_that_only_agents_tell_of(build, folders):
    """The list says nothing of the loss: the entries learn it from the agents alone."""
    with Fleet(build, folders) as fleet:
        before = begin(fleet)
        for engine in fleet.engines:
            fleet.kill(engine.address)
        for engine in fleet.engines:
            engine.staged.lose()
            engine.forget()
        for engine in fleet.engines:
            fleet.start_agent(engine)
        wait_linked_anew(fleet, before, fleet.engines)
        expect_entries_to_read(fleet)


def test_entries_read_a_lost_version_once_the_last_agent_is_back(build, folders):
    """The last agent is back late, and no record comes after it."""
    with Fleet(build, folders) as fleet:
        before = begin(fleet)
        *others, last = fleet.engines
        for engine in fleet.engines:
            fleet.kill(engine.address)
        for engine in fleet.engines:
            engine.staged.lose()
        for engine in others:
            engine.restart()
        last.forget()
        for engine in others:
            fleet.start_agent(engine)
        wait_known(fleet, others)
        wait_linked_anew(fleet, before, others)
        fleet.start_agent(last)
        wait_linked_anew(fleet, before, [last])
        expect_entries_to_read(fleet)


def test_entries_that_start_after_a_loss_read_the_lost_version(build, folders):
    """Entries lose power too, and find a list that still names the version."""
    with Fleet(build, folders) as fleet:
        begin(fleet)
        for identity in [*fleet.entries, *[engine.address for engine in fleet.engines]]:
            fleet.kill(identity)
        for engine in fleet.engines:
            engine.staged.lose()
            engine.forget()
        before = links(fleet)
        known = {entry: len(fleet.log_lines(entry)) for entry in fleet.entries}
        for entry in fleet.entries:
            fleet.start_entry(entry)
        for entry in fleet.entries:
            wait_until(lambda e=entry: listed_since(fleet, e, known[e]) >= {engine.id for engine in fleet.engines}, f"{entry} to read the list anew")
            wait_until(lambda e=entry: fleet.configuration_in_force(e) == fleet.version, "the configuration")
        for engine in fleet.engines:
            fleet.start_agent(engine)
        wait_linked_anew(fleet, before, fleet.engines)
        expect_entries_to_read(fleet)


def test_entries_read_nothing_while_an_engine_holds_the_version(build, folders):
    """Engines lose all one after another, and never all: a change of code must not make entries read then."""
    with Fleet(build, folders) as fleet:
        wait_linked(fleet)
        for engine in fleet.engines:
            before = links(fleet)
            fleet.kill(engine.address)
            engine.staged.lose()
            engine.restart()
            fleet.start_agent(engine)
            wait_linked_anew(fleet, before, [engine])
            wait_until(lambda e=engine: e.version == 1, f"version 1 at {engine.address}")
            wait_linked(fleet)
        assert sum(origin_reads_begun(fleet, identity) for identity in fleet.entries) == 0


def linked_entries_over_time(fleet, agent, line):
    """The entries that an agent is linked to after each change since that line of its log."""
    linked = set()
    for each in fleet.log_lines(agent)[line:]:
        if each.get("event") == "link_up" and each["peer"] in fleet.entries:
            linked.add(each["peer"])
        elif each.get("event") == "link_down" and each["peer"] in fleet.entries:
            linked.discard(each["peer"])
        else:
            continue
        yield set(linked)


def test_an_agent_that_starts_keeps_a_link_to_an_entry(build, folders):
    """Guards against an agent that ends its only link to an entry as it gets its goal, and reads from the origin what entries read."""
    with Fleet(build, folders) as fleet:
        wait_linked(fleet)
        for _ in range(3):
            lines = {engine.address: len(fleet.log_lines(engine.address)) for engine in fleet.engines}
            for engine in fleet.engines:
                fleet.kill(engine.address)
                fleet.start_agent(engine)
            for agent, line in lines.items():
                wait_until(lambda a=agent, n=line: set(fleet.entries) in linked_entries_over_time(fleet, a, n), f"{agent} to be linked to all entries")
                assert all(linked_entries_over_time(fleet, agent, line)), f"{agent} was left without an entry"
