# SPDX-License-Identifier: BSD-2-Clause
"""The whole path on the users' protocol, as real processes against the stand-ins."""

import re
import threading
import time

from fleet import CHUNK_PORT, CHUNKS, CONTACT_MS, KEY, CUSTOMER, LLM, Fleet, Origin, wait_until
from stand_ins import Engine  # noqa: F401


def assert_whole_stream(answer, events=6):
    assert answer.status == 200 and answer.is_whole, (answer.status, answer.body)
    assert answer.event_ids() == list(range(1, events + 1)), answer.body


def wait_linked(fleet):
    """Streams get through at every entry: it knows engines, and their versions."""
    for entry in fleet.entries:
        wait_until(lambda entry=entry: fleet.call(entry, "POST", "/stream/warm").status == 200, f"a stream through {entry}")


def test_requests_of_each_kind_are_served(build, folders):
    with Fleet(build, folders) as fleet:
        wait_linked(fleet)
        entry = fleet.entries[0]
        assert_whole_stream(fleet.call(entry, "POST", "/stream/a", body=b"prompt", request_id="s1"))
        answer = fleet.call(entry, "POST", "/once/a?b=c", body=b"x", request_id="u1", headers={"X-Tenant": "forged"})
        assert (answer.status, answer.body) == (200, b"answer to /once/a?b=c")
        assert answer.headers["x-response-seal"].startswith("seal.")
        assert [run[1] for server in fleet.plains for run in server.runs if run[0] == "u1"] == [CUSTOMER]
        assert fleet.call(entry, "GET", "/safe/a").status == 200
        assert fleet.call(entry, "GET", "/public/a", key=None).status == 200
        assert fleet.call(entry, "GET", "/safe/a", key="unknown").status == 401
        assert fleet.call(entry, "GET", "/nowhere").status == 404


def test_ambiguous_requests_reach_no_backend_server(build, folders):
    with Fleet(build, folders, engines=1, plains=1) as fleet:
        entry = fleet.entries[0]
        head = f"POST /once/a HTTP/1.1\r\nHost: host.example\r\nAuthorization: Bearer {KEY}\r\nX-Request-Id: bad\r\n"
        for bad in ("Content-Length: 3\r\nContent-Length: 40\r\n\r\nabc", "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", " folded\r\nContent-Length: 0\r\n\r\n"):
            answer = fleet.raw(entry, (head + bad).encode())
            assert answer.startswith(b"HTTP/1.1 400 ") and b"application/problem+json" in answer, answer
        answer = fleet.raw(entry, head.replace("\r\n", "\n").encode() + b"\n")
        assert answer.startswith(b"HTTP/1.1 400 "), answer
        assert fleet.runs("bad") == 0


def test_a_stream_that_is_cut_within_an_event_goes_on_at_another_engine(build, folders):
    with Fleet(build, folders) as fleet:
        wait_linked(fleet)
        for fault in ("cut_in_event", "silent_midway"):
            for engine in fleet.engines:
                engine.fault, engine.faults_left = fault, 1
            answer = fleet.call(fleet.entries[0], "POST", "/stream/a", request_id=f"cut-{fault}")
            for engine in fleet.engines:
                engine.faults_left = 0
            # The second engine may have the fault too; then the answer is broken off, visibly, and never misses a piece.
            assert answer.event_ids() == list(range(1, len(answer.event_ids()) + 1))
            assert answer.is_whole == (answer.event_ids() == list(range(1, 7)))
            wait_linked(fleet)
            fleet.engines[0].fault, fleet.engines[0].faults_left = fault, 1
            for number in range(6):
                assert_whole_stream(fleet.call(fleet.entries[0], "POST", "/stream/a", request_id=f"resume-{fault}-{number}"))
            fleet.engines[0].faults_left = 0


