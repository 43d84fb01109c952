# SPDX-License-Identifier: BSD-2-Clause
"""Callers that the process does not control: what they send must end no process, and ordinary callers still get answers.

The crowd and the bounds are fixed: the budget for what callers send is 8 MB here, a crowd sends 40 MB, and the process may take 24 MB."""

import os


from cluster import HTTP_PORT, Cluster, wait_until
from crowd import Bounds, Crowd, in_chunks, with_length
from fleet import CALLERS_PORT, HOST, KEY, LINK_PORT, Fleet, limits
from test_direct_path import assert_whole_stream, wait_linked

CROWD = 40
BODY_BYTES = 1 << 20
BUDGET_BYTES = 8 << 20
MOST_MEGABYTES = 24
MOST_CONNECTIONS, IDLE_CROWD, MOST_DESCRIPTORS = 100, 300, 150
OVER_LIMIT_BYTES = 4 * BODY_BYTES


LIMITS = {"request_memory_bytes": BUDGET_BYTES, "max_caller_connections": MOST_CONNECTIONS}
# A sanitizer keeps what was freed, which is no memory of the program.
ENVIRONMENT = {"ASAN_OPTIONS": os.environ.get("ASAN_OPTIONS", "") + ":quarantine_size_mb=0:thread_local_quarantine_size_kb=0:malloc_context_size=1"}


class GuardedFleet(Fleet):
    def environment(self, identity):
        return ENVIRONMENT

    def start(self, program, identity, settings):
        super().start(program, identity, {**settings, **(LIMITS if program == "mountbarrow-direct-entry" else {})})


def head(number, path="/once/crowd", key=KEY):
    return f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: crowd-{number}\r\nX-Deadline-Ms: 8000\r\nAuthorization: Bearer {key}\r\n".encode()


