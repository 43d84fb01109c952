# SPDX-License-Identifier: BSD-2-Clause
"""A TCP relay in front of a port, which a test can cut, freeze and restore."""

import selectors
import socket
import threading


class Relay:
    def __init__(self, address, port, target_port):
        self.address = address
        self.target = (address, target_port)
        self.listener = socket.create_server((address, port))
        self.is_cut = False
        self.is_frozen = False
        self.pairs = []
        self.lock = threading.Lock()
        self.is_stopped = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def cut(self):
        """Breaks all connections, and refuses new ones until restore()."""
        with self.lock:
            self.is_cut = True
            for pair in self.pairs:
                for end in pair:
                    end.close()
            self.pairs.clear()

    def freeze(self):
        """Carries nothing, but keeps the connections open, as a half-open link does."""
        self.is_frozen = True

    def restore(self):
        self.is_cut = False
        self.is_frozen = False

    def stop(self):
        self.is_stopped = True
        self.thread.join()
        self.listener.close()

    def accept(self):
        client, _ = self.listener.accept()
        if self.is_cut:
            client.close()
            return
        try:
            server = socket.create_connection(self.target)
        except OSError:
            client.close()
            return
        self.pairs.append((client, server))

    def pass_on(self, pair, source):
        other = pair[1] if source is pair[0] else pair[0]
        try:
            data = source.recv(65536)
            if data:
                other.sendall(data)
                return
        except OSError:
            pass
        for end in pair:
            end.close()
        if pair in self.pairs:
            self.pairs.remove(pair)

    def run(self):
        while not self.is_stopped:
            with self.lock:
                if not self.is_frozen:
                    self.turn()
            threading.Event().wait(0.001)

    def turn(self):
        with selectors.DefaultSelector() as selector:
            selector.register(self.listener, selectors.EVENT_READ, None)
            for pair in self.pairs:
                for end in pair:
                    selector.register(end, selectors.EVENT_READ, pair)
            for key, _ in selector.select(timeout=0.005):
                if key.data is None:
                    self.accept()
                elif key.data in self.pairs:
                    self.pass_on(key.data, key.fileobj)
