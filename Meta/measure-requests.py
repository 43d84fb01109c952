#!/usr/bin/env python3
# SPDX-License-Identifier: BSD-2-Clause
"""Measures requests: the choice of instance against its baselines, faults, overload, fairness, and what entry and agent cost."""

import argparse
import os
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "Tests", "Processes"))
from cluster import BACKEND_PORT, Cluster, finish_load, http, wait_until, process_kb, process_seconds  # noqa: E402
import json  # noqa: E402

POOL = "llm-pool"
ENGINES = 8
SLOTS = 4
BACKEND = ("--tokens", "20", "--token-ms", "10", "--prefill-ms", "100", "--slots", str(SLOTS), "--cached-prefixes", "12")


def deploy(build, entries=2, backend=BACKEND, engines=ENGINES, capacity=SLOTS, **settings):
    cluster = Cluster(build)
    for i in range(entries):
        cluster.add_entry(f"entry-{i}", log_level="warn", **settings)
    for i in range(engines):
        cluster.add_agent(f"llm-{i}", POOL, domain=f"d{i % 3}", backend=backend, capacity=capacity, wait=False, log_level="warn")
    wait_until(lambda: all(cluster.metrics(e).get("mountbarrow_entry_links", 0) == engines for e in cluster.entries()), "links")
    cluster.put("service", POOL, {"kind": "engine", "queue_limit": 64})
    cluster.create_model("m", "v1", 4, 65536, 7)
    cluster.put("rollout", "r", {"model": "m", "version": "v1", "services": [POOL], "replicas": engines})
    cluster.wait_ready("r", engines)
    return cluster


def load(cluster, rate, seconds, *more, entries=None):
    return cluster.load(["--service", POOL, "--model", "m", "--rate", rate, "--seconds", seconds, "--prefixes", 48, *more], entries)


def hit_rate(cluster):
    hits = misses = 0
    for instance in cluster.instances.values():
        if instance.role == "agent" and instance.backend.poll() is None:
            counters = json.loads(http("GET", f"http://{instance.address}:{BACKEND_PORT}/counters")[2])
            hits += counters["prefix_hits"]
            misses += counters["prefix_misses"]
    return hits / max(1, hits + misses)


def row(name, report, extra=""):
    f, o = report["first_byte_ms"], report["outcomes"]
    print(f"| {name} | {f['p50']:.0f} | {f['p95']:.0f} | {f['p99']:.0f} | {o.get('answered', 0)} | {o.get('not_run', 0)} | {o.get('unknown', 0)} | {o.get('broken_off', 0)} | {report['not_whole']} | {extra} |", flush=True)


def choices(build, seconds):
    print("\n| choice, 80 requests/s | p50 ms | p95 | p99 | answered | not run | unknown | broken off | short | prefix hits |\n|---|---|---|---|---|---|---|---|---|---|")
    for choice in ("random", "least_loaded", "prefix"):
        with deploy(build, choice=choice) as cluster:
            report = finish_load(load(cluster, 80, seconds))
            row(choice, report, f"{hit_rate(cluster):.2f}")
    print("\n| fault at one of 8 engines, choice prefix, 60 requests/s | p50 ms | p95 | p99 | answered | not run | unknown | broken off | short | note |\n|---|---|---|---|---|---|---|---|---|---|")
    for name, faults in (("slow: 50 ms a token", {"token_ms": 50}), ("errors at once", {"error_share": 1.0}), ("dead", None)):
        with deploy(build) as cluster:
            victim = cluster.instances["llm-0"]
            running = load(cluster, 60, seconds)
            time.sleep(seconds / 4)
            if faults:
                cluster.backend_faults(victim, **faults)
            else:
                cluster.kill_instance(victim)
            row(name, finish_load(running))


def overload(build, seconds):
    print("\n| load | p50 ms | p95 | p99 | answered | not run | unknown | broken off | short | note |\n|---|---|---|---|---|---|---|---|---|---|")
    answered = {}
    for name, rate in (("capacity, 1.2 times offered", 130), ("2 times offered", 220)):
        with deploy(build) as cluster:
            report = finish_load(load(cluster, rate, seconds, "--deadline-ms", 4000))
            answered[name] = report["outcomes"].get("answered", 0)
            retries = sum(v for e in cluster.entries() for k, v in cluster.metrics(e).items() if "retries_total" in k)
            row(name, report, f"refusals p95 {report['refusal_ms']['p95']:.0f} ms, retries {retries:.0f}")
    first, second = answered.values()
    print(f"\ngoodput at twice the load: {second / first:.2f} of that at saturation")


