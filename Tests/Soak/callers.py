# SPDX-License-Identifier: BSD-2-Clause
"""Callers that ask without pause over kept connections, and keep what they saw."""

import http.client
import random
import threading

from fleet import CALLERS_PORT, caller_fields

EVENTS = 6
DEADLINE_MS = 4000


class Seen:
    """One request, and what its caller saw of it. Status 0: no answer."""

    def __init__(self, kind, request_id, path, entry, life, key):
        self.kind = kind
        self.request_id = request_id
        self.path = path
        self.entry = entry
        self.life = life
        self.key = key
        self.status = 0
        self.body = b""
        self.is_whole = False


class Caller(threading.Thread):
    def __init__(self, number, seed, soak):
        super().__init__(daemon=True)
        self.number = number
        self.random = random.Random(seed * 1000 + number)
        self.soak = soak
        self.connections = {}
        self.seen = []

    def run(self):
        while not self.soak.is_over.is_set():
            self.ask()

    def connection(self, entry):
        """The open connection to an entry, for as long as it lasts."""
        if entry not in self.connections:
            self.connections[entry] = http.client.HTTPConnection(entry, CALLERS_PORT, timeout=10)
        return self.connections[entry]

    def ask(self):
        entry = self.random.choice(self.soak.fleet.entries)
        kind = self.random.choice(("once", "once", "safe", "stream"))
        request_id = f"soak-{self.number}-{len(self.seen)}"
        path = f"/{kind}/{request_id}"
        seen = Seen(kind, request_id, path, entry, self.soak.lives[entry], self.random.choice(self.soak.fleet.keys))
        self.seen.append(seen)
        headers = caller_fields(request_id, seen.key, DEADLINE_MS)
        connection = self.connection(entry)
        try:
            connection.request("GET" if kind == "safe" else "POST", path, body=None if kind == "safe" else b"x", headers=headers)
            answer = connection.getresponse()
            seen.status = answer.status
            seen.body = answer.read()
            seen.is_whole = True
        except (OSError, http.client.HTTPException):
            connection.close()
            del self.connections[entry]
            self.soak.is_over.wait(0.02)


def faults_of(seen, runs):
    """The promises that one request's outcome breaks; `runs`: how often it ran at backend servers."""
    if seen.kind == "once" and runs > 1:
        yield f"{seen.request_id} ran {runs} times"
    if seen.kind == "once" and seen.status in (408, 421, 429, 503) and runs > 0:
        yield f"{seen.request_id} was refused as not run ({seen.status}), and ran"
    if seen.status != 200 or not seen.is_whole:
        return
    if seen.kind != "stream" and seen.body != b"answer to " + seen.path.encode():
        yield f"{seen.request_id} got the answer {seen.body[:60]!r}"
    if seen.kind == "stream":
        ids = [int(line[3:]) for line in seen.body.decode().splitlines() if line.startswith("id:")]
        if ids != list(range(1, EVENTS + 1)):
            yield f"{seen.request_id} got the events {ids} as a whole answer"