def test_what_may_not_repeat_runs_once_whatever_the_server_does(build, folders):
    with Fleet(build, folders) as fleet:
        entry = fleet.entries[0]
        wait_until(lambda: fleet.call(entry, "POST", "/once/warm", body=b"x").status == 200, "a plain service")
        for number, fault in enumerate(("reset_after_run", "cut_answer", "other_answer", "false_503")):
            for server in fleet.plains:
                server.fault, server.faults_left = fault, 10
            answer = fleet.call(entry, "POST", "/once/a", body=b"x", request_id=f"once-{number}")
            assert fleet.runs(f"once-{number}") == 1, fault
            assert answer.status in (502, 504), (fault, answer.status)
        for server in fleet.plains:
            server.fault, server.faults_left = "full", 10
        answer = fleet.call(entry, "POST", "/once/a", body=b"x", request_id="refused")
        assert answer.status == 503 and "retry-after" in answer.headers
        assert fleet.runs("refused") == 0


def test_what_may_repeat_is_tried_elsewhere(build, folders):
    with Fleet(build, folders) as fleet:
        entry = fleet.entries[0]
        wait_until(lambda: fleet.call(entry, "GET", "/safe/warm").status == 200, "a plain service")
        for number, fault in enumerate(("reset_after_run", "cut_answer", "error", "other_answer")):
            fleet.plains[0].fault, fleet.plains[0].faults_left = fault, 1
            for attempt in range(4):
                answer = fleet.call(entry, "GET", "/safe/a", request_id=f"safe-{number}-{attempt}")
                assert (answer.status, answer.body) == (200, b"answer to /safe/a"), fault
            fleet.plains[0].faults_left = 0


def test_an_address_taken_over_by_another_incarnation_runs_nothing_meant_for_the_first(build, folders):
    with Fleet(build, folders, engines=1, plains=1) as fleet:
        entry = fleet.entries[0]
        wait_until(lambda: fleet.call(entry, "POST", "/once/warm", body=b"x").status == 200, "a plain service")
        fleet.plains[0].id = "i-another"
        answer = fleet.call(entry, "POST", "/once/a", body=b"x", request_id="taken")
        assert answer.status == 503 and fleet.runs("taken") == 0


def right_loads(fleet, version):
    return all(load[1] == fleet.origin.digests(load[0]) for engine in fleet.engines for load in engine.loads) and all(engine.version == version for engine in fleet.engines)


def wait_begun(fleet, version):
    """Every entry and agent has begun the version: one that links late may hear of the next one first."""
    instances = [*fleet.entries, *(engine.address for engine in fleet.engines)]
    wait_until(lambda: all(fleet.times_logged(identity, "manifest_taken", version=str(version)) for identity in instances), f"version {version} to be under way everywhere")


def test_a_named_version_reaches_every_engine_whole_past_spoilt_chunks(build, folders):
    with Fleet(build, folders) as fleet:
        wait_linked(fleet)
        fleet.origin.spoil_pieces, fleet.origin.spoil_manifests = 5, 2
        fleet.engines[0].lose_order_answers = 1
        fleet.name_version(2)
        wait_until(lambda: all(engine.version == 2 for engine in fleet.engines), "version 2 everywhere")
        assert right_loads(fleet, 2)
        assert fleet.origin.pieces_sent <= 3 * CHUNKS
        # Named again while the first is on its way: the first is abandoned where it is not whole yet.
        fleet.name_version(3)
        fleet.name_version(4)
        wait_until(lambda: all(engine.version == 4 for engine in fleet.engines), "version 4 everywhere")
        assert right_loads(fleet, 4)


def test_a_version_under_way_is_finished_when_the_origin_cannot_send_the_next(build, folders):
    with Fleet(build, folders) as fleet:
        wait_linked(fleet)
        fleet.origin.piece_seconds = 0.3
        fleet.origin.silent_versions = {3}
        fleet.name_version(2)
        wait_begun(fleet, 2)
        fleet.name_version(3)
        wait_until(lambda: all(engine.version == 2 for engine in fleet.engines), "version 2 everywhere")
        assert right_loads(fleet, 2)
        fleet.origin.silent_versions = set()
        wait_until(lambda: all(engine.version == 3 for engine in fleet.engines), "version 3 everywhere")
        assert right_loads(fleet, 3)


