# SPDX-License-Identifier: BSD-2-Clause
"""Bad input on every interface: a typed error, a counter, and a process that stays up."""

import json
import os
import socket
import subprocess

from cluster import HTTP_PORT, LINK_PORT, http, wait_until
from test_whole_path import LEDGER, POOL, start


def problem(answer):
    code, _, body = answer
    return code, json.loads(body)["type"].split(":")[-1], json.loads(body)["outcome"]


def test_bad_calls_get_typed_refusals(build, folders):
    with start(build, folders, engines=1, ledgers=1) as cluster:
        entry = cluster.entries()[0]
        url = cluster.entry_url(entry, f"/{POOL}/v1/chat/completions")
        assert problem(http("POST", url, "not json")) == (400, "malformed", "not_run")
        assert problem(http("POST", url, "{}")) == (400, "malformed", "not_run")
        assert problem(cluster.chat(entry, POOL, "m")) == (503, "version_not_ready", "not_run")
        assert problem(cluster.call(entry, "nothing")) == (404, "no_such_service", "not_run")
        for header in ({"X-Deadline-Ms": "soon"}, {"X-Priority": "99"}, {"X-Repeatable": "maybe"}):
            assert problem(cluster.call(entry, LEDGER, headers=header)) == (400, "malformed", "not_run")
        assert problem(cluster.call(entry, LEDGER, headers={"Idempotency-Key": "k"})) == (400, "key_malformed", "not_run")
        assert problem(http("POST", cluster.entry_url(entry, f"/{LEDGER}/x"), "x" * (5 * 1024 * 1024))) == (413, "too_large", "not_run")
        cluster.put("customer", "c", {"requests_per_second": 1, "burst": 1, "concurrency": 1})
        assert problem(cluster.call(entry, LEDGER)) == (403, "no_such_customer", "not_run")
        assert cluster.call(entry, LEDGER, headers={"X-Customer": "c"})[0] == 200
        code, headers, body = cluster.call(entry, LEDGER, headers={"X-Customer": "c"})
        assert problem((code, headers, body)) == (429, "over_rate", "not_run") and "Retry-After" in headers
        counters = cluster.metrics(entry)
        assert counters['mountbarrow_entry_refused_total{reason="malformed"}'] == 5


def test_the_operators_api_refuses_strangers_and_bad_changes(build, folders):
    with start(build, folders, engines=0, ledgers=0) as cluster:
        spec = json.dumps({"requests_per_second": 1, "burst": 1, "concurrency": 1})
        assert cluster.api("GET", "customer", token="wrong")[0] == 401
        assert cluster.api("PUT", "customer/c?expected_revision=-1", spec, token="reader-token")[0] == 403
        assert cluster.api("GET", "customer", token="reader-token")[0] == 200
        assert cluster.api("PUT", "customer/c", spec)[0] == 428
        assert cluster.api("PUT", "customer/c?expected_revision=-1", "{")[0] == 400
        for bad in ({"requests_per_second": 1}, {"requests_per_second": "1", "burst": 1, "concurrency": 1}, {**json.loads(spec), "more": 1}, {**json.loads(spec), "burst": -1}):
            code, answer = cluster.api("PUT", "customer/c?expected_revision=-1", json.dumps(bad))
            assert code == 422 and answer["detail"], answer
        assert cluster.api("PUT", "planet/c?expected_revision=-1", spec)[0] == 404
        assert cluster.api("GET", "customer/none")[0] == 404
        assert cluster.api("GET", "customer?min_revision=1000")[0] == 503
        assert cluster.api("PUT", "customer/c?expected_revision=-1", spec)[0] == 200


def send_raw(address, port, data):
    with socket.create_connection((address, port), timeout=5) as connection:
        connection.sendall(data)
        connection.settimeout(1)
        try:
            return connection.recv(4096)
        except OSError:
            return b""


