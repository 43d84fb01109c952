# SPDX-License-Identifier: BSD-2-Clause
"""What a stopping entry does with requests that it can no longer finish, whichever way they come in."""

import http.client
import json
import socket

from cluster import last_connection_before_the_listener_closes
from fleet import CALLERS_PORT, KEY, LEDGER, Fleet, caller_fields, route, wait_until
from test_direct_path import wait_linked

# A stream lasts beyond the time in which a stopping entry takes requests as before, and ends well before the entry does.
LONG_EVENTS, LONG_EVENT_SECONDS = 20, 0.25
# Longer than an entry that has closed its listener still runs, and shorter.
LONG_DEADLINE_MS, SHORT_DEADLINE_MS = 8000, 1000
# Longer than any entry takes to stop.
PATIENT_DEADLINE_MS = 30000


class Caller:
    """Keeps one connection, and never opens another by itself."""

    def __init__(self, entry):
        self.connection = http.client.HTTPConnection(entry, CALLERS_PORT, timeout=60)
        self.connection.connect()
        self.connection.auto_open = 0

    def send(self, request_id, method="POST", path="/stream/a", deadline_ms=LONG_DEADLINE_MS):
        self.connection.request(method, path, body=b"prompt" if method == "POST" else None, headers=caller_fields(request_id, KEY, deadline_ms))

    def receive(self):
        """Status, headers, body and the problem's type; status 0 where the connection ended instead."""
        try:
            response = self.connection.getresponse()
            body = response.read()
        except (OSError, http.client.HTTPException):
            return 0, {}, b"", ""
        headers = {name.lower(): value for name, value in response.getheaders()}
        is_problem = headers.get("content-type") == "application/problem+json"
        return response.status, headers, body, json.loads(body)["type"].split(":")[-1] if is_problem else ""


def head_of(request_id, length, path="/stream/a"):
    fields = "".join(f"{name}: {value}\r\n" for name, value in caller_fields(request_id, KEY, LONG_DEADLINE_MS).items())
    return f"POST {path} HTTP/1.1\r\n{fields}Content-Length: {length}\r\n\r\n".encode()


def read_to_end(connection):
    try:
        return b"".join(iter(lambda: connection.recv(65536), b""))
    except ConnectionError:
        return b"reset"


def begin_long_streams(fleet, callers, prefix):
    wait_linked(fleet)
    for engine in fleet.engines:
        engine.events, engine.event_seconds = LONG_EVENTS, LONG_EVENT_SECONDS
    for number, caller in enumerate(callers):
        caller.send(f"{prefix}{number}")
    wait_until(lambda: sum(engine.running for engine in fleet.engines) == len(callers), "all streams to run")


def assert_refused(answer, what):
    status, headers, _, problem = answer
    assert (status, problem) == (503, "stopping"), (what, answer)
    assert headers.get("connection") == "close" and "retry-after" in headers, (what, headers)


def test_a_stopping_entry_takes_no_request_from_a_kept_connection_that_it_cannot_finish(build, folders):
    # Guards against streams that are taken seconds after the SIGTERM, passed on, and cut off as the entry ends.
    with Fleet(build, folders, entries=2, plains=1) as fleet:
        entry = fleet.entries[0]
        callers = [Caller(entry) for _ in range(4)]
        begin_long_streams(fleet, callers, "first")
        fleet.terminate(entry)
        for number, caller in enumerate(callers):
            status, headers, body, _ = caller.receive()
            assert status == 200 and body.count(b"id: ") == LONG_EVENTS, (status, body)
            # The answer's head went out before the signal, so the caller knows of no stop and uses the connection further.
            assert "connection" not in headers, headers
            caller.send(f"second{number}")
            assert_refused(caller.receive(), "second request")
        assert fleet.processes[entry].wait(timeout=60) == 0
        assert not any(fleet.runs(f"second{number}") for number in range(len(callers)))


def test_a_stopping_entry_still_serves_what_it_can_finish(build, folders):
    # Guards against entries that refuse short requests of callers that were told nothing of the stop.
    with Fleet(build, folders, entries=2, plains=1) as fleet:
        entry = fleet.entries[0]
        caller = Caller(entry)
        begin_long_streams(fleet, [caller], "first")
        fleet.terminate(entry)
        assert caller.receive()[0] == 200
        caller.send("short", "GET", "/safe/a", SHORT_DEADLINE_MS)
        status, headers, body, _ = caller.receive()
        assert (status, body, headers.get("connection")) == (200, b"answer to /safe/a", "close"), (status, headers, body)
        assert fleet.processes[entry].wait(timeout=60) == 0


def test_a_late_first_request_of_a_connection_is_not_taken_if_it_cannot_be_finished(build, folders):
    # Guards against streams on connections that were accepted just before the listener closed.
    with Fleet(build, folders, entries=2, plains=1) as fleet:
        wait_linked(fleet)
        entry = fleet.entries[0]
        for engine in fleet.engines:
            engine.events, engine.event_seconds = LONG_EVENTS, LONG_EVENT_SECONDS
        fleet.terminate(entry)
        connection = last_connection_before_the_listener_closes(entry, CALLERS_PORT)
        connection.sendall(head_of("late", 0))
        answer = read_to_end(connection)
        assert answer.startswith(b"HTTP/1.1 503 ") and b"Connection: close" in answer and b":stopping" in answer, answer
        assert fleet.processes[entry].wait(timeout=60) == 0
        assert fleet.runs("late") == 0


