# SPDX-License-Identifier: BSD-2-Clause
"""Backend servers whose answers RFC 9112 does not allow: no caller may get one, and what they state counts for nothing."""

import json
import time

from cluster import BACKEND_PORT, wait_until
from fleet import Fleet
from stand_ins import MALFORMED, MALFORMED_STATEMENTS, UNUSUAL, filled
from test_answers_cut_in_the_head import RawService
from test_direct_path import wait_linked
from test_whole_path import LEDGER, start

EVENTS = list(range(1, 7))
STATEMENT_METRICS = ("mountbarrow_server_limits_stated_total", "mountbarrow_servers_leaving_stated_total", "mountbarrow_server_rests_asked_total")
# Seconds for which a server may be left alone after failures.
PATIENCE = 20


def is_own(answer, path):
    """Whether a caller got its whole answer."""
    if not answer.is_whole or answer.status != 200:
        return False
    return answer.event_ids() == EVENTS if path == "/stream/a" else answer.body == b"answer to " + path.encode()


def call_until_sent(fleet, servers, method, path, template, statements=b""):
    """Calls until one of the servers has answered one call by the template; the request's id and the answer to it."""
    deadline = time.monotonic() + PATIENCE
    while time.monotonic() < deadline:
        for server in servers:
            before = server.templates_sent
            server.template, server.template_statements = template, statements
            server.fault, server.faults_left = "template", 1
            request_id = f"t{fleet.next_request}"
            fleet.next_request += 1
            answer = fleet.call(fleet.entries[0], method, path, request_id=request_id)
            server.faults_left = 0
            if server.templates_sent > before:
                return request_id, answer
            time.sleep(0.02)
    raise AssertionError(f"no server was asked for {path}")


def assert_is_unknown(answer, kind):
    """The request may have run, and nothing else is said."""
    assert answer.status == 502 and json.loads(answer.body)["outcome"] == "unknown", (kind, answer.status, answer.headers, answer.body)


def assert_goes_elsewhere(fleet, servers, method, path, kind):
    """A call that got a malformed answer is sent to another server, unless that is left alone for failures of its own."""
    deadline = time.monotonic() + PATIENCE
    while time.monotonic() < deadline:
        _, answer = call_until_sent(fleet, servers, method, path, MALFORMED[kind])
        if is_own(answer, path):
            return
        assert_is_unknown(answer, kind)
    raise AssertionError(f"{kind}: no call for {path} was served by another server")


def test_a_malformed_answer_reaches_no_caller(build, folders):
    """A request that may be repeated goes to another server; one that may not is answered with 502, as it may have run."""
    with Fleet(build, folders, entries=1, engines=2, plains=3) as fleet:
        wait_linked(fleet)
        entry = fleet.entries[0]
        for kind, template in MALFORMED.items():
            assert_goes_elsewhere(fleet, fleet.plains, "GET", "/safe/a", kind)
            assert_goes_elsewhere(fleet, fleet.engines, "POST", "/stream/a", kind)
            request_id, answer = call_until_sent(fleet, fleet.plains, "POST", "/once/a", template)
            assert_is_unknown(answer, kind)
            assert fleet.runs(request_id) == 1, kind
        sent = sum(server.templates_sent for server in fleet.plains + fleet.engines)
        assert sent >= 3 * len(MALFORMED), sent
        # The log is written behind the answers.
        wait_until(lambda: fleet.times_logged(entry, "malformed_answer") == sent, f"{sent} lines of malformed answers")
        lines = [line for line in fleet.log_lines(entry) if line.get("event") == "malformed_answer"]
        for server in fleet.plains + fleet.engines:
            named = [line["fault"] for line in lines if line["server"] == f"{server.address}:{server.port}"]
            assert len(named) == server.templates_sent, (named, server.templates_sent)
            for fault in set(named):
                metric = f'mountbarrow_malformed_answers_total{{server="{server.address}:{server.port}",fault="{fault}"}}'
                assert fleet.metric(entry, metric) == named.count(fault), metric


def test_what_a_malformed_answer_states_counts_for_nothing(build, folders):
    with Fleet(build, folders, entries=1, engines=1, plains=1) as fleet:
        wait_linked(fleet)
        entry = fleet.entries[0]
        for kind in ("status 000", "control byte in a name", "refusal", "refusal in chunks"):
            call_until_sent(fleet, fleet.plains, "POST", "/once/a", MALFORMED[kind], MALFORMED_STATEMENTS)
            call_until_sent(fleet, fleet.engines, "POST", "/stream/a", MALFORMED[kind], MALFORMED_STATEMENTS)
        assert [fleet.metric(entry, name) for name in STATEMENT_METRICS] == [0, 0, 0]
        # Neither server leaves, rests or is limited to one request in 100 s.
        for method, path in (("POST", "/once/b"), ("POST", "/stream/a")):
            for _ in range(3):
                wait_until(lambda: is_own(fleet.call(entry, method, path), path), f"an answer to {path}")


