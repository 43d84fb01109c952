# SPDX-License-Identifier: BSD-2-Clause
"""LOST: a stopping entry takes a further request from a kept connection, seconds after its SIGTERM, passes it on, and cuts it off."""

import os
import sys
import threading
import time
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
RECORD = os.path.join(HERE, "record.txt")
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common"))


def cannot_run(kind, error, trace):
    """What goes wrong before the case begins is no breach of the rule: it ends with the code of a case that could not run."""
    with open(RECORD, "a", encoding="utf-8") as file:
        file.write("could not run: " + "".join(traceback.format_exception(kind, error, trace)))
    os._exit(2)


sys.excepthook = cannot_run

from client import Connection  # noqa: E402
from harness import GRACE_SECONDS, HAS_TROUBLE, STREAM_DEADLINE_MS, Record, play, record_runs, wait_until  # noqa: E402

CLIENTS = 8
EVENTS, EVENT_SECONDS = 20, 0.25
# Between two clients' first requests: the streams don't end at the same moment.
SPACING_SECONDS = 0.047
# The first streams begin so long before the entry is told to stop.
HEAD_START_SECONDS = 0.6
# RULES.md: a request that was sent no later than this after the SIGTERM, and that is still worked on in the last sixth of GraceS, isn't counted.
LATE_SECONDS = 3.0


def case(fleet, record):
    entry = fleet.entries[0]
    for engine in fleet.engines:
        engine.events, engine.event_seconds = 3, 0.01
    wait_until(lambda: fleet.call(entry, "POST", "/stream/warm").status == 200, "a stream through the entry")
    for engine in fleet.engines:
        engine.events, engine.event_seconds = EVENTS, EVENT_SECONDS
    stopped_at = []
    requests = []

    def client(number):
        connection = Connection(entry)
        for turn in (1, 2):
            request_id = f"client{number}-{turn}"
            sent_at = connection.send(request_id, "POST", "/stream/talk", STREAM_DEADLINE_MS, body=b"prompt")
            if sent_at is None:
                record("the connection had ended", request=request_id)
                return
            record("sent", request=request_id)
            answer = connection.receive()
            record("answered", request=request_id, status=answer.status, end=answer.end, events=len(answer.event_ids()), connection=answer.headers.get("connection", "kept"))
            requests.append((request_id, sent_at, answer))
            # The client heeds what the answer says of the connection.
            if not answer.is_whole or answer.headers.get("connection") == "close":
                return
        connection.close()

    clients = [threading.Thread(target=client, args=(number,)) for number in range(CLIENTS)]
    for each in clients:
        each.start()
        time.sleep(SPACING_SECONDS)
    wait_until(lambda: sum(engine.running for engine in fleet.engines) == CLIENTS, "all streams to run")
    time.sleep(HEAD_START_SECONDS)
    if HAS_TROUBLE:
        stopped_at.append(time.monotonic())
        fleet.terminate(entry)
        record("SIGTERM", entry=entry)
    for each in clients:
        each.join()
    if HAS_TROUBLE:
        code = fleet.processes[entry].wait(timeout=30)
        record("the entry ended", code=code, after_s=round(time.monotonic() - stopped_at[0], 2))
    record_runs(record, fleet.engines, "client")
    breaches = []
    for request_id, sent_at, answer in requests:
        was_passed_on = fleet.runs(request_id, fleet.engines) > 0
        is_cut = not answer.is_whole
        has_time_left = answer.ended_at - sent_at < STREAM_DEADLINE_MS / 1000
        is_planned = bool(stopped_at) and answer.ended_at - stopped_at[0] <= GRACE_SECONDS + 1
        is_late = bool(stopped_at) and sent_at - stopped_at[0] > LATE_SECONDS
        if was_passed_on and is_cut and has_time_left and (is_late or not stopped_at):
            breaches.append(f"{request_id} was sent {sent_at - stopped_at[0]:.2f} s after the SIGTERM, taken, passed on to an engine, and cut off "
                            f"{answer.ended_at - stopped_at[0]:.2f} s after it with {len(answer.event_ids())} of {EVENTS} events, {STREAM_DEADLINE_MS / 1000 - (answer.ended_at - sent_at):.2f} s before its deadline"
                            if is_planned else f"{request_id} was cut off without a stop")
    return breaches


if __name__ == "__main__":
    play(Record(RECORD), case, entries=2, engines=3, plains=1)