def test_a_request_whose_body_comes_late_is_not_taken_if_it_cannot_be_finished(build, folders):
    # Guards against requests that are taken as their last byte comes, seconds after the SIGTERM, and uploads that are cut off unanswered.
    with Fleet(build, folders, entries=2, plains=1) as fleet:
        wait_linked(fleet)
        entry = fleet.entries[0]
        late, unfinished = (socket.create_connection((entry, CALLERS_PORT), timeout=60) for _ in range(2))
        late.sendall(head_of("late", 2) + b"x")
        unfinished.sendall(head_of("unfinished", 2) + b"x")
        fleet.terminate(entry)
        last_connection_before_the_listener_closes(entry, CALLERS_PORT).close()
        late.sendall(b"x")
        for request_id, connection in (("late", late), ("unfinished", unfinished)):
            answer = read_to_end(connection)
            assert answer.startswith(b"HTTP/1.1 503 ") and b":stopping" in answer, (request_id, answer)
            assert b"Retry-After: " in answer and f"X-Request-Id: {request_id}\r\n".encode() in answer, answer
        assert fleet.processes[entry].wait(timeout=60) == 0
        assert fleet.runs("late") == fleet.runs("unfinished") == 0


def test_a_request_that_waits_at_a_stopping_entry_is_refused_before_the_entry_ends(build, folders):
    # Guards against requests that are kept in the queue of a stopping entry until nothing can be done for them.
    with Fleet(build, folders, entries=1, engines=1, plains=1) as fleet:
        entry, server = fleet.entries[0], fleet.plains[0]
        wait_until(lambda: fleet.call(entry, "GET", "/safe/warm").status == 200, "a plain service")
        server.slots = 1
        server.enlist()
        wait_until(lambda: fleet.times_logged(entry, "server_changed", server=server.id) == 2, "the entry to read of the one slot")
        # An objective as long as the deadline: the request is never late, and waits for the slot.
        fleet.configure(Routes=[route("once", "/once/", "unsafe", LEDGER, MaxAttempts=1, TimeoutMs=PATIENT_DEADLINE_MS), route("safe", "/safe/", "safe", LEDGER, TargetLatencyMs=LONG_DEADLINE_MS)])
        wait_until(lambda: fleet.configuration_in_force(entry) == fleet.version, "the configuration with a long objective")
        server.fault, server.faults_left = "hang", 10
        busy, waiting = Caller(entry), Caller(entry)
        busy.send("busy", path="/once/a", deadline_ms=PATIENT_DEADLINE_MS)
        wait_until(lambda: fleet.runs("busy") == 1, "the first request to run")
        waiting.send("waiting", "GET", "/safe/a")
        wait_until(lambda: fleet.metric(entry, "mountbarrow_in_hand") == 2, "the second request to wait")
        fleet.terminate(entry)
        assert_refused(waiting.receive(), "waiting request")
        # The one that runs has the rest of the time.
        assert fleet.processes[entry].poll() is None and not fleet.times_logged(entry, "request_ended", request="busy")
        status, _, _, problem = busy.receive()
        assert (status, problem) == (502, "stopping"), (status, problem)
        assert fleet.processes[entry].wait(timeout=60) == 0
        assert fleet.runs("waiting") == 0


class PatientFleet(Fleet):
    @staticmethod
    def routes(**stream):
        return [{**each, "TimeoutMs": PATIENT_DEADLINE_MS} for each in Fleet.routes(**stream)]


class ShortGraceFleet(PatientFleet):
    grace_seconds = 2


def test_what_is_in_hand_as_an_entry_ends_is_answered(build, folders):
    # Guards against answers of the last moment that stay in the buffers of a process that ends.
    check_last_answer(PatientFleet, build, folders)


def test_what_is_in_hand_is_answered_also_in_a_short_grace_time(build, folders):
    # Guards against entries that listen on for seconds although the platform ends them sooner.
    check_last_answer(ShortGraceFleet, build, folders)


def check_last_answer(fleet_type, build, folders):
    with fleet_type(build, folders, entries=2, engines=1, plains=2) as fleet:
        wait_linked(fleet)
        entry = fleet.entries[0]
        for server in fleet.plains:
            server.fault, server.faults_left = "hang", 10
        caller = Caller(entry)
        caller.send("hanging", path="/once/a", deadline_ms=PATIENT_DEADLINE_MS)
        wait_until(lambda: fleet.runs("hanging") == 1, "the request to run")
        fleet.terminate(entry)
        status, _, _, problem = caller.receive()
        assert (status, problem) == (502, "stopping"), (status, problem)
        assert fleet.processes[entry].wait(timeout=60) == 0
        assert fleet.runs("hanging") == 1
