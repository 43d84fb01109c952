#!/usr/bin/env python3
# SPDX-License-Identifier: BSD-2-Clause
"""Measures rollouts with real agents on rate-limited loopback links, side by side.

For each number of agents and each scenario it prints the time until a quarter, half and all of the replicas
serve, as a ratio to the bound, and the bytes read from the origin in copies. The bound for all N is W/2: in the
window W a machine's link carries two copies and the origin's link four.
"""

import argparse
import json
import os
import random
import signal
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "Tests", "Processes"))
from cluster import Cluster, http, wait_until, process_kb, process_seconds  # noqa: E402

POOL = "llm-pool"

SCENARIOS = {
    "origin_only": {"strategy": "origin_only"},
    "chain": {"strategy": "chain"},
    "time": {"prefer": "time"},
    "origin_bytes": {"prefer": "origin_bytes"},
    "faults": {"prefer": "time", "faults": True},
    "version_change": {"prefer": "time", "change": True},
}


def measure(build, count, scenario, options):
    settings = SCENARIOS[scenario]
    copy = options.chunks * options.chunk_bytes
    link = int(2 * copy / options.window)
    bound = options.window / 2
    agent_settings = {"upload_bytes_per_second": link, "download_bytes_per_second": link,
                      "strategy": settings.get("strategy", "swarm"), "log_level": "warn",
                      "lease_ms": 3000, "neighbours": options.neighbours,
                      "fetches_in_flight": options.fetches, "origin_patience_ms": options.patience,
                      "stall_ms": options.stall, "seeders": options.seeders,
                      "uploads_at_once": options.uploads, "uploads_waiting": options.waiting}
    with Cluster(build, origin_bytes_per_second=2 * link) as cluster:
        entry = cluster.add_entry("entry-0", log_level="warn")
        agents = [cluster.add_agent(f"llm-{i:03}", POOL, domain=f"d{i % 8}", region=f"r{i % 3}", wait=False,
                                    backend=("--load-ms", "0"), **agent_settings) for i in range(count)]

        def linked():
            code, _, body = http("GET", cluster.entry_url(entry, "/api/v1/status"))
            return code == 200 and json.loads(body)["links"] >= count
        wait_until(linked, "links", 120)
        cluster.put("service", POOL, {"kind": "engine"})
        shared = options.chunks * 4 // 5 if settings.get("change") else 0
        cluster.create_model("m", "v1", options.chunks, options.chunk_bytes, 7, shared)
        if settings.get("change"):
            cluster.create_model("m", "v2", options.chunks, options.chunk_bytes, 8, shared)
        spec = {"model": "m", "version": "v1", "services": [POOL], "replicas": count,
                "prefer": settings.get("prefer", "time")}
        if settings.get("faults"):
            cluster.faults(corrupt_share=0.01)
        before = sum(sum(v for k, v in cluster.metrics(a).items() if "link_bytes" in k) for a in agents[:8])
        cpu_before = sum(process_seconds(a.process) for a in agents)
        started = time.monotonic()
        revision = cluster.put("rollout", "r", spec)
        dead = set()
        if settings.get("change"):
            time.sleep(bound * 0.5)
            cluster.put("rollout", "r", {**spec, "version": "v2"}, revision)
        if settings.get("faults"):
            time.sleep(bound * 0.4)
            chosen = random.Random(count).sample(agents, max(2, count // 5))
            for agent in chosen[:len(chosen) // 2]:
                cluster.kill_instance(agent)
                cluster.unlist(agent)
                dead.add(agent.identity)
            stalled = chosen[len(chosen) // 2:]
            # A stalled link: the process keeps its sockets open and moves nothing for a third of the bound.
            for agent in stalled:
                agent.process.send_signal(signal.SIGSTOP)
            time.sleep(bound / 3)
            for agent in stalled:
                agent.process.send_signal(signal.SIGCONT)
        alive = count - len(dead)
        times = {}
        marks = {"quarter": (alive + 3) // 4, "half": (alive + 1) // 2, "all": alive}
        while "all" not in times and time.monotonic() - started < bound * options.give_up:
            status = cluster.rollout_status("r")
            now = time.monotonic() - started
            for mark, wanted in marks.items():
                if mark not in times and status.get("ready", 0) >= wanted:
                    times[mark] = now
            time.sleep(0.02)
        status = cluster.rollout_status("r")
        # The entry's own clock is finer than this loop where nobody died.
        if not settings.get("faults") and not settings.get("change"):
            for mark in marks:
                if f"time_to_{mark}_ms" in status:
                    times[mark] = status[f"time_to_{mark}_ms"] / 1000
        live = [a for a in agents if a.identity not in dead]
        after = sum(sum(v for k, v in cluster.metrics(a).items() if "link_bytes" in k) for a in agents[:8] if a in live)
        metrics = [cluster.metrics(a) for a in live]
        elapsed = time.monotonic() - started
        cpu = sum(process_seconds(a.process) for a in live) - cpu_before
        return {
            "agents": count, "scenario": scenario,
            "quarter": times.get("quarter", float("nan")) / bound,
            "half": times.get("half", float("nan")) / bound,
            "all": times.get("all", float("nan")) / bound,
            "origin_copies": cluster.origin_bytes() / copy,
            "fetched_copies": sum(v for m in metrics for k, v in m.items() if "weights_bytes" in k) / copy / max(1, alive),
            "again": sum(m.get("mountbarrow_agent_chunks_fetched_again_total", 0) for m in metrics),
            "control_bytes_per_second": (after - before) / 8 / elapsed,
            "memory_mb": max(process_kb(a.process, "VmHWM") / 1024 for a in live),
            "cpu_share": cpu / max(1, alive) / elapsed,
            "ready": status.get("ready", 0), "alive": alive,
        }


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--agents", default="12,24,48,96")
    parser.add_argument("--scenarios", default="origin_only,chain,time,origin_bytes,faults")
    parser.add_argument("--chunks", type=int, default=64)
    parser.add_argument("--chunk-bytes", type=int, default=262144)
    parser.add_argument("--window", type=float, default=20, help="W in seconds")
    parser.add_argument("--neighbours", type=int, default=16)
    parser.add_argument("--fetches", type=int, default=4)
    parser.add_argument("--seeders", type=int, default=4)
    parser.add_argument("--uploads", type=int, default=1)
    parser.add_argument("--waiting", type=int, default=1)
    parser.add_argument("--patience", type=int, default=2000)
    parser.add_argument("--stall", type=int, default=2000)
    parser.add_argument("--give-up", type=float, default=6, help="Give up after this many times the bound")
    parser.add_argument("--build", default=os.path.join(ROOT, "Build", "Release"))
    options = parser.parse_args()
    print("| agents | scenario | N/4 | N/2 | all N | origin copies | bytes fetched per agent, copies | chunks fetched again | control bytes/s per agent | peak MB | CPU share |")
    print("|---|---|---|---|---|---|---|---|---|---|---|")
    for count in [int(c) for c in options.agents.split(",")]:
        for scenario in options.scenarios.split(","):
            r = measure(os.path.abspath(options.build), count, scenario, options)
            note = "" if r["ready"] >= r["alive"] else f" ({r['ready']} of {r['alive']})"
            print(f"| {count} | {scenario} | {r['quarter']:.2f} | {r['half']:.2f} | {r['all']:.2f}{note} | {r['origin_copies']:.2f} "
                  f"| {r['fetched_copies']:.2f} | {r['again']:.0f} | {r['control_bytes_per_second']:.0f} | {r['memory_mb']:.0f} | {r['cpu_share']:.3f} |", flush=True)


if __name__ == "__main__":
    main()