def fairness(build, seconds):
    print("\n| others | p50 ms | p95 | p99 |\n|---|---|---|---|")
    for name, large in (("alone", 0), ("beside a large customer at 200 requests/s with a limit of 60/s and 16 at once", 200)):
        with deploy(build) as cluster:
            cluster.put("customer", "small", {"requests_per_second": 100, "burst": 20, "concurrency": 64})
            cluster.put("customer", "large", {"requests_per_second": 60, "burst": 10, "concurrency": 16})
            time.sleep(1)
            big = load(cluster, large, seconds, "--customer", "large") if large else None
            report = finish_load(load(cluster, 20, seconds, "--customer", "small"))
            if big:
                finish_load(big)
            f = report["first_byte_ms"]
            print(f"| {name} | {f['p50']:.0f} | {f['p95']:.0f} | {f['p99']:.0f} |", flush=True)


def costs(build, seconds):
    print("\n| what | figure |\n|---|---|")
    fast = ("--tokens", "50", "--token-ms", "2", "--prefill-ms", "1", "--slots", "400")
    with deploy(build, entries=1, engines=1, backend=fast, capacity=400) as cluster:
        entry, agent = cluster.entries()[0], cluster.instances["llm-0"]
        idle = process_seconds(entry.process), process_seconds(agent.process)
        time.sleep(5)
        print(f"| idle entry with 1 link | {(process_seconds(entry.process) - idle[0]) / 5 * 100:.2f}% of a core, {process_kb(entry.process) / 1024:.1f} MB |")
        print(f"| idle agent | {(process_seconds(agent.process) - idle[1]) / 5 * 100:.2f}% of a core, {process_kb(agent.process) / 1024:.1f} MB |")
        samples = []
        for rate in (50, 200):
            before = process_seconds(entry.process), process_seconds(agent.process)
            report = finish_load(load(cluster, rate, seconds))
            after = process_seconds(entry.process), process_seconds(agent.process)
            samples.append((report["outcomes"]["answered"], after[0] - before[0], after[1] - before[1]))
        requests = samples[1][0] - samples[0][0]
        for i, role in ((1, "entry"), (2, "agent")):
            per_request = (samples[1][i] - samples[0][i]) / requests * 1e6
            print(f"| {role} time per request of 50 tokens | {per_request:.0f} us, {per_request / 50:.1f} us a token |")
    slow = ("--tokens", "400", "--token-ms", "20", "--prefill-ms", "1", "--slots", "2000")
    with deploy(build, entries=1, engines=1, backend=slow, capacity=2000) as cluster:
        entry, agent = cluster.entries()[0], cluster.instances["llm-0"]
        before = process_kb(entry.process), process_kb(agent.process)
        running = load(cluster, 200, 5, "--deadline-ms", 30000)
        time.sleep(6.5)
        in_flight = cluster.metrics(entry)["mountbarrow_entry_in_flight"]
        after = process_kb(entry.process), process_kb(agent.process)
        for i, role in enumerate(("entry", "agent")):
            print(f"| {role} memory per request in flight ({in_flight:.0f} of them) | {(after[i] - before[i]) / max(1, in_flight):.1f} KB |")
        finish_load(running)
    plain = ("--tokens", "20", "--token-ms", "10", "--prefill-ms", "20", "--slots", "64")
    with deploy(build, entries=1, engines=1, backend=plain, capacity=64) as cluster:
        report = finish_load(load(cluster, 20, seconds))
        agent = cluster.instances["llm-0"]
        direct = []
        for i in range(100):
            body = json.dumps({"model": "m", "messages": [{"role": "user", "content": f"d{i % 8}" + "p" * 400}]})
            begun = time.monotonic()
            http("POST", f"http://{agent.address}:{BACKEND_PORT}/v1/chat/completions", body)
            direct.append((time.monotonic() - begun) * 1000)
        direct.sort()
        print(f"| whole answer through entry and agent, p50 / p95 | {report['total_ms']['p50']:.0f} / {report['total_ms']['p95']:.0f} ms |")
        print(f"| whole answer from the engine itself, p50 / p95 | {direct[50]:.0f} / {direct[95]:.0f} ms |")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--parts", default="choices,overload,fairness,costs")
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--build", default=os.path.join(ROOT, "Build", "Release"))
    options = parser.parse_args()
    for part in options.parts.split(","):
        {"choices": choices, "overload": overload, "fairness": fairness, "costs": costs}[part](os.path.abspath(options.build), options.seconds)


if __name__ == "__main__":
    main()
