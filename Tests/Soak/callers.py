# SPDX-License-Identifier: BSD-2-Clause
"""Callers that ask without pause over kept connections, and keep what they saw."""

import contextlib
import http.client
import random
import socket
import threading
import time

from fleet import CALLERS_PORT, KEY, answer_marks, caller_fields

DEADLINE_MS = 4000
# How long a caller waits for the next byte: past every deadline of its own.
PATIENCE_SECONDS = 10
# A key that no configuration ever holds, and one that only configurations hold that cannot be read.
UNKNOWN_KEY, UNREADABLE_KEY = "key-unknown", "key-unreadable"
# One request in so many goes with a key that must not serve.
BAD_KEY_ONE_IN = 25
# One request with a body in so many is uploaded slowly, where the run has such.
UPLOAD_ONE_IN = 4
# One stream in so many is left by its caller after the first bytes.
LEAVE_ONE_IN = 10


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
        self.has_left = False
        self.has_timed_out = False
        self.answered_id = None
        self.seal = None
        self.sent_at = time.monotonic()
        self.ended_at = None


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
            self.connections[entry] = http.client.HTTPConnection(entry, CALLERS_PORT, timeout=PATIENCE_SECONDS)
        return self.connections[entry]

    def drop(self, entry):
        self.connections.pop(entry).close()

    def key(self):
        if self.random.randrange(BAD_KEY_ONE_IN) == 0:
            return self.random.choice((UNKNOWN_KEY, UNREADABLE_KEY, *self.soak.revoked))
        return self.random.choice(self.soak.fleet.keys)

    def ask(self):
        entry = self.random.choice(self.soak.fleet.entries)
        kind = self.random.choice(("once", "once", "safe", "stream"))
        request_id = f"soak-{self.number}-{len(self.seen)}"
        path = f"/{kind}/{request_id}"
        seen = Seen(kind, request_id, path, entry, self.soak.lives[entry], self.key())
        self.seen.append(seen)
        headers = caller_fields(request_id, seen.key, self.soak.deadline_ms)
        connection = self.connection(entry)
        try:
            if kind != "safe" and self.soak.upload_seconds > 0 and self.random.randrange(UPLOAD_ONE_IN) == 0:
                self.upload(connection, path, headers, seen)
            else:
                connection.request("GET" if kind == "safe" else "POST", path, body=None if kind == "safe" else b"x", headers=headers)
            answer = connection.getresponse()
            seen.status = answer.status
            seen.answered_id, seen.seal = answer_marks(answer)
            seen.has_left = kind == "stream" and seen.status == 200 and self.random.randrange(LEAVE_ONE_IN) == 0
            seen.body = answer.read(1 if seen.has_left else None)
            seen.is_whole = not seen.has_left
            if seen.has_left:
                self.drop(entry)
        except (OSError, http.client.HTTPException) as error:
            seen.has_timed_out = isinstance(error, TimeoutError)
            seen.body = getattr(error, "partial", b"")
            self.drop(entry)
            self.soak.is_over.wait(0.02)
        seen.ended_at = time.monotonic()


    def upload(self, connection, path, headers, seen):
        """Sends the body's last byte some time after the head. The entry may have refused the request meanwhile."""
        connection.putrequest("POST", path, skip_host=True)
        for name, value in headers.items():
            connection.putheader(name, value)
        connection.putheader("Content-Length", "1")
        connection.endheaders()
        self.soak.is_over.wait(self.random.uniform(0, self.soak.upload_seconds))
        seen.sent_at = time.monotonic()
        # Where the entry has refused it and closed, its answer lies there unread.
        with contextlib.suppress(ConnectionError):
            connection.send(b"x")


class CrashingCaller(threading.Thread):
    """Asks for a stream that ends each engine which begins it, again and again, at any entry."""

    again_seconds = (0.1, 0.8)

    def __init__(self, number, seed, entries):
        super().__init__(daemon=True)
        self.random = random.Random(f"{seed} crashing {number}")
        self.body = f"crashing-{number}".encode()
        self.entries = entries
        self.is_over = threading.Event()
        # Request id: the entry that was asked.
        self.asked = {}
        self.start()

    def run(self):
        while not self.is_over.is_set():
            request_id, entry = f"soak-{self.body.decode()}-{len(self.asked)}", self.random.choice(self.entries)
            self.asked[request_id] = entry
            connection = http.client.HTTPConnection(entry, CALLERS_PORT, timeout=PATIENCE_SECONDS)
            try:
                connection.request("POST", "/stream/" + self.body.decode(), body=self.body, headers=caller_fields(request_id, KEY, DEADLINE_MS))
                connection.getresponse().read()
            except (OSError, http.client.HTTPException):
                pass
            connection.close()
            self.is_over.wait(self.random.uniform(*self.again_seconds))


class Press:
    """Many connections that each hold an almost whole body at an entry, so that its memory is pressed."""

    connections = 120
    body_bytes = 90000
    sent_bytes = 80000

    def __init__(self, entry):
        self.sockets = []
        for number in range(self.connections):
            fields = {**caller_fields(f"press-{number}", KEY, PATIENCE_SECONDS * 1000), "Content-Length": self.body_bytes}
            head = "POST /once/press HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n"
            try:
                connection = socket.create_connection((entry, CALLERS_PORT), timeout=1)
                self.sockets.append(connection)
                connection.settimeout(0.2)
                connection.sendall(head.encode() + b"x" * self.sent_bytes)
            except OSError:
                continue

    def end(self):
        for connection in self.sockets:
            connection.close()