def test_a_straggler_gets_an_older_version_from_those_that_have_moved_on(build, folders):
    """The others hold all of version 2 and are after version 3 when the last agent, which lacks most of version 2, is back."""
    # A wide bound: how long the machine takes must not decide whether version 2 is still worth having.
    with Fleet(build, folders, version_bound_ms=40000) as fleet:
        wait_linked(fleet)
        fleet.origin.piece_seconds = 0.6
        fleet.origin.silent_versions = {3}
        *others, straggler = fleet.engines
        fleet.name_version(2)
        wait_begun(fleet, 2)
        moved_on = [*fleet.entries, *(engine.address for engine in others)]

        def links_dropped(identity):
            return fleet.times_logged(identity, "link_down", peer=straggler.address)

        dropped_before = {identity: links_dropped(identity) for identity in moved_on}
        fleet.pause(straggler.address)
        fleet.name_version(3)
        wait_until(lambda: all(fleet.times_logged(identity, "goal_changed", version="3") for identity in moved_on), "the others to turn to version 3")
        # They hold all of it; their engines may wait for the straggler's, which goes first where it ranks first.
        assert all(fleet.times_logged(identity, "copy_complete", version="2") for identity in moved_on)
        # What it heard of chunks before is gone with its links.
        wait_until(lambda: all(links_dropped(identity) > dropped_before[identity] for identity in moved_on), "the straggler's links to be dropped")
        fleet.origin.silent_versions = {2, 3}
        fleet.go_on(straggler.address)
        wait_until(lambda: all(engine.version == 2 for engine in fleet.engines), "version 2 everywhere")
        assert right_loads(fleet, 2)


def test_a_request_that_waits_at_an_outdated_engine_goes_to_another(build, folders):
    with Fleet(build, folders) as fleet:
        wait_linked(fleet)
        entry = fleet.entries[0]
        # With an objective of so many seconds an engine's silence says nothing before the bound does, and a request
        # waits long enough for an engine that a slow machine brings to the version late.
        fleet.configure(Routes=fleet.routes(TimeoutMs=30000, TargetLatencyMs=30000))
        wait_until(lambda: fleet.configuration_in_force(entry) == fleet.version, "the configuration with long times")
        # What is named right after an entry's start counts as named before it, and is required at once.
        time.sleep(3)
        # Nothing can be laid beside the engine, so it stays at the first version; whatever it is sent waits there.
        outdated = fleet.engines[0]
        outdated.refuses_staging = True
        outdated.fault, outdated.faults_left = "wait_long", 1000
        fleet.name_version(2)
        wait_until(lambda: any(line.get("event") == "version_named" for line in fleet.log_lines(entry)), "the name of version 2")

        def sent():
            return [line for line in fleet.log_lines(entry) if line.get("event") == "request_sent" and line.get("server") == outdated.id and line["request"].startswith("late-")]

        def ends():
            return [line for line in fleet.log_lines(entry) if line.get("event") == "send_ended" and line.get("server") == outdated.id and line.get("end") == "outdated"]

        answers = []
        callers = []

        def ask():
            # The others have no room at first, so that what is left is the outdated one.
            for engine in fleet.engines[1:]:
                engine.fault, engine.faults_left = "full", 1
            number = len(callers)
            caller = threading.Thread(target=lambda: answers.append(fleet.call(entry, "POST", "/stream/a", request_id=f"late-{number}", headers={"X-Deadline-Ms": "30000"})))
            caller.start()
            callers.append(caller)
            return sent()

        wait_until(ask, "a request to be sent to the outdated engine")
        # They have room again, and version 2, when the bound takes the request away from the outdated one.
        for engine in fleet.engines[1:]:
            engine.faults_left = 0
        wait_until(ends, "the request to be taken away from the outdated engine")
        for caller in callers:
            caller.join()
        for answer in answers:
            assert_whole_stream(answer)
        assert not any(run[0].startswith("late-") for run in outdated.runs)


