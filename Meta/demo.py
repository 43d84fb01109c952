#!/usr/bin/env python3
# SPDX-License-Identifier: BSD-2-Clause
"""A burst rollout to a dozen instances with requests flowing and a kill in the middle, and a summary of what was measured."""

import os
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "Tests", "Processes"))
from cluster import Cluster, finish_load, http, wait_until  # noqa: E402

POOL = "llm-pool"
LEDGER = "ledger-api"
PLACES = [("riga-a", "riga"), ("vilnius-a", "vilnius"), ("tallinn-a", "tallinn")]
ENGINES = 13
REPLICAS = 12
CHUNKS = 128
CHUNK_BYTES = 131072
WINDOW_SECONDS = 12
SECONDS = 20


def total(cluster, name):
    """A counter summed over its labels and over all entries."""
    return int(sum(v for e in cluster.entries() for k, v in cluster.metrics(e).items() if k.split("{")[0] == name))


def say(started, text):
    print(f"{time.monotonic() - started:6.1f} s  {text}", flush=True)


def main():
    started = time.monotonic()
    copy = CHUNKS * CHUNK_BYTES
    link = int(2 * copy / WINDOW_SECONDS)
    with Cluster(os.path.join(ROOT, "Build", "Release"), origin_bytes_per_second=2 * link) as cluster:
        for i in range(2):
            cluster.add_entry(f"entry-{i}", *PLACES[i])
        engines = [cluster.add_agent(f"llm-{i:02}", POOL, domain=PLACES[i % 3][0], region=PLACES[i % 3][1], wait=False,
                                     upload_bytes_per_second=link, download_bytes_per_second=link) for i in range(ENGINES)]
        ledgers = [cluster.add_agent(f"ledger-{i}", LEDGER, kind="plain", domain=PLACES[i][0], region=PLACES[i][1]) for i in range(3)]
        wait_until(lambda: all(cluster.metrics(e).get("mountbarrow_entry_links", 0) == ENGINES + 3 for e in cluster.entries()), "links")
        say(started, f"2 entries, {ENGINES} engines and 3 ledger instances in {', '.join(p for p, _ in PLACES)}")
        cluster.put("service", POOL, {"kind": "engine"})
        cluster.put("service", LEDGER, {"kind": "plain"})
        cluster.create_model("member-replies", "v1", CHUNKS, CHUNK_BYTES, 7)
        # A ledger agent that has just started refuses keys from before; the demo waits that out.
        time.sleep(9)
        cluster.put("rollout", "replies", {"model": "member-replies", "version": "v1", "services": [POOL], "replicas": REPLICAS, "prefer": "time"})
        say(started, f"applied: {REPLICAS} replicas of member-replies v1, {copy / 1e6:.1f} MB each")
        wait_until(lambda: cluster.rollout_status("replies").get("chunks_held", 0) > REPLICAS * CHUNKS // 3, "a third of the transfer")
        # One of the instances that receive the weights.
        victim = next(e for e in engines if cluster.report(e).get("progress"))
        cluster.kill_instance(victim)
        cluster.unlist(victim)
        say(started, f"killed {victim.identity} in the middle of its transfer")
        chats = cluster.load(["--service", POOL, "--model", "member-replies", "--rate", 40, "--seconds", SECONDS])
        calls = cluster.load(["--service", LEDGER, "--rate", 40, "--seconds", SECONDS, "--resend-share", 0.2])
        status = cluster.wait_ready("replies", REPLICAS, 120)
        say(started, f"all {REPLICAS} replicas serve")
        time.sleep(2)
        second = next(e for e in engines if e is not victim and cluster.report(e).get("progress"))
        cluster.kill_instance(second)
        cluster.unlist(second)
        cluster.kill(ledgers[0].process)
        time.sleep(1)
        cluster.start_daemon(ledgers[0])
        say(started, f"killed {second.identity}, and the agent of {ledgers[0].identity}, under load; that agent is back")
        chat_report, call_report = finish_load(chats), finish_load(calls)
        runs = {}
        for ledger in ledgers:
            for call, count in cluster.runs(ledger).items():
                runs[call] = runs.get(call, 0) + count
        doubled = sum(1 for count in runs.values() if count > 1)
        ran_though_refused = sum(1 for call, outcome in call_report["calls"].items() if outcome == "not_run" and runs.get(call))
        reports = (chat_report, call_report)

        def outcome(name):
            return sum(r["outcomes"].get(name, 0) for r in reports)
        print()
        print(f"time to {REPLICAS} replicas     {status['time_to_all_ms'] / 1000:.1f} s (bound {WINDOW_SECONDS / 2:.1f} s; half of them {status['time_to_half_ms'] / 1000:.1f} s), a kill in the middle")
        print(f"origin bytes          {cluster.origin_bytes() / copy:.2f} copies")
        print(f"requests answered     {outcome('answered')} of {sum(r['sent'] for r in reports)}")
        print(f"refused, not run      {outcome('not_run')} {({k: v for r in reports for k, v in r['reasons'].items() if k.startswith('not_run')})}")
        print(f"outcome unknown       {outcome('unknown')} {({k: v for r in reports for k, v in r['reasons'].items() if k.startswith('unknown')})}")
        print(f"broken off visibly    {outcome('broken_off')}")
        print(f"retried               {total(cluster, 'mountbarrow_entry_retries_total')}")
        print(f"doubled               {doubled}")
        print(f"run though refused    {ran_though_refused}")
        print(f"lost (unanswered)     {sum(r['unanswered'] for r in reports)}, short but looking whole {sum(r['not_whole'] for r in reports)}")
        print(f"first byte of a chat  p50 {chat_report['first_byte_ms']['p50']:.0f} ms, p95 {chat_report['first_byte_ms']['p95']:.0f} ms, p99 {chat_report['first_byte_ms']['p99']:.0f} ms")
        return 1 if doubled or ran_though_refused else 0


if __name__ == "__main__":
    sys.exit(main())