def test_what_a_valid_answer_states_counts(build, folders):
    """The counterpart: the same statements in valid answers."""
    with Fleet(build, folders, entries=1, engines=1, plains=1) as fleet:
        wait_linked(fleet)
        entry = fleet.entries[0]
        plain = fleet.plains[0]
        call_until_sent(fleet, fleet.plains, "POST", "/once/a", UNUSUAL["continue"], MALFORMED_STATEMENTS)
        assert [fleet.metric(entry, name) for name in STATEMENT_METRICS[:2]] == [1, 1]
        arrivals = len(plain.arrivals)
        assert fleet.call(entry, "POST", "/once/b").status == 503
        assert len(plain.arrivals) == arrivals


def test_an_unusual_answer_that_is_allowed_passes(build, folders):
    with Fleet(build, folders, entries=1, engines=1, plains=1) as fleet:
        wait_linked(fleet)
        entry = fleet.entries[0]
        for kind, template in UNUSUAL.items():
            for method, path, servers in (("GET", "/safe/a", fleet.plains), ("POST", "/once/a", fleet.plains), ("POST", "/stream/a", fleet.engines)):
                _, answer = call_until_sent(fleet, servers, method, path, template)
                assert is_own(answer, path), (kind, path, answer.status, answer.headers, answer.body)
        assert fleet.times_logged(entry, "malformed_answer") == 0


def test_malformed_requests_reach_no_backend_server(build, folders):
    with Fleet(build, folders, entries=1, engines=1, plains=1) as fleet:
        wait_linked(fleet)
        entry = fleet.entries[0]
        fields = b"Host: host.example\r\nAuthorization: Bearer key-1\r\nX-Request-Id: odd\r\n"
        requests = (b"GET /safe/a HTTP/0.9\r\n" + fields, b"GET /safe/a HTTP/2.0\r\n" + fields, b"GET /safe/a HTTP/9.9\r\n" + fields, b"GET /safe/a\r\n" + fields,
                    b"GET /safe/a HTTP/1.1\r\n" + fields + b"X Odd: 1\r\n", b"GET /safe/a HTTP/1.1\r\n" + fields + b"X\x01Odd: 1\r\n",
                    b"GET /safe/a HTTP/1.1\r\n" + fields + b"Host: other.example\r\n", b"POST /once/a HTTP/1.1\r\n" + fields + b"Content Length: 5\r\n")
        for request in requests:
            answer = fleet.raw(entry, request + b"\r\n")
            assert answer.startswith(b"HTTP/1.1 400 "), (request, answer)
        assert fleet.runs("odd") == 0


class TemplateService(RawService):
    """Answers by a template."""

    template = b""

    def answer(self):
        return filled(self.template, b"X-Kind: a\r\n", b"answer")


def test_a_malformed_answer_reaches_no_caller_of_an_agent(build, folders):
    """The same beside a backend server of the product's own interface."""
    with start(build, folders, engines=0, ledgers=1) as cluster:
        ledger = next(i for i in cluster.instances.values() if i.role == "agent")
        cluster.kill(ledger.backend)
        service = TemplateService(ledger.address, BACKEND_PORT)
        for kind, template in MALFORMED.items():
            service.template = template
            code, _, body = cluster.call(cluster.entries()[0], LEDGER, headers={"X-Call-Id": kind.replace(" ", "-")})
            # What stands before the fault may have been passed on: then the answer is broken off.
            is_refused = code == 502 and json.loads(body)["outcome"] == "unknown"
            assert is_refused or code == 0, (kind, code, body)
        for kind, template in UNUSUAL.items():
            service.template = template
            code, _, body = cluster.call(cluster.entries()[0], LEDGER, headers={"X-Call-Id": kind.replace(" ", "-")})
            assert (code, body) == (200, b"answer"), (kind, code, body)
        service.close()
        assert service.sent == len(MALFORMED) + len(UNUSUAL), service.sent
        counted = sum(value for name, value in cluster.metrics(ledger).items() if name.startswith("mountbarrow_malformed_answers_total"))
        assert counted == len(MALFORMED), counted
