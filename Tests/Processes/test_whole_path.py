# SPDX-License-Identifier: BSD-2-Clause
"""A deployment end to end: resource applied, weights moved, requests answered."""

import json

from cluster import Cluster, http, wait_until

POOL = "llm-pool"
LEDGER = "ledger-api"


def start(build, folders, engines=3, ledgers=1, entries=1, backend=(), **settings):
    """A small deployment whose links are all up and whose services exist."""
    cluster = Cluster(build)
    folders.append(cluster.folder)
    for i in range(entries):
        cluster.add_entry(f"entry-{i}")
    for i in range(engines):
        cluster.add_agent(f"llm-{i}", POOL, domain=f"d{i % 3}", backend=backend, **settings)
    for i in range(ledgers):
        cluster.add_agent(f"ledger-{i}", LEDGER, kind="plain", domain=f"d{i % 3}", **settings)
    cluster.put("service", POOL, {"kind": "engine"})
    cluster.put("service", LEDGER, {"kind": "plain"})
    for entry in cluster.entries():
        wait_links(cluster, entry, engines + ledgers)
    return cluster


def wait_links(cluster, entry, count):
    def linked():
        status, _, body = http("GET", cluster.entry_url(entry, "/api/v1/status"))
        return status == 200 and json.loads(body)["links"] == count
    wait_until(linked, f"{count} links of {entry.identity}")


def roll_out(cluster, version="v1", replicas=3, seed=7, expected=-1, chunks=16, shared=0, **spec):
    cluster.create_model("m", version, chunks, 65536, seed, shared)
    values = {"model": "m", "version": version, "services": [POOL], "replicas": replicas, **spec}
    return cluster.put("rollout", "r", values, expected)


def tokens(body):
    return [json.loads(line[6:]) for line in body.decode().split("\n\n") if line.startswith("data: {")]


def test_a_rollout_becomes_ready_and_requests_are_answered(build, folders):
    with start(build, folders) as cluster:
        roll_out(cluster)
        status = cluster.wait_ready("r", 3)
        assert status["chunks_held"] == 48, status
        entry = cluster.entries()[0]
        code, headers, body = cluster.chat(entry, POOL, "m")
        assert code == 200 and headers["Content-Type"] == "text/event-stream"
        assert [t["index"] for t in tokens(body)] == list(range(20))
        assert body.endswith(b"data: [DONE]\n\n")
        code, _, body = cluster.call(entry, LEDGER, headers={"X-Call-Id": "one"})
        assert code == 200 and json.loads(body) == {"call": "one", "run": 1}
