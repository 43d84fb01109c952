# SPDX-License-Identifier: BSD-2-Clause
"""A caller that keeps its connection, reads HTTP/1.1 strictly, and says how each answer ended."""

import re
import socket
import time

from harness import CALLERS_PORT, HOST, KEY


class Answer:
    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        # "whole", "closed", "reset" or "silent".
        self.end = "silent"
        self.ended_at = 0.0

    @property
    def is_whole(self):
        return self.end == "whole"

    @property
    def request_id(self):
        return self.headers.get("x-request-id", "")

    def event_ids(self):
        return [int(each) for each in re.findall(rb"^id: (\d+)$", self.body, flags=re.M)]


class Connection:
    def __init__(self, entry, patience=30):
        self.socket = socket.create_connection((entry, CALLERS_PORT), timeout=patience)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.unread = b""

    def close(self):
        self.socket.close()

    def send(self, request_id, method, path, deadline_ms, body=b"", **headers):
        """Sends a whole request; returns when its last byte was handed over, or None if the connection was gone."""
        fields = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": str(deadline_ms), "Authorization": f"Bearer {KEY}",
                  **({"X-Token-Counts": "100,100"} if path.startswith("/stream/") else {}), **headers}
        if method == "POST":
            fields["Content-Length"] = str(len(body))
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        try:
            self.socket.sendall(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
        except OSError:
            return None
        return time.monotonic()

    def _more(self, answer):
        try:
            data = self.socket.recv(65536)
        except TimeoutError:
            answer.end = "silent"
            return False
        except OSError:
            answer.end = "reset"
            return False
        if not data:
            answer.end = "closed"
            return False
        self.unread += data
        return True

    def _take(self, answer, size):
        while len(self.unread) < size:
            if not self._more(answer):
                return None
        data, self.unread = self.unread[:size], self.unread[size:]
        return data

    def _line(self, answer):
        while b"\r\n" not in self.unread:
            if not self._more(answer):
                return None
        line, self.unread = self.unread.split(b"\r\n", 1)
        return line

    def receive(self):
        """Reads the next answer on the connection, to its end."""
        answer = Answer()
        self._receive(answer)
        answer.ended_at = time.monotonic()
        return answer

    def _receive(self, answer):
        line = self._line(answer)
        if line is None:
            return
        answer.status = int(line.split(b" ")[1])
        while True:
            line = self._line(answer)
            if line is None:
                return
            if not line:
                break
            name, value = line.decode().split(":", 1)
            answer.headers[name.strip().lower()] = value.strip()
        if answer.headers.get("transfer-encoding") == "chunked":
            while True:
                line = self._line(answer)
                if line is None:
                    return
                size = int(line, 16)
                data = self._take(answer, size + 2)
                if data is None:
                    return
                if size == 0:
                    answer.end = "whole"
                    return
                answer.body += data[:-2]
        data = self._take(answer, int(answer.headers.get("content-length", "0")))
        if data is not None:
            answer.body = data
            answer.end = "whole"
