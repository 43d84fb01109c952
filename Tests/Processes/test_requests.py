# SPDX-License-Identifier: BSD-2-Clause
"""Requests under kills, freezes, cuts and planned stops."""

import json
import signal
import socket
import threading
import time

from cluster import HTTP_PORT, LINK_PORT, finish_load, http, wait_until
from relay import Relay
from test_whole_path import LEDGER, POOL, roll_out, start, tokens, wait_links


def runs_by_call(cluster, services=(LEDGER,)):
    """How often each call ran, over all plain services, those that were restarted included."""
    runs = {}
    for instance in cluster.instances.values():
        if instance.service in services and instance.backend.poll() is None:
            for call, count in cluster.runs(instance).items():
                runs[call] = runs.get(call, 0) + count
    return runs


def check_calls(report, runs):
    """What must hold of every call, whatever failed."""
    doubled = {call: count for call, count in runs.items() if count > 1}
    assert not doubled, doubled
    for call, outcome in report["calls"].items():
        if outcome in ("not_run", "not_connected"):
            assert runs.get(call, 0) == 0, (call, outcome)
        if outcome == "answered":
            assert runs.get(call, 0) == 1, call


def settle(cluster):
    """Waits until a freshly made key is run: its home has waited out earlier homes."""
    def is_answered():
        seconds = int(time.time() * 1000)
        key = f"{seconds >> 16:08x}-{seconds & 0xffff:04x}-7000-8000-{time.monotonic_ns() & 0xffffffffffff:012x}"
        code, _, _ = cluster.call(cluster.entries()[0], LEDGER, headers={"Idempotency-Key": key, "X-Call-Id": key})
        return code == 200
    for _ in range(5):
        wait_until(is_answered, "a key to be run")


def test_no_key_runs_twice_when_agents_are_killed_and_frozen(build, folders):
    with start(build, folders, engines=0, ledgers=3, entries=2, lease_ms=1000, list_lag_ms=500) as cluster:
        settle(cluster)
        load = cluster.load(["--service", LEDGER, "--rate", 60, "--seconds", 12, "--resend-share", 0.5, "--deadline-ms", 1500])
        ledgers = [i for i in cluster.instances.values() if i.role == "agent"]
        time.sleep(2)
        # The process dies beside a service that lives on, and comes back.
        cluster.kill(ledgers[0].process)
        time.sleep(0.7)
        cluster.start_daemon(ledgers[0])
        time.sleep(1)
        # One is frozen, taken off the list, and wakes up unaware.
        ledgers[1].process.send_signal(signal.SIGSTOP)
        cluster.unlist(ledgers[1])
        time.sleep(4)
        ledgers[1].process.send_signal(signal.SIGCONT)
        report = finish_load(load)
        check_calls(report, runs_by_call(cluster))
        assert report["unanswered"] == 0, report["outcomes"]
        assert report["outcomes"]["answered"] > 100, report["outcomes"]


def test_a_planned_stop_of_everything_cuts_off_nothing(build, folders):
    # Guards against calls that are broken off since a process ends by the clock and not once its connections are over.
    with start(build, folders, engines=3, ledgers=2, entries=2, backend=("--token-ms", "10")) as cluster:
        roll_out(cluster)
        cluster.wait_ready("r", 3)
        settle(cluster)
        chats = cluster.load(["--service", POOL, "--model", "m", "--rate", 20, "--seconds", 14, "--deadline-ms", 10000])
        calls = cluster.load(["--service", LEDGER, "--rate", 20, "--seconds", 14, "--keyed-share", 0])
        for identity in ["llm-0", "llm-1", "llm-2", "ledger-0", "ledger-1", "entry-0", "entry-1"]:
            instance = cluster.instances[identity]
            instance.process.send_signal(signal.SIGTERM)
            instance.process.wait(timeout=60)
            assert instance.process.returncode == 0
            cluster.start_daemon(instance)
            if instance.role == "agent":
                wait_until(lambda: all(links(cluster, e) == 5 for e in cluster.entries()), "links")
                if instance.service == POOL:
                    cluster.wait_ready("r", 3)
            else:
                wait_links(cluster, instance, 5)
        for report in (finish_load(chats), finish_load(calls)):
            outcomes = report["outcomes"]
            assert report["not_whole"] == 0, report
            assert report["unanswered"] == 0, outcomes
            # A caller whom the balancer still sends to a stopped entry is not connected; nothing else may go wrong.
            assert set(outcomes) <= {"answered", "not_run", "not_connected"}, (outcomes, report["reasons"])
            allowed = {"stopping", "no_instance", "version_not_ready"}
            assert {r.split(":")[-1] for r in report["reasons"]} <= allowed, report["reasons"]


def test_a_call_that_waits_to_be_accepted_in_an_entrys_last_moment_is_answered(build, folders):
    with start(build, folders, engines=0, ledgers=1) as cluster:
        entry = cluster.entries()[0]
        entry.process.send_signal(signal.SIGTERM)
        wait_until(lambda: http("GET", cluster.entry_url(entry, "/healthz"))[0] == 503, "the entry to drain")
        entry.process.send_signal(signal.SIGSTOP)
        # Once it goes on, all that it waits for before it ends has passed.
        time.sleep(2)
        request = f"POST /{LEDGER}/redeem HTTP/1.1\r\nHost: {entry.address}\r\nContent-Length: 2\r\n\r\n{{}}"
        with socket.create_connection((entry.address, HTTP_PORT), timeout=20) as caller:
            caller.sendall(request.encode())
            entry.process.send_signal(signal.SIGCONT)
            answer = b"".join(iter(lambda: caller.recv(65536), b""))
        assert answer.startswith(b"HTTP/1.1 503 "), answer
        assert json.loads(answer.split(b"\r\n\r\n", 1)[1])["type"].endswith(":stopping"), answer
        assert entry.process.wait(timeout=60) == 0


