# SPDX-License-Identifier: BSD-2-Clause
"""Callers outside the limits: many connections at once, most of which never finish what they began to send."""

import os
import selectors
import socket
import time

# Once nothing could be sent on any connection for so long, the process takes no more of it.
QUIET_SECONDS = 1.5
# Only ends a hang.
HANG_SECONDS = 120
SEND_BYTES = 65536


class Crowd:
    """Connections to one address, each with what is sent on it, which are kept open until the crowd is closed."""

    def __init__(self, address, port, payloads):
        self.left = {}
        self.closed = 0
        self.address, self.port = address, port
        for payload in payloads:
            connection = socket.socket()
            connection.settimeout(10)
            try:
                connection.connect((address, port))
            except OSError:
                self.closed += 1
                connection.close()
                continue
            connection.setblocking(False)
            self.left[connection] = memoryview(payload)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for connection in self.left:
            connection.close()

    def send(self):
        """Sends until all is sent, or the process takes no more of it. Reads no answers."""
        selector = selectors.DefaultSelector()
        for connection, data in self.left.items():
            if data:
                selector.register(connection, selectors.EVENT_WRITE)
        last_sent = time.monotonic()
        hang = last_sent + HANG_SECONDS
        while selector.get_map() and time.monotonic() - last_sent < QUIET_SECONDS:
            assert time.monotonic() < hang, "the crowd is still sending"
            for key, _ in selector.select(0.1):
                connection = key.fileobj
                try:
                    sent = connection.send(self.left[connection][:SEND_BYTES])
                except BlockingIOError:
                    continue
                except OSError:
                    sent, self.left[connection] = 0, memoryview(b"")
                    self.closed += 1
                if sent:
                    last_sent = time.monotonic()
                    self.left[connection] = self.left[connection][sent:]
                if not self.left[connection]:
                    selector.unregister(connection)
        selector.close()
        self.wait_until_read()

    def unread_bytes(self):
        """What lies in the system's buffers and the process has not read, of all its connections at the port."""
        local = f"{int.from_bytes(socket.inet_aton(self.address), 'little'):08X}:{self.port:04X}"
        with open("/proc/net/tcp", encoding="ascii") as file:
            return sum(int(fields[4].split(":")[1], 16) for fields in map(str.split, file) if fields[1] == local)

    def wait_until_read(self):
        """Waits until the process has read all, or reads no more."""
        unread, last_read = self.unread_bytes(), time.monotonic()
        hang = last_read + HANG_SECONDS
        while unread and time.monotonic() - last_read < QUIET_SECONDS:
            assert time.monotonic() < hang, "the process is still reading"
            time.sleep(0.05)
            now_unread = self.unread_bytes()
            if now_unread < unread:
                last_read = time.monotonic()
            unread = now_unread


def descriptors(pid):
    return len(os.listdir(f"/proc/{pid}/fd"))


def megabytes(pid, field):
    """A field of the process's status, such as VmRSS, or VmHWM, its highest value so far."""
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        return next(int(line.split()[1]) for line in file if line.startswith(field)) / 1024


class Bounds:
    """Checks that a process lives, and how many megabytes and descriptors more than before a crowd it took at most."""

    def __init__(self, process, most_megabytes, most_descriptors):
        self.process = process
        self.most_megabytes, self.most_descriptors = most_megabytes, most_descriptors
        self.megabytes, self.descriptors = megabytes(process.pid, "VmRSS"), descriptors(process.pid)

    def check(self, what):
        assert self.process.poll() is None, f"{what}: the process ended"
        more_megabytes = megabytes(self.process.pid, "VmHWM") - self.megabytes
        more_descriptors = descriptors(self.process.pid) - self.descriptors
        assert more_megabytes < self.most_megabytes, f"{what}: {more_megabytes:.0f} MB more"
        assert more_descriptors < self.most_descriptors, f"{what}: {more_descriptors} descriptors more"


def with_length(head, size, sent):
    """A request with a body of this size, of which so much is sent."""
    return head + f"Content-Length: {size}\r\n\r\n".encode() + b"x" * sent


def in_chunks(head, size, chunk):
    """A request with a body of this size in chunks, without the last chunk."""
    piece = f"{chunk:x}\r\n".encode() + b"x" * chunk + b"\r\n"
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + piece * (size // chunk)
