# SPDX-License-Identifier: BSD-2-Clause
"""Backend servers that stop in the head of an answer and close: no caller may get an answer that looks whole."""

import json
import random
import socket
import threading
import time

from cluster import BACKEND_PORT
from fleet import Fleet
from test_direct_path import wait_linked
from test_whole_path import LEDGER, start

CALLS = 60
# Answers of each kind of server that are cut at an entry.
CUTS = 8
EVENTS = list(range(1, 7))
HEADS = (b"HTTP/1.1 200 OK\r\nX-Kind: a\r\nContent-Length: 0\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\nX-Kind: b\r\n\r\n",
         b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Kind: c\r\n\r\n", b"HTTP/1.1 200 OK\r\nConnection: close\r\nX-Kind: d\r\n\r\n")


class RawService(threading.Thread):
    """Takes the place of a backend server, and answers each request with the bytes of a subclass and an end."""

    def __init__(self, address, port):
        super().__init__(daemon=True)
        self.listener = socket.create_server((address, port))
        self.sent = 0
        self.start()

    def run(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            with connection:
                if not connection.recv(65536):
                    continue
                connection.sendall(self.answer())
                self.sent += 1

    def close(self):
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()


class CuttingService(RawService):
    """Stops in the head of each answer."""

    random = random.Random(7)

    def answer(self):
        head = self.random.choice(HEADS)
        before = b"HTTP/1.1 100 Continue\r\n\r\n" if self.random.random() < 0.3 else b""
        return before + head[:self.random.randrange(1, len(head))]


def test_an_answer_cut_in_its_head_is_no_answer_of_an_entry(build, folders):
    with Fleet(build, folders, entries=1, engines=2, plains=2) as fleet:
        wait_linked(fleet)
        entry = fleet.entries[0]
        paths = (("GET", "/safe/a", fleet.plains), ("POST", "/once/a", fleet.plains), ("POST", "/stream/a", fleet.engines))
        for method, path, servers in paths:
            cut = before = sum(server.cut_heads for server in servers)
            # Servers whose answers were cut are left alone for a while.
            while cut < before + CUTS:
                for server in servers:
                    server.fault, server.faults_left = "cut_head", 1
                answer = fleet.call(entry, method, path)
                is_own = answer.is_whole and (answer.event_ids() == EVENTS if path == "/stream/a" else answer.body == b"answer to " + path.encode())
                assert answer.status != 200 or is_own, (answer.status, answer.headers, answer.body)
                cut = sum(server.cut_heads for server in servers)
                time.sleep(0.05)


def test_an_answer_cut_in_its_head_is_no_answer_of_an_agent(build, folders):
    """The same beside a backend server of the product's own interface."""
    with start(build, folders, engines=0, ledgers=1) as cluster:
        ledger = next(i for i in cluster.instances.values() if i.role == "agent")
        cluster.kill(ledger.backend)
        service = CuttingService(ledger.address, BACKEND_PORT)
        for number in range(CALLS):
            code, _, body = cluster.call(cluster.entries()[0], LEDGER, headers={"X-Call-Id": f"q{number}"})
            assert code == 502 and json.loads(body)["outcome"] == "unknown", (number, code, body)
        service.close()
        assert service.sent >= CALLS, service.sent