def links(cluster, entry):
    code, _, body = http("GET", cluster.entry_url(entry, "/api/v1/status"))
    return json.loads(body)["links"] if code == 200 else -1


def test_an_engine_that_dies_in_a_stream_breaks_the_answer_visibly(build, folders):
    with start(build, folders, engines=1, ledgers=0) as cluster:
        roll_out(cluster, replicas=1)
        cluster.wait_ready("r", 1)
        engine = cluster.instances["llm-0"]
        cluster.backend_faults(engine, break_after_tokens=5)
        code, _, body = cluster.chat(cluster.entries()[0], POOL, "m")
        # The client's library reports the missing end of the answer as an error.
        assert code == 0, (code, body)
        cluster.backend_faults(engine)
        code, _, body = cluster.chat(cluster.entries()[0], POOL, "m")
        assert code == 200 and body.endswith(b"[DONE]\n\n")


def test_a_request_is_tried_elsewhere_until_its_first_byte(build, folders):
    with start(build, folders, engines=3, ledgers=0) as cluster:
        roll_out(cluster)
        cluster.wait_ready("r", 3)
        entry = cluster.entries()[0]
        cluster.kill(cluster.instances["llm-0"].backend)
        for i in range(20):
            code, _, body = cluster.chat(entry, POOL, "m", f"question {i}")
            assert code == 200 and len(tokens(body)) == 20


def test_a_call_whose_service_closes_without_an_answer_is_unknown_and_never_repeated(build, folders):
    with start(build, folders, engines=0, ledgers=2) as cluster:
        ledgers = [i for i in cluster.instances.values() if i.role == "agent"]
        for ledger in ledgers:
            cluster.backend_faults(ledger, close_after_run=True)
        code, headers, body = cluster.call(cluster.entries()[0], LEDGER, headers={"X-Call-Id": "one"})
        problem = json.loads(body)
        assert code == 502 and problem["outcome"] == "unknown", problem
        assert "Retry-After" in headers
        assert runs_by_call(cluster) == {"one": 1}
        # A call that reaches no service is refused as not run.
        for ledger in ledgers:
            cluster.kill(ledger.backend)
        code, _, body = cluster.call(cluster.entries()[0], LEDGER, headers={"X-Call-Id": "two"})
        assert code == 503 and json.loads(body)["outcome"] == "not_run", body


def with_relay(cluster, instance):
    """Puts a relay between the entries and an agent's link port."""
    relay_port = LINK_PORT + 100
    relay = Relay(instance.address, relay_port, LINK_PORT)
    row = instance.row()
    row["link_port"] = relay_port
    http("PUT", cluster.platform_url("/instances/" + instance.identity), json.dumps(row))
    return relay


def test_a_stream_goes_on_where_its_link_was_cut(build, folders):
    with start(build, folders, engines=1, ledgers=0, backend=("--token-ms", "100")) as cluster:
        roll_out(cluster, replicas=1)
        cluster.wait_ready("r", 1)
        entry = cluster.entries()[0]
        relay = with_relay(cluster, cluster.instances["llm-0"])
        wait_until(lambda: relay.pairs, "the link to move to the relay")
        cluster.wait_ready("r", 1)
        answers = []
        caller = threading.Thread(target=lambda: answers.append(cluster.chat(entry, POOL, "m")))
        caller.start()
        name = "mountbarrow_entry_first_byte_ms_count"
        wait_until(lambda: cluster.metrics(entry).get(name, 0) >= 1, "the first byte")
        for _ in range(2):
            relay.cut()
            time.sleep(0.2)
            relay.restore()
            wait_until(lambda: links(cluster, entry) == 1, "the link to come back")
            time.sleep(0.2)
        caller.join()
        relay.stop()
        code, _, body = answers[0]
        assert code == 200, answers[0]
        assert [t["index"] for t in tokens(body)] == list(range(20))
        assert len({t["id"] for t in tokens(body)}) == 1
        assert cluster.metrics(entry)["mountbarrow_entry_resumed_total"] >= 1


def test_a_half_open_link_is_noticed_and_its_requests_answered(build, folders):
    with start(build, folders, engines=0, ledgers=1, lease_ms=1000) as cluster:
        entry = cluster.entries()[0]
        ledger = cluster.instances["ledger-0"]
        relay = with_relay(cluster, ledger)
        wait_until(lambda: relay.pairs, "the link to move to the relay")
        wait_until(lambda: cluster.call(entry, LEDGER)[0] == 200, "the first call")
        relay.freeze()
        code, _, body = cluster.call(entry, LEDGER, headers={"X-Call-Id": "frozen", "X-Deadline-Ms": "15000"})
        problem = json.loads(body)
        assert problem["outcome"] == "unknown", problem
        relay.restore()
        wait_until(lambda: cluster.call(entry, LEDGER)[0] == 200, "calls to be answered again")
        assert runs_by_call(cluster).get("frozen", 0) <= 1
        relay.stop()


def test_a_leaving_instance_gets_no_new_work(build, folders):
    with start(build, folders, engines=0, ledgers=2) as cluster:
        entry = cluster.entries()[0]
        leaving = cluster.instances["ledger-0"]
        cluster.list_instance(leaving, "leaving")
        seen = lambda: json.loads(http("GET", cluster.entry_url(entry, "/api/v1/status"))[2])["list_version"]
        before = seen()
        wait_until(lambda: seen() >= before, "the list")
        time.sleep(2)
        count = len(cluster.runs(leaving))
        for i in range(20):
            code, _, _ = cluster.call(entry, LEDGER, headers={"X-Call-Id": f"c{i}"})
            assert code == 200
        assert len(cluster.runs(leaving)) == count
