# SPDX-License-Identifier: BSD-2-Clause
"""Weights under kills, freezes, corruption and changed versions."""

import collections
import json
import signal
import threading
import time

from cluster import BACKEND_PORT, http, wait_until
from test_whole_path import POOL, roll_out, start


def engine_status(instance):
    code, _, body = http("GET", f"http://{instance.address}:{BACKEND_PORT}/engine/status", timeout=2)
    return json.loads(body) if code == 200 else {}


def serving_digest(instance):
    return (engine_status(instance).get("serving") or {}).get("digest")


def test_an_agent_killed_at_any_step_of_a_load_starts_over_and_becomes_ready(build, folders):
    with start(build, folders, engines=2, ledgers=0, backend=("--load-ms", "400"),
               upload_bytes_per_second=400000, download_bytes_per_second=400000) as cluster:
        roll_out(cluster, replicas=2)
        victim = cluster.instances["llm-0"]
        progress = lambda: cluster.report(victim).get("progress") or {}
        steps = [lambda: progress().get("chunks_held", 0) >= 3,
                 lambda: progress().get("chunks_held", 0) >= 12,
                 lambda: engine_status(victim).get("loading"),
                 lambda: progress().get("state") == "ready"]
        for number, step in enumerate(steps):
            wait_until(step, f"step {number}")
            cluster.kill(victim.process)
            cluster.start_daemon(victim)
        cluster.wait_ready("r", 2)
        spec = json.loads(json.dumps(cluster.api("GET", "version/m@v1")[1]["spec"]))
        assert serving_digest(victim) == spec["digest"]


def test_an_agent_frozen_in_a_load_and_a_restarted_engine_end_up_right(build, folders):
    with start(build, folders, engines=2, ledgers=0, backend=("--load-ms", "300")) as cluster:
        roll_out(cluster, replicas=2)
        victim = cluster.instances["llm-0"]
        wait_until(lambda: engine_status(victim).get("loading"), "the load")
        victim.process.send_signal(signal.SIGSTOP)
        time.sleep(1.5)
        victim.process.send_signal(signal.SIGCONT)
        cluster.wait_ready("r", 2)
        cluster.kill(victim.backend)
        cluster.start_backend(victim)
        wait_until(lambda: serving_digest(victim), "the engine to be loaded again")
        cluster.wait_ready("r", 2)


def test_a_late_order_of_an_older_fence_is_refused(build, folders):
    with start(build, folders, engines=1, ledgers=0) as cluster:
        roll_out(cluster, replicas=1)
        cluster.wait_ready("r", 1)
        engine = cluster.instances["llm-0"]
        before = engine_status(engine)
        order = {"fence": before["fence"] - 1, "model": "m", "version": "v0", "digest": "0", "chunks": [],
                 "source_address": engine.address, "source_port": 1}
        code, _, _ = http("POST", f"http://{engine.address}:{BACKEND_PORT}/engine/load", json.dumps(order))
        assert code == 409
        assert engine_status(engine)["serving"] == before["serving"]


def test_corrupt_chunks_never_reach_an_engine(build, folders):
    with start(build, folders, engines=3, ledgers=0) as cluster:
        cluster.faults(corrupt_share=0.3)
        roll_out(cluster)
        cluster.wait_ready("r", 3)
        counts = [cluster.metrics(i).get('mountbarrow_agent_fetch_failures_total{reason="corrupt"}', 0)
                  for i in cluster.instances.values() if i.role == "agent"]
        assert sum(counts) > 0
        digest = cluster.api("GET", "version/m@v1")[1]["spec"]["digest"]
        assert {serving_digest(i) for i in cluster.instances.values() if i.role == "agent"} == {digest}


def test_a_version_change_keeps_the_floor_serving_and_fetches_only_what_is_new(build, folders):
    with start(build, folders, engines=4, ledgers=0, backend=("--load-ms", "500")) as cluster:
        revision = roll_out(cluster, replicas=4, chunks=20, shared=16)
        cluster.wait_ready("r", 4)
        digests = set()
        failures = []
        is_over = threading.Event()

        def ask():
            while not is_over.is_set():
                code, headers, body = cluster.chat(cluster.entries()[0], POOL, "m")
                if code != 200 or not body.endswith(b"[DONE]\n\n"):
                    failures.append((code, body))
                digests.add(headers.get("X-Weights-Digest"))
        callers = [threading.Thread(target=ask) for _ in range(3)]
        for caller in callers:
            caller.start()
        before = weight_counts(cluster)
        second = roll_out(cluster, "v2", 4, seed=9, expected=revision, chunks=20, shared=16)
        cluster.wait_ready("r", 4, revision=second)
        is_over.set()
        for caller in callers:
            caller.join()
        assert not failures, failures[:3]
        wanted = {cluster.api("GET", f"version/m@{v}")[1]["spec"]["digest"] for v in ("v1", "v2")}
        assert digests <= wanted, digests
        # Four of twenty chunks are new, to each of four instances.
        spent = weight_counts(cluster)
        spent.subtract(before)
        assert spent["kept"] == 4 * 4 * 65536, spent
        # What was read beyond that belongs to slow reads that were doubled: at most one of an instance's four.
        assert spent["read"] == spent["kept"] + spent["doubled"], spent
        assert spent["doubled"] <= spent["duplicates"] * 65536 and spent["duplicates"] <= 4, spent


def weight_counts(cluster):
    """What all agents counted of weights: bytes read, kept, and read in vain beside another read; reads doubled."""
    names = {"read": "mountbarrow_agent_weights_bytes_total", "kept": "mountbarrow_agent_weights_bytes_kept_total",
             "doubled": 'mountbarrow_agent_weights_bytes_discarded_total{reason="held_already"}', "duplicates": "mountbarrow_agent_duplicate_reads_total"}
    counts = collections.Counter({name: 0 for name in names})
    for instance in cluster.instances.values():
        if instance.role != "agent":
            continue
        for metric, value in cluster.metrics(instance).items():
            for name, start in names.items():
                counts[name] += value if metric.startswith(start) else 0
    return counts


def test_a_load_that_fails_is_reported_and_tried_again(build, folders):
    with start(build, folders, engines=1, ledgers=0) as cluster:
        cluster.backend_faults(cluster.instances["llm-0"], fail_loads=2)
        roll_out(cluster, replicas=1)
        wait_until(lambda: cluster.rollout_status("r").get("failure") == "load_failed", "the failure to be told")
        cluster.wait_ready("r", 1)


def test_a_rollout_that_names_no_version_fails_with_its_reason_until_there_is_one(build, folders):
    with start(build, folders, engines=1, ledgers=0) as cluster:
        cluster.put("rollout", "r", {"model": "m", "version": "v1", "services": [POOL], "replicas": 1})
        wait_until(lambda: cluster.rollout_status("r").get("failure") == "no_such_version", "the failure to be told")
        cluster.create_model("m", "v1", 4, 65536, 7)
        cluster.wait_ready("r", 1)
