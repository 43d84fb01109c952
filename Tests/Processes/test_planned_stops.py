# SPDX-License-Identifier: BSD-2-Clause
"""Planned stops and starts of the product's own interface, at the moments where what is under way is easily lost."""

import json
import signal
import socket
import threading
import time

from cluster import HTTP_PORT, Cluster, http, last_connection_before_the_listener_closes, wait_until
from test_interfaces import problem
from test_whole_path import LEDGER, start, wait_links

CALL = f"POST /{LEDGER}/redeem HTTP/1.1\r\nHost: x\r\nX-Call-Id: one\r\nContent-Length: 2\r\n\r\n{{}}".encode()
# For requests in hand as a process stops; shorter than the time that an entry waits for a link that was lost.
DRAIN_MS = 2000


def read_answer(connection):
    """The status and the problem type of an answer that ends with its connection."""
    try:
        answer = b"".join(iter(lambda: connection.recv(65536), b""))
    except ConnectionResetError:
        return "reset", ""
    if not answer:
        return "closed", ""
    head, _, body = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body).get("type", "").split(":")[-1]


def test_a_stopping_entry_that_stands_still_answers_what_came_meanwhile(build, folders):
    # Guards against calls that are broken off since an entry's last wait ran out while the entry itself did not run.
    with start(build, folders, engines=0, ledgers=1) as cluster:
        entry = cluster.entries()[0]
        entry.process.send_signal(signal.SIGTERM)
        connection = last_connection_before_the_listener_closes(entry.address, HTTP_PORT)
        entry.process.send_signal(signal.SIGSTOP)
        connection.sendall(CALL)
        time.sleep(1)
        entry.process.send_signal(signal.SIGCONT)
        outcome = read_answer(connection)
        assert outcome == (503, "stopping"), outcome
        assert entry.process.wait(timeout=60) == 0


def test_a_stopping_entry_waits_for_a_caller_that_is_short_of_processor_time(build, folders):
    # Guards against calls that are broken off since their caller got no processor between its connect and its request.
    with start(build, folders, engines=0, ledgers=1) as cluster:
        entry = cluster.entries()[0]
        entry.process.send_signal(signal.SIGTERM)
        connection = last_connection_before_the_listener_closes(entry.address, HTTP_PORT)
        time.sleep(0.6)
        connection.sendall(CALL)
        outcome = read_answer(connection)
        assert outcome == (503, "stopping"), outcome
        assert entry.process.wait(timeout=60) == 0


def test_a_call_that_crosses_an_agents_planned_stop_is_not_lost(build, folders):
    # Guards against calls of unknown outcome since an agent ended before an entry knew that it leaves.
    with start(build, folders, engines=0, ledgers=1) as cluster:
        entry = cluster.entries()[0]
        agent = cluster.instances["ledger-0"]
        with socket.create_connection((entry.address, HTTP_PORT), timeout=60) as connection:
            connection.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
            assert connection.recv(65536).startswith(b"HTTP/1.1 200 ")
            entry.process.send_signal(signal.SIGSTOP)
            # The entry finds this ahead of the agent's word that it leaves.
            connection.sendall(CALL.replace(b"Host: x", b"Host: x\r\nConnection: close"))
            agent.process.send_signal(signal.SIGTERM)
            time.sleep(1)
            entry.process.send_signal(signal.SIGCONT)
            outcome = read_answer(connection)
            assert outcome == (503, "no_instance"), outcome
        assert agent.process.wait(timeout=60) == 0


def test_an_entry_that_does_not_know_its_configuration_yet_says_so(build, folders):
    # Guards against a false "no such service" from an entry that has just started.
    with start(build, folders, engines=0, ledgers=1) as cluster:
        entry = cluster.entries()[0]
        cluster.faults(log_out=True, list_out=True)
        cluster.kill(entry.process)
        cluster.start_daemon(entry)
        answer = cluster.call(entry, LEDGER)
        assert problem(answer) == (503, "no_instance", "not_run"), answer
        assert "Retry-After" in answer[1]
        assert cluster.api("GET", f"service/{LEDGER}")[0] == 503
        assert http("GET", cluster.entry_url(entry, "/healthz"))[0] == 503
        cluster.faults()
        wait_until(lambda: cluster.call(entry, LEDGER, headers={"X-Call-Id": "one"})[0] == 200, "the service to be served")
        assert http("GET", cluster.entry_url(entry, "/healthz"))[0] == 200
        assert problem(cluster.call(entry, "nothing")) == (404, "no_such_service", "not_run")


