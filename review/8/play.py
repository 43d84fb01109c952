# SPDX-License-Identifier: BSD-2-Clause
"""A heartbeat that a server wrote before it began to drain is carried out late, and the server gets requests again."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))
import case as common  # noqa: E402

SERVERS, CALLERS = 7, 8
HEARTBEAT_SECONDS, DRAIN_SECONDS = 1.2, 2.0
# A write that is left without an answer is done 1 to 6 s later.
LATE_SECONDS = 5.8
# The store is stable again ContactMs after it lost the answer.
DRAINS_AFTER_SECONDS = common.CONTACT_SECONDS + 0.3
SERVES_ON_SECONDS = 6.0


class Heartbeats:
    """Each server writes its entry every HeartbeatMs."""

    def __init__(self, servers):
        self.states = {server: "ready" for server in servers}
        self.is_over = threading.Event()
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=self.beat, args=(server,)) for server in servers]
        self.next = {}
        for thread in self.threads:
            thread.start()

    def beat(self, server):
        self.next[server] = time.monotonic() + HEARTBEAT_SECONDS
        while not self.is_over.wait(max(0, self.next[server] - time.monotonic())):
            if time.monotonic() < self.next[server]:
                continue
            self.next[server] += HEARTBEAT_SECONDS
            with self.lock:
                server.enlist(self.states[server])

    def drain(self, server):
        with self.lock:
            self.states[server] = "draining"
            server.enlist("draining")
            self.next[server] = time.monotonic() + HEARTBEAT_SECONDS

    def stop(self):
        self.is_over.set()
        for thread in self.threads:
            thread.join()


def play(record, folders):
    with common.Deployment(common.TARGET, folders, entries=2, engines=1, plains=SERVERS) as deployment:
        heartbeats = Heartbeats(deployment.plains)
        is_over, answers = threading.Event(), []
        callers = [threading.Thread(target=ask, args=(deployment, number, is_over, answers)) for number in range(CALLERS)]
        try:
            time.sleep(3)
            for caller in callers:
                caller.start()
            time.sleep(1)
            return play_with(record, deployment, heartbeats, answers)
        finally:
            is_over.set()
            for caller in callers:
                caller.join()
            heartbeats.stop()


def ask(deployment, caller, is_over, answers):
    number = 0
    while not is_over.is_set():
        number += 1
        request_id = f"q{caller}-{number}"
        entry, sent_at = deployment.entries[caller % 2], time.monotonic()
        answer = deployment.call(entry, "GET", "/safe/a", request_id=request_id, headers={"X-Deadline-Ms": "3000"})
        answers.append([request_id, entry, sent_at, answer.status])
        time.sleep(0.03)


def play_with(record, deployment, heartbeats, answers):
    server = deployment.plains[0]
    lost_at = time.monotonic()
    if common.TROUBLE:
        record.note(f"server {server.id} writes its heartbeat, ready; no answer comes")
        late = threading.Timer(LATE_SECONDS, lambda: (server.enlist("ready"), record.note(f"the store carries out the heartbeat that {server.id} wrote {LATE_SECONDS} s ago")))
        late.start()
    time.sleep(max(0, lost_at + DRAINS_AFTER_SECONDS - time.monotonic()))
    heartbeats.drain(server)
    drains_at = time.monotonic()
    record.note(f"server {server.id} says that it is draining; the store acknowledges it")
    time.sleep(SERVES_ON_SECONDS)
    # The store is stable ContactMs after the lost answer, and machines are in touch when it has been so for ContactMs.
    judged_from = max(drains_at + DRAIN_SECONDS, lost_at + 2 * common.CONTACT_SECONDS)
    late_arrivals = server.arrivals_since(judged_from)
    for when, request_id in server.arrivals_since(drains_at):
        record.note(f"request {request_id} reached server {server.id} {when - drains_at:.3f} s after that")
    ran = {run[0]: each.id for each in deployment.plains for run in each.runs}
    for request_id, entry, sent_at, status in list(answers):
        record.note(f"{request_id} GET /safe/a sent to {entry} at {sent_at - record.began:.3f} s: answered {status}; run by {ran.get(request_id, 'none')}")
    record.note(f"{len(late_arrivals)} requests reached the server later than {judged_from - drains_at:.2f} s after it said that it is draining")
    if not any(status == 200 for _, _, _, status in answers):
        raise RuntimeError("nothing was served")
    return bool(late_arrivals)


if __name__ == "__main__":
    common.run(os.path.join(FOLDER, "record.txt"), play)