def test_an_engine_whose_agent_is_gone_gets_no_work_while_it_is_behind(build, folders):
    with Fleet(build, folders) as fleet:
        wait_linked(fleet)
        entry = fleet.entries[0]
        silent = fleet.engines[0]
        fleet.kill(silent.address)
        fleet.name_version(2)
        wait_until(lambda: all(engine.version == 2 for engine in fleet.engines[1:]), "version 2 at the others")
        before = len(silent.runs)
        for _ in range(12):
            assert_whole_stream(fleet.call(entry, "POST", "/stream/a"))
        assert len(silent.runs) == before


def test_entries_pass_a_named_version_on_to_agents(build, folders):
    with Fleet(build, folders) as fleet:
        wait_linked(fleet)
        fleet.name_version(2)
        wait_until(lambda: all(engine.version == 2 for engine in fleet.engines), "version 2 everywhere")
        assert right_loads(fleet, 2)
        uploads = [fleet.call(entry, "GET", "/metrics", port=CHUNK_PORT).body.decode() for entry in fleet.entries]
        assert any("mountbarrow_agent_uploads_total" in text for text in uploads), uploads
        # With only one entry left, a new engine is still filled.
        for entry in fleet.entries[1:]:
            fleet.kill(entry)
        grown = fleet.add_engine(4, version=0)
        fleet.engines.append(grown)
        grown.enlist()
        fleet.start_agent(grown)
        wait_until(lambda: grown.version == 2, "the new engine to be filled")
        assert right_loads(fleet, 2)


def test_new_and_restarted_engines_are_filled_and_bad_staged_chunks_repaired(build, folders):
    with Fleet(build, folders) as fleet:
        wait_linked(fleet)
        grown = fleet.add_engine(3, version=0)
        fleet.engines.append(grown)
        grown.enlist()
        fleet.start_agent(grown)
        wait_until(lambda: grown.version == 1, "the new engine to be filled")
        assert fleet.origin.pieces_sent < CHUNKS, "peers held the version already"
        crashed = fleet.engines[0]
        crashed.staged.put(2, b"turned bad")
        crashed.restart()
        wait_until(lambda: crashed.version == 1, "the restarted engine to be filled")
        assert right_loads(fleet, 1)
        # An agent that starts anew finds what was staged, and orders its engine from that.
        fleet.kill(crashed.address)
        crashed.restart()
        sent = fleet.origin.pieces_sent
        fleet.start_agent(crashed)
        wait_until(lambda: crashed.version == 1, "the engine beside the restarted agent to be filled")
        assert right_loads(fleet, 1)
        assert fleet.origin.pieces_sent == sent


def test_a_new_engine_is_filled_before_the_list_names_it(build, folders):
    with Fleet(build, folders) as fleet:
        wait_linked(fleet)
        unlisted = fleet.add_engine(2, version=0)
        fleet.start_agent(unlisted)
        wait_until(lambda: unlisted.version == 1, "the new engine to be filled")
        assert fleet.origin.pieces_sent == 0, "peers held the version already"
        unlisted.enlist()
        fleet.engines.append(unlisted)
        wait_until(lambda: fleet.call(fleet.entries[0], "POST", "/stream/a").status == 200 and unlisted.runs, "a stream at the new engine")


