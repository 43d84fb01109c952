# SPDX-License-Identifier: BSD-2-Clause
"""A configuration allows longer heads; connections that were opened before it keep the old limit."""

import os
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))
import case as common  # noqa: E402
import fleet  # noqa: E402

OLD_LIMIT, NEW_LIMIT, PROMPT_BYTES = 16384, 32768, 20000
CONNECTIONS, ROUNDS = 20, 5
ALLOWED_DENIALS, ALLOWED_SHARE = 5, 1 / 500


class KeptConnection:
    """A client's connection for many requests."""

    def __init__(self, entry):
        self.entry = entry
        self.socket = socket.create_connection((entry, fleet.CALLERS_PORT), timeout=10)

    def ask(self, request_id, prompt_bytes):
        """Returns the status of the answer; 0 if the connection ended without one."""
        parts = ",".join(f"{number:08x}:1" for number in range(prompt_bytes // 11))
        head = f"GET /safe/a HTTP/1.1\r\nHost: {fleet.HOST}\r\nX-Request-Id: {request_id}\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer {fleet.KEY}\r\n"
        head += f"X-Prompt-Prefix: {parts}\r\n" if parts else ""
        try:
            self.socket.sendall(head.encode() + b"\r\n")
            return self.read_answer()
        except OSError:
            return 0

    def read_answer(self):
        data = b""
        while b"\r\n\r\n" not in data:
            data += self.read_some()
        head, body = data.split(b"\r\n\r\n", 1)
        length = next(int(line.split(b":")[1]) for line in head.split(b"\r\n") if line.lower().startswith(b"content-length:"))
        while len(body) < length:
            body += self.read_some()
        return int(head.split(b" ")[1])

    def read_some(self):
        part = self.socket.recv(65536)
        if not part:
            raise OSError("closed")
        return part


def play(record, folders):
    with common.Deployment(common.TARGET, folders, entries=2, engines=2) as deployment:
        time.sleep(2)
        deployment.configure(**fleet.limits(MaxHeaderBytes=OLD_LIMIT if common.TROUBLE else NEW_LIMIT))
        record.note(f"configuration {deployment.version} is acknowledged: MaxHeaderBytes {OLD_LIMIT if common.TROUBLE else NEW_LIMIT}")
        time.sleep(common.CONFIG_APPLY_SECONDS + 1)
        connections = [KeptConnection(deployment.entries[number % 2]) for number in range(CONNECTIONS)]
        for number, connection in enumerate(connections):
            status = connection.ask(f"first-{number}", 0)
            record.note(f"first-{number} on a new connection to {connection.entry}: answered {status}")
            if status != 200:
                raise RuntimeError("a first request was not served")
        if common.TROUBLE:
            deployment.configure(**fleet.limits(MaxHeaderBytes=NEW_LIMIT))
            record.note(f"configuration {deployment.version} is acknowledged: MaxHeaderBytes {NEW_LIMIT}")
        time.sleep(common.CONFIG_APPLY_SECONDS + common.CONTACT_SECONDS)
        for entry in deployment.entries:
            record.note(f"{entry} goes by configuration {deployment.configuration_in_force(entry)}")
        return judge(record, deployment, connections)


def judge(record, deployment, connections):
    requests, denied = CONNECTIONS, 0
    for number in range(ROUNDS * CONNECTIONS):
        connection = connections[number % CONNECTIONS]
        status = connection.ask(f"long-{number}", PROMPT_BYTES)
        requests += 1
        denied += 400 <= status < 500 and status not in (408, 421, 429)
        record.note(f"long-{number} with a head of over {PROMPT_BYTES} bytes on a kept connection to {connection.entry}: answered {status}, run {deployment.runs(f'long-{number}')} times")
        if status == 0:
            connections[number % CONNECTIONS] = KeptConnection(connection.entry)
    for number in range(4):
        connection = KeptConnection(deployment.entries[number % 2])
        record.note(f"new-{number} with such a head on a new connection to {connection.entry}: answered {connection.ask(f'new-{number}', PROMPT_BYTES)}")
        requests += 1
    allowed = ALLOWED_DENIALS + requests * ALLOWED_SHARE
    record.note(f"{denied} of {requests} requests were denied; {allowed:.1f} may be")
    return denied > allowed


if __name__ == "__main__":
    common.run(FOLDER, play)
