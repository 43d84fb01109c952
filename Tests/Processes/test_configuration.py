# SPDX-License-Identifier: BSD-2-Clause
"""Desired state under racing operators, lost answers, outages, lapsed records and replacement."""

import json
import threading

from cluster import Cluster, http, wait_until
from test_whole_path import POOL, roll_out, start, wait_links

CUSTOMER = {"requests_per_second": 1000, "burst": 1000, "concurrency": 100}


def status_of(cluster, entry):
    code, _, body = http("GET", cluster.entry_url(entry, "/api/v1/status"))
    return json.loads(body) if code == 200 else {}


def test_of_racing_operators_exactly_one_wins_each_revision(build, folders):
    with start(build, folders, engines=1, ledgers=0, entries=2) as cluster:
        entries = cluster.entries()
        revision = -1
        for round_number in range(4):
            answers = []

            def race(number, expected=revision):
                spec = {**CUSTOMER, "concurrency": number + 1}
                answers.append(cluster.api("PUT", f"customer/c?expected_revision={expected}", json.dumps(spec), entries[number % 2]))
            racers = [threading.Thread(target=race, args=(n,)) for n in range(6)]
            for racer in racers:
                racer.start()
            for racer in racers:
                racer.join()
            won = [a for code, a in answers if code == 200]
            lost = [(code, a) for code, a in answers if code != 200]
            assert len(won) == 1, answers
            revision = won[0]["revision"]
            for code, answer in lost:
                assert code == 409 and answer["type"].endswith("revision_conflict"), answer
                assert answer["revision"] == revision, answer
        agent = cluster.instances["llm-0"]
        wait_until(lambda: cluster.report(agent).get("offset", -1) >= revision, "the agent to follow")
        chains = {status_of(cluster, e)["chain"] for e in entries}
        assert len(chains) == 1


def test_a_change_whose_answer_was_lost_is_applied_once_and_told(build, folders):
    with start(build, folders, engines=0, ledgers=0) as cluster:
        cluster.faults(lose_append_answers=1)
        code, answer = cluster.api("PUT", "customer/c?expected_revision=-1", json.dumps(CUSTOMER))
        assert code == 200, answer
        # The append that would repeat it folds to nothing.
        again, second = cluster.api("PUT", f"customer/c?expected_revision=-1&change_id={answer['change_id']}", json.dumps(CUSTOMER))
        assert again == 200 and second["revision"] == answer["revision"], second


def test_in_an_outage_requests_are_served_and_changes_answered_as_undecided(build, folders):
    with start(build, folders, engines=2, ledgers=0) as cluster:
        roll_out(cluster, replicas=2)
        cluster.wait_ready("r", 2)
        entry = cluster.entries()[0]
        cluster.faults(log_out=True)
        code, problem = cluster.api("PUT", "customer/c?expected_revision=-1&change_id=asked", json.dumps(CUSTOMER))
        assert code == 504 and problem["outcome"] == "unknown" and problem["change_id"] == "asked", problem
        for _ in range(5):
            assert cluster.chat(entry, POOL, "m")[0] == 200
        cluster.faults()
        code, answer = cluster.api("PUT", "customer/c?expected_revision=-1&change_id=asked", json.dumps(CUSTOMER))
        assert code == 200, answer
        code, outcome = cluster.api("GET", "changes/asked")
        assert code == 200 and outcome["revision"] == answer["revision"], outcome


def test_a_reader_that_starts_with_nothing_after_records_lapsed_ends_with_the_same_state(build, folders):
    with Cluster(build) as cluster:
        folders.append(cluster.folder)
        first = cluster.add_entry("entry-0", retention_ms=2000)
        for i in range(5):
            cluster.put("customer", f"c{i}", CUSTOMER)
        wait_until(lambda: cluster.metrics(first).get("mountbarrow_entry_snapshots_total", 0) >= 1, "a snapshot")
        end = status_of(cluster, first)["offset"]
        wait_until(lambda: status_of(cluster, first)["offset"] > end, "another record")
        cluster.faults(drop_before=5)
        second = cluster.add_entry("entry-1", retention_ms=60000)

        def is_same():
            one, two = status_of(cluster, first), status_of(cluster, second)
            return one["offset"] == two["offset"] and one["chain"] == two["chain"]
        wait_until(is_same, "both to be at one state")
        code, answer = cluster.api("GET", "customer", entry=second)
        assert code == 200 and len(answer["items"]) == 5, answer
        assert cluster.metrics(second)["mountbarrow_entry_configuration_divergences"] == 0


def test_every_instance_is_replaced_during_an_outage_and_nothing_reverts(build, folders):
    with start(build, folders, engines=2, ledgers=0, entries=2) as cluster:
        revision = cluster.put("customer", "c", CUSTOMER)
        agents = [i for i in cluster.instances.values() if i.role == "agent"]
        wait_until(lambda: all(cluster.report(a).get("offset", -1) >= revision for a in agents), "the agents to follow")
        before = status_of(cluster, cluster.entries()[0])
        cluster.faults(log_out=True)
        for instance in list(cluster.instances.values()):
            cluster.kill(instance.process)
            cluster.start_daemon(instance)
            if instance.role == "entry":
                wait_until(lambda: status_of(cluster, instance).get("offset", -1) >= before["offset"], f"{instance.identity} to catch up from its peers")
            else:
                wait_until(lambda: cluster.report(instance).get("offset", -1) >= before["offset"], f"{instance.identity} to catch up from its peers")
        for entry in cluster.entries():
            wait_links(cluster, entry, 2)
            assert status_of(cluster, entry)["chain"] == before["chain"]
        cluster.faults()
        assert cluster.put("customer", "c", CUSTOMER, revision) > revision


def test_no_agent_ever_goes_to_a_lower_revision(build, folders):
    with start(build, folders, engines=3, ledgers=0, entries=2) as cluster:
        agents = [i for i in cluster.instances.values() if i.role == "agent"]
        seen = {a.identity: -1 for a in agents}
        for i in range(15):
            revision = cluster.put("customer", f"c{i}", CUSTOMER, entry=cluster.entries()[i % 2])
            if i == 5:
                entry = cluster.entries()[1]
                cluster.kill(entry.process)
                cluster.start_daemon(entry)
                wait_links(cluster, entry, 3)
            for agent in agents:
                offset = cluster.report(agent)["offset"]
                assert offset >= seen[agent.identity]
                seen[agent.identity] = offset
        wait_until(lambda: all(cluster.report(a)["offset"] >= revision for a in agents), "all agents to follow")