def test_an_entry_that_the_store_turns_away_learns_from_its_peers(build, folders):
    with Fleet(build, folders) as fleet:
        wait_linked(fleet)
        turned_away, other = fleet.entries
        for mode in ("silent", "busy", "reset"):
            fleet.door(turned_away).mode = mode
            key = f"key-{mode}"
            fleet.keys = [KEY, key]
            fleet.configure()
            wait_until(lambda: fleet.call(other, "GET", "/safe/a", key=key).status == 200, "the new key at the other entry")
            wait_until(lambda: fleet.call(turned_away, "GET", "/safe/a", key=key).status == 200, f"the new key past a {mode} store")
            fleet.keys = [KEY]
            fleet.configure()
            wait_until(lambda: fleet.call(turned_away, "GET", "/safe/a", key=key).status == 401, f"the revoked key past a {mode} store")
            leaving = fleet.engines[0]

            def seen(state, leaving=leaving):
                lines = fleet.log_lines(turned_away)
                return sum(1 for line in lines if line.get("event") == "server_changed" and line.get("server") == leaving.id and line.get("state") == state)

            seen_before = seen("draining")
            leaving.enlist("draining")
            wait_until(lambda: seen("draining") > seen_before, "the draining engine")
            before = len(leaving.runs)
            for _ in range(10):
                fleet.call(turned_away, "POST", "/stream/a")
            assert len(leaving.runs) == before
            ready_before = seen("ready")
            # What says within one start that it is ready again was written late, so it comes back as it would: by a new start.
            leaving.crash()
            leaving.start_again()
            fleet.door(turned_away).mode = ""
            wait_until(lambda: seen("ready") > ready_before, "the engine's return")


def test_an_entry_without_a_configuration_is_not_ready_and_refuses(build, folders):
    with Fleet(build, folders) as fleet:
        wait_linked(fleet)
        for entry in fleet.entries:
            fleet.kill(entry)
            fleet.door(entry).mode = "silent"
        for entry in fleet.entries:
            fleet.start_entry(entry)
        first, second = fleet.entries
        wait_until(lambda: fleet.call(first, "GET", "/safe/a").status == 503, "a refusal")
        assert not fleet.is_ready(first)
        # The first that reaches the store tells the other.
        fleet.door(first).mode = ""
        fleet.wait_ready(first)
        fleet.wait_ready(second)
        wait_until(lambda: fleet.call(second, "GET", "/safe/a").status == 200, "an answer of the entry that the store turns away")


def test_history_that_the_store_forgot_is_read_as_the_newest_of_each_key(build, folders):
    with Fleet(build, folders) as fleet:
        wait_linked(fleet)
        entry = fleet.entries[0]
        for entry_door in fleet.entries:
            fleet.door(entry_door).mode = "busy"
        gone = fleet.engines[0]
        fleet.keys = [KEY, "late"]
        fleet.configure()
        gone.delist()
        fleet.store.forget_history()
        for entry_door in fleet.entries:
            fleet.door(entry_door).mode = ""
        wait_until(lambda: fleet.call(entry, "GET", "/safe/a", key="late").status == 200, "the new key")
        wait_until(lambda: any(line.get("event") == "server_changed" and line.get("server") == gone.id and line.get("state") == "removed" for line in fleet.log_lines(entry)), "the engine's removal")


def test_a_planned_stop_cuts_off_nothing(build, folders):
    with Fleet(build, folders) as fleet:
        wait_linked(fleet)
        entry = fleet.entries[0]
        for engine in fleet.engines:
            engine.events, engine.event_seconds = 20, 0.05
        answers = []
        threads = [threading.Thread(target=lambda: answers.append(fleet.call(entry, "POST", "/stream/a"))) for _ in range(8)]
        for thread in threads:
            thread.start()
        wait_until(lambda: sum(engine.running for engine in fleet.engines) >= 8, "eight streams")
        fleet.terminate(entry)
        wait_until(lambda: not fleet.is_ready(entry), "the entry to call itself not ready")
        for thread in threads:
            thread.join()
        for answer in answers:
            assert_whole_stream(answer, events=20)
        assert fleet.processes[entry].wait(30) == 0