def test_garbage_on_every_port_leaves_the_processes_up(build, folders):
    with start(build, folders, engines=1, ledgers=0) as cluster:
        entry, agent = cluster.entries()[0], cluster.instances["llm-0"]
        garbage = [b"\x00" * 100, b"GET / HTTP/1.1\r\nContent-Length: -5\r\n\r\n", b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                   b"GET /" + b"a" * 100000 + b" HTTP/1.1\r\n\r\n", b"\xff\xfe" * 500, b"PRI * HTTP/2.0\r\n\r\n"]
        upgrade = (b"GET /link HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                   b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n")
        for data in garbage + [upgrade + b"\x82\x05hello", upgrade + b"\x82\xff" + b"\xff" * 8]:
            for address, port in ((entry.address, HTTP_PORT), (agent.address, HTTP_PORT), (agent.address, LINK_PORT)):
                send_raw(address, port, data)
        # Connections that say nothing cost a socket and no more.
        silent = [socket.create_connection((agent.address, LINK_PORT)) for _ in range(20)]
        assert http("GET", cluster.entry_url(entry, "/healthz"))[0] == 200
        assert http("GET", f"http://{agent.address}:{HTTP_PORT}/healthz")[0] == 200
        assert entry.process.poll() is None and agent.process.poll() is None
        for connection in silent:
            connection.close()


def test_an_agent_with_another_key_gets_no_link(build, folders):
    with start(build, folders, engines=1, ledgers=0) as cluster:
        entry = cluster.entries()[0]
        key_file = cluster.write("other-keys", "another-key\n")
        stranger = cluster.add_agent("stranger", POOL, key_file=key_file)

        def refusals():
            # Whichever side reads the other's hello first ends the link and counts the refusal.
            return sum(cluster.metrics(side).get(f'mountbarrow_{role}_link_failures_total{{reason="bad_credentials"}}', 0)
                       for role, side in (("entry", entry), ("agent", stranger)))
        wait_until(lambda: refusals() >= 1, "the refusal to be counted")
        assert cluster.metrics(entry)["mountbarrow_entry_links"] == 1


def run(cluster, *words):
    entry = cluster.entries()[0]
    command = [os.path.join(cluster.build, "mountbarrow"), "--entry", f"{entry.address}:{HTTP_PORT}",
               "--token-file", os.path.join(cluster.folder, "token"), *words]
    return subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)


def test_the_command_line(build, folders):
    with start(build, folders, engines=1, ledgers=0) as cluster:
        cluster.create_model("m", "v1", 4, 65536, 7)
        path = cluster.write("resources.json", json.dumps({"resources": [
            {"kind": "customer", "name": "c", "spec": {"requests_per_second": 1, "burst": 1, "concurrency": 1}},
            {"kind": "rollout", "name": "r", "spec": {"model": "m", "version": "v1", "services": [POOL], "replicas": 1}}]}))
        assert run(cluster, "apply", "-f", path).returncode == 0
        assert run(cluster, "apply", "-f", path).returncode == 0
        watched = run(cluster, "watch", "rollout", "r", "--until-ready")
        assert watched.returncode == 0 and "ready 1/1" in watched.stdout, watched
        assert json.loads(run(cluster, "get", "rollout", "r").stdout)["status"]["ready"] == 1
        stale = cluster.write("stale.json", json.dumps({"resources": [
            {"kind": "customer", "name": "c", "expected_revision": 0, "spec": {"requests_per_second": 1, "burst": 1, "concurrency": 1}}]}))
        assert run(cluster, "apply", "-f", stale).returncode == 5
        assert run(cluster, "delete", "customer", "c").returncode == 0
        assert run(cluster, "get", "customer", "c").returncode == 7
        assert run(cluster, "status").returncode == 0
        assert run(cluster, "dance").returncode == 1
        bad = cluster.write("bad.json", '{"identity": 7}')
        checked = run(cluster, "settings", "check", "entry", bad)
        assert checked.returncode == 2 and "bad.json" in checked.stderr, checked
        started = subprocess.run([os.path.join(build, "mountbarrow-entry"), "--settings", bad], capture_output=True, text=True, timeout=60, check=False)
        assert started.returncode == 2 and "bad.json" in started.stderr, started