def short_drain(build, folders, drained, agents=1, **agent_settings):
    """A service whose calls hang; what the given role has in hand at a stop gets 2 s."""
    cluster = Cluster(build)
    folders.append(cluster.folder)
    cluster.add_entry("entry-0", **({"drain_ms": DRAIN_MS} if drained == "entry" else {}))
    for i in range(agents):
        cluster.add_agent(f"ledger-{i}", LEDGER, kind="plain", **({"drain_ms": DRAIN_MS} if drained == "agent" else {}), **agent_settings)
    cluster.put("service", LEDGER, {"kind": "plain"})
    entry = cluster.entries()[0]
    wait_links(cluster, entry, agents)
    wait_until(lambda: cluster.call(entry, LEDGER, headers={"X-Call-Id": "warm"})[0] == 200, "the service to be served")
    for i in range(agents):
        cluster.backend_faults(cluster.instances[f"ledger-{i}"], stop_answering=True)
    return cluster


class Call:
    """A call that is answered in the background."""

    def __init__(self, function, *arguments, **more):
        self.answer = None
        self.thread = threading.Thread(target=self.run, args=(function, arguments, more))
        self.thread.start()

    def run(self, function, arguments, more):
        self.answer = function(*arguments, **more)

    def wait(self):
        self.thread.join()
        return self.answer


def test_what_a_stopping_entry_cannot_finish_is_refused_or_answered_before_it_ends(build, folders):
    # Guards against calls that a stopping entry keeps in its queue, and against calls in hand that it ends without an answer.
    with short_drain(build, folders, "entry", capacity=1) as cluster:
        entry = cluster.entries()[0]
        agent = cluster.instances["ledger-0"]
        running = Call(cluster.call, entry, LEDGER, headers={"X-Call-Id": "running", "X-Repeatable": "false"}, timeout=60)
        wait_until(lambda: cluster.report(agent).get("in_flight") == 1, "the call to run")
        queued = Call(cluster.call, entry, LEDGER, headers={"X-Call-Id": "queued", "X-Repeatable": "false"}, timeout=60)
        wait_until(lambda: cluster.metrics(entry).get("mountbarrow_entry_queued") == 1, "the second call to wait")
        entry.process.send_signal(signal.SIGTERM)
        assert problem(queued.wait()) == (503, "stopping", "not_run"), queued.answer
        assert running.answer is None
        assert problem(running.wait()) == (502, "stopping", "unknown"), running.answer
        assert entry.process.wait(timeout=60) == 0


def test_a_change_that_is_undecided_as_its_entry_ends_is_answered(build, folders):
    # Guards against operators who are told nothing of a change that a stopping entry has in hand.
    with short_drain(build, folders, "entry") as cluster:
        entry = cluster.entries()[0]
        cluster.faults(log_out=True)
        change = Call(cluster.api, "PUT", "service/other?expected_revision=-1", json.dumps({"kind": "plain"}))
        wait_until(lambda: cluster.metrics(entry).get("mountbarrow_entry_append_failures_total", 0) > 0, "the append to fail")
        entry.process.send_signal(signal.SIGTERM)
        status, answer = change.wait()
        assert (status, answer["type"].split(":")[-1], answer["outcome"]) == (504, "undecided", "unknown"), answer
        assert answer["change_id"]
        assert entry.process.wait(timeout=60) == 0


def test_calls_that_an_ending_agent_breaks_off_are_answered_at_once(build, folders):
    # Guards against callers who wait for the link of an agent that has ended for good.
    with short_drain(build, folders, "agent") as cluster:
        entry = cluster.entries()[0]
        agent = cluster.instances["ledger-0"]
        running = Call(cluster.call, entry, LEDGER, headers={"X-Call-Id": "running", "X-Repeatable": "false"}, timeout=60)
        wait_until(lambda: cluster.report(agent).get("in_flight") == 1, "the call to run")
        agent.process.send_signal(signal.SIGTERM)
        assert problem(running.wait()) == (502, "stopping", "unknown"), running.answer
        assert agent.process.wait(timeout=60) == 0