def test_the_log_tells_why_a_request_failed(build, folders):
    with Fleet(build, folders) as fleet:
        wait_linked(fleet)
        entry = fleet.entries[0]
        for server in fleet.plains:
            server.fault, server.faults_left = "full", 20
        assert fleet.call(entry, "POST", "/once/a", body=b"x", request_id="walk-refused").status == 503
        for server in fleet.plains:
            server.fault, server.faults_left = "reset_after_run", 20
        assert fleet.call(entry, "POST", "/once/a", body=b"x", request_id="walk-unknown").status == 502
        for engine in fleet.engines:
            engine.fault, engine.faults_left = "cut_in_event", 20
        assert not fleet.call(entry, "POST", "/stream/a", request_id="walk-broken").is_whole

        def of(request_id):
            return [line for line in fleet.log_lines(entry) if line.get("request") == request_id]

        for request_id, end in (("walk-refused", "not_run_anywhere"), ("walk-unknown", "outcome_unknown"), ("walk-broken", "broken_off")):
            lines = wait_until(lambda request_id=request_id: [line for line in of(request_id) if line["event"] == "request_ended"] and of(request_id), f"the end of {request_id}")
            assert lines[-1]["end"] == end, lines
            assert any(line["event"] == "request_sent" and line["server"] for line in lines)
            assert any(line["event"] == "send_ended" and line["end"] for line in lines)
            assert all(re.fullmatch(r"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z", line["time"]) for line in lines), lines


def test_nothing_is_said_to_be_leaving_for_good(build, folders):
    """An engine that comes back under the same address as a new incarnation serves again."""
    with Fleet(build, folders, engines=1) as fleet:
        wait_linked(fleet)
        engine = fleet.engines[0]
        engine.enlist("draining")
        wait_until(lambda: fleet.call(fleet.entries[0], "POST", "/stream/a").status == 503, "no engine to be left")
        engine.restart()
        wait_linked(fleet)
        assert engine.service == LLM and Origin.chunk(1, 0) == engine.staged.get(0)


def origin_chunks(fleet, identity):
    """How many chunks of weights a process has read from the origin, as its metrics tell it."""
    for line in fleet.call(identity, "GET", "/metrics", port=CHUNK_PORT).body.decode().splitlines():
        if line.startswith("mountbarrow_chunks_total") and 'source="origin"' in line:
            return int(float(line.split()[-1]))
    return 0


def test_entries_keep_the_version_of_the_start_once_no_engine_holds_it(build, folders):
    """
    Seen: after a loss of power of all instances nearly all streams were refused for nine seconds.
    Cause: entries kept no copy of a version that nobody had named, and agents leave the origin to the entries; each
    agent read one chunk in two seconds or more, the whole being 64.
    Proof: engines lose all they held; then entries read the version of the start from the origin.
    """
    with Fleet(build, folders) as fleet:
        wait_linked(fleet)
        assert all(origin_chunks(fleet, entry) == 0 for entry in fleet.entries)
        for engine in fleet.engines:
            fleet.kill(engine.address)
            engine.restart()
            engine.staged.lose()
            fleet.start_agent(engine)
        wait_until(lambda: all(engine.version == 1 for engine in fleet.engines), "version 1 at all engines")
        assert sum(origin_chunks(fleet, entry) for entry in fleet.entries) > 0
        wait_linked(fleet)


# Guards against entries that read a version from the origin although an agent can pass it on.
def test_entries_cache_no_initial_version_while_an_engine_holds_it(build, folders):
    with Fleet(build, folders) as fleet:
        wait_linked(fleet)
        engine, entry = fleet.engines[0], fleet.entries[0]
        fleet.kill(engine.address)
        engine.forget()
        engine.staged.lose()
        fleet.start_agent(engine)
        wait_until(lambda: engine.version == 1, "the engine to load the version from its peers")
        fleet.pause(entry)
        # The agents drop their links to it meanwhile.
        time.sleep(CONTACT_MS / 1000)
        fleet.resume(entry)
        wait_until(lambda: fleet.times_logged(entry, "woke"), "the entry to notice the pause")
        wait_linked(fleet)
        assert all(origin_chunks(fleet, each) == 0 for each in fleet.entries)