def assert_bounded(build, folders, what, payloads):
    """The process lives, stays under its bounds, and answers an ordinary request, while the crowd is there and once it is gone."""
    with GuardedFleet(build, folders, entries=1, engines=1) as fleet:
        wait_linked(fleet)
        fleet.configure(**limits(MaxBodyBytes=BODY_BYTES))
        entry = fleet.entries[0]
        wait_until(lambda: fleet.configuration_in_force(entry) == fleet.version, "the configuration")
        bounds = Bounds(fleet.processes[entry], MOST_MEGABYTES, MOST_DESCRIPTORS)
        with Crowd(entry, CALLERS_PORT, payloads) as crowd:
            crowd.send()
            bounds.check(what)
            assert_whole_stream(fleet.call(entry, "POST", "/stream/a", body=b"x" * 1000))
            bounds.check(what + ", an ordinary request")
        assert fleet.call(entry, "POST", "/once/a", body=b"x" * (BODY_BYTES // 2)).status == 200
        bounds.check(what + ", gone")


# Guards against bodies that stop just short of their end and are kept, each whole, until the process ends for lack of memory.
def test_unfinished_bodies_with_a_length_end_no_process(build, folders):
    assert_bounded(build, folders, "bodies with a length", [with_length(head(i), BODY_BYTES, BODY_BYTES - 1) for i in range(CROWD)])


# Guards against the same in large chunks.
def test_unfinished_bodies_in_large_chunks_end_no_process(build, folders):
    assert_bounded(build, folders, "large chunks", [in_chunks(head(i), BODY_BYTES, 1 << 18) for i in range(CROWD)])


# Guards against the same in chunks of a few bytes.
def test_unfinished_bodies_in_small_chunks_end_no_process(build, folders):
    assert_bounded(build, folders, "small chunks", [in_chunks(head(i), BODY_BYTES, 16) for i in range(CROWD)])


# Guards against a body that is announced over the limit and kept up to it.
def test_bodies_announced_over_the_limit_end_no_process(build, folders):
    assert_bounded(build, folders, "announced over the limit", [with_length(head(i), OVER_LIMIT_BYTES, BODY_BYTES - 1) for i in range(CROWD)])


# Guards against bodies without an end.
def test_bodies_sent_over_the_limit_end_no_process(build, folders):
    assert_bounded(build, folders, "sent over the limit", [in_chunks(head(i), OVER_LIMIT_BYTES, 1 << 16) for i in range(CROWD)])


# Guards against requests that are kept behind the one in hand on their connection.
def test_requests_behind_one_in_hand_end_no_process(build, folders):
    first = [head(i, "/stream/crowd") + b"X-Token-Counts: 10,10\r\nContent-Length: 0\r\n\r\n" for i in range(CROWD)]
    assert_bounded(build, folders, "behind one in hand", [first[i] + with_length(head(CROWD + i), BODY_BYTES, BODY_BYTES - 1) for i in range(CROWD)])


# Guards against whole requests that come together, and whose answers nobody reads.
def test_whole_requests_whose_answers_are_not_read_end_no_process(build, folders):
    assert_bounded(build, folders, "answers not read", [with_length(head(i), BODY_BYTES, BODY_BYTES) for i in range(CROWD)])


# Guards against bodies under a key that nobody has.
def test_unfinished_bodies_with_an_unknown_key_end_no_process(build, folders):
    assert_bounded(build, folders, "an unknown key", [with_length(head(i, key="nobody"), BODY_BYTES, BODY_BYTES - 1) for i in range(CROWD)])


# Guards against connections that use up the process's descriptors.
def test_idle_connections_use_up_no_descriptors(build, folders):
    assert_bounded(build, folders, "idle connections", [head(i)[:40] if i % 2 else b"" for i in range(IDLE_CROWD)])


def unproved_peer():
    """What a peer that proves no key may send on a link: a message of 30 MB, of which 1 MB comes."""
    upgrade = b"GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n"
    announced = (30 << 20).to_bytes(8, "big")
    return upgrade + b"\x82\xff" + announced + b"\0\0\0\0" + b"x" * BODY_BYTES


def assert_link_bounded(build, folders, identity_of):
    with GuardedFleet(build, folders, entries=1, engines=1) as fleet:
        wait_linked(fleet)
        identity = identity_of(fleet)
        bounds = Bounds(fleet.processes[identity], MOST_MEGABYTES, MOST_DESCRIPTORS)
        with Crowd(identity, LINK_PORT, [unproved_peer()] * CROWD) as crowd:
            crowd.send()
            assert_whole_stream(fleet.call(fleet.entries[0], "POST", "/stream/a"))
            bounds.check("unproved peers")


# Guards against messages that are kept before their peer has proved its key.
def test_messages_of_unproved_peers_end_no_entry(build, folders):
    assert_link_bounded(build, folders, lambda fleet: fleet.entries[0])


def test_messages_of_unproved_peers_end_no_agent(build, folders):
    assert_link_bounded(build, folders, lambda fleet: fleet.engines[0].address)


def assert_own_interface_bounded(build, what, payloads):
    with Cluster(build) as cluster:
        entry = cluster.add_entry("e1", environment=ENVIRONMENT, max_body_bytes=BODY_BYTES // 2, **LIMITS)
        bounds = Bounds(entry.process, MOST_MEGABYTES, MOST_DESCRIPTORS)
        with Crowd(entry.address, HTTP_PORT, payloads) as crowd:
            crowd.send()
            assert cluster.metrics(entry), what
            bounds.check(what)
        assert cluster.api("GET", "service")[0] == 200
        bounds.check(what + ", gone")


# Guards the product's own interface against the same.
def test_unfinished_bodies_end_no_entry_of_the_own_interface(build, folders):
    assert_own_interface_bounded(build, "bodies with a length", [with_length(head(i), BODY_BYTES, BODY_BYTES - 1) for i in range(CROWD)])


def test_unfinished_chunks_end_no_entry_of_the_own_interface(build, folders):
    assert_own_interface_bounded(build, "small chunks", [in_chunks(head(i), BODY_BYTES, 16) for i in range(CROWD)])


def test_idle_connections_use_up_no_descriptors_of_the_own_interface(build, folders):
    assert_own_interface_bounded(build, "idle connections", [head(i)[:40] if i % 2 else b"" for i in range(IDLE_CROWD)])
