#!/usr/bin/env python3
# SPDX-License-Identifier: BSD-2-Clause
"""Prints the slopes that docs/CAPACITY.md rests on: cost per link, per resource, per chunk, and how fast a change is in force."""

import argparse
import json
import os
import sys
import time
from concurrent.futures import ThreadPoolExecutor

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "Tests", "Processes"))
from cluster import Cluster, http, wait_until, process_kb, process_seconds  # noqa: E402

POOL = "llm-pool"


def link_bytes(cluster, instance):
    return sum(v for k, v in cluster.metrics(instance).items() if "link_bytes" in k)


def deploy(build, entries, agents):
    cluster = Cluster(build)
    for i in range(entries):
        cluster.add_entry(f"entry-{i}", log_level="warn", links_per_service=1000)
    for i in range(agents):
        cluster.add_agent(f"llm-{i:03}", POOL, domain=f"d{i % 8}", wait=False, log_level="warn")
    wait_until(lambda: all(cluster.metrics(e).get("mountbarrow_entry_links", 0) == agents for e in cluster.entries()), "links", 120)
    cluster.put("service", POOL, {"kind": "engine"})
    return cluster


def idle(cluster, instance, seconds):
    before = process_seconds(instance.process), link_bytes(cluster, instance)
    time.sleep(seconds)
    after = process_seconds(instance.process), link_bytes(cluster, instance)
    return (after[0] - before[0]) / seconds, (after[1] - before[1]) / seconds, process_kb(instance.process)


def links(build, seconds):
    print("| role | links | CPU share | link bytes/s | resident KB |\n|---|---|---|---|---|")
    for entries, agents in ((1, 8), (1, 64), (3, 8)):
        with deploy(build, entries, agents) as cluster:
            time.sleep(2)
            if entries == 1:
                cpu, rate, memory = idle(cluster, cluster.entries()[0], seconds)
                print(f"| entry | {agents} | {cpu:.4f} | {rate:.0f} | {memory} |", flush=True)
            if agents == 8:
                cpu, rate, memory = idle(cluster, cluster.instances["llm-000"], seconds)
                print(f"| agent | {entries} | {cpu:.4f} | {rate:.0f} | {memory} |", flush=True)


def resources(build, seconds):
    print("\n| state | entry KB | agent KB |\n|---|---|---|")
    with deploy(build, 1, 1) as cluster:
        entry, agent = cluster.entries()[0], cluster.instances["llm-000"]

        def show(what):
            wait_until(lambda: cluster.report(agent).get("offset") == json.loads(http("GET", cluster.entry_url(entry, "/api/v1/status"))[2])["offset"], "the agent to follow")
            print(f"| {what} | {process_kb(entry.process)} | {process_kb(agent.process)} |", flush=True)
        show("1 resource")
        spec = {"requests_per_second": 1, "burst": 1, "concurrency": 1}
        with ThreadPoolExecutor(16) as pool:
            list(pool.map(lambda i: cluster.put("customer", f"customer-{i}", spec), range(500)))
        show("500 more customers")
        status, _, body = http("POST", cluster.platform_url("/models"), json.dumps({"model": "m", "version": "v1", "chunk_count": 5000, "chunk_bytes": 64, "seed": 1, "shared_chunks": 0}))
        assert status == 200
        cluster.put("version", "m@v1", json.loads(body))
        show("a version of 5000 chunks more")


def in_force(build, changes):
    print("\n| agents | accepted to in force at the last agent, p50 ms | max ms |\n|---|---|---|")
    for agents in (12, 96):
        with deploy(build, 2, agents) as cluster:
            everybody = [i for i in cluster.instances.values() if i.role == "agent"]
            times = []
            with ThreadPoolExecutor(8) as pool:
                for i in range(changes):
                    revision = cluster.put("customer", f"c{i}", {"requests_per_second": 1, "burst": 1, "concurrency": 1})
                    accepted = time.monotonic()
                    behind = everybody
                    while behind:
                        offsets = list(pool.map(lambda a: cluster.report(a).get("offset", -1), behind))
                        behind = [a for a, offset in zip(behind, offsets) if offset < revision]
                    times.append((time.monotonic() - accepted) * 1000)
            times.sort()
            print(f"| {agents} | {times[len(times) // 2]:.0f} | {times[-1]:.0f} |", flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--changes", type=int, default=15)
    parser.add_argument("--build", default=os.path.join(ROOT, "Build", "Release"))
    options = parser.parse_args()
    build = os.path.abspath(options.build)
    links(build, options.seconds)
    resources(build, options.seconds)
    in_force(build, options.changes)


if __name__ == "__main__":
    main()
