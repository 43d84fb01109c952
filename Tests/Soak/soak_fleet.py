# SPDX-License-Identifier: BSD-2-Clause
"""The deployment of a soak: each process with a time of day of its own, and proxies on all ways that can be led through one."""

import asyncio
import os
import signal
import struct
import time

from fault_proxy import FaultProxy
from fleet import LINK_PORT, Fleet

PROXY_PORT = 8021
# How programs end their names that are linked to a time of day of the soak's.
STEPPING = "-stepping"
NANOSECONDS = 10 ** 9
# Megabytes that the users' platform allows a process.
MEMORY_LIMITS = {"entry": 260, "agent": 128}


class StandstillWatch:
    """Notices when the stand-ins' own loop stood still, as it may on a busy machine: to the product all servers fell silent."""

    look_seconds = 0.05
    still_seconds = 0.25

    def __init__(self, loop):
        self.loop = loop
        self.spans = []
        self.looks = 0
        self.task = asyncio.run_coroutine_threadsafe(self.watch(), loop.loop)

    async def watch(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(self.look_seconds)
            now = time.monotonic()
            self.looks += 1
            if now - before > self.look_seconds + self.still_seconds:
                self.spans.append((before, now))

    def close(self):
        self.task.cancel()
        # The loop is stopped next; until then the task takes note.
        self.loop.run(asyncio.sleep(self.look_seconds))


def is_sanitized(pid):
    with open(f"/proc/{pid}/maps", encoding="utf-8") as file:
        return "libasan" in file.read()


def peak_megabytes(pid):
    """The most resident memory that a process ever had; 0 if it is gone."""
    try:
        with open(f"/proc/{pid}/status", encoding="utf-8") as file:
            return next((int(line.split()[1]) / 1024 for line in file if line.startswith("VmHWM")), 0)
    except OSError:
        return 0


class SoakFleet(Fleet):
    entry_link_port = LINK_PORT + 1

    def __init__(self, build, folders, has_clocks, **shape):
        self.has_clocks = has_clocks
        self.server_proxies, self.link_proxies, self.origin_proxy, self.standstills = {}, {}, None, None
        # What each process's clocks were told: (offset, drift, since when, suspended), nanoseconds.
        self.clocks = {}
        super().__init__(build, folders, **shape)
        self.server_proxies = {server.address: self.put_proxy_before(server) for server in self.engines + self.plains}
        self.link_proxies = {engine.address: FaultProxy(self.loop, engine.address, self.entry_link_port, LINK_PORT) for engine in self.engines}
        self.origin.listed_port = PROXY_PORT
        self.origin_proxy = FaultProxy(self.loop, self.origin.address, PROXY_PORT, self.origin.port)
        self.standstills = StandstillWatch(self.loop)
        self.configure()

    def __exit__(self, *details):
        if self.standstills:
            self.standstills.close()
        for proxy in self.proxies():
            proxy.close()
        super().__exit__(*details)

    def proxies(self):
        return [*self.server_proxies.values(), *self.link_proxies.values(), *filter(None, [self.origin_proxy])]

    def put_proxy_before(self, server):
        """From now on callers of the server are led through a proxy; its agent is not."""
        server.listed_port = PROXY_PORT
        server.enlist()
        server.proxy = FaultProxy(self.loop, server.address, PROXY_PORT, server.port)
        return server.proxy

    def clock_path(self, identity):
        return os.path.join(self.folder, f"{identity}.clock")

    def set_clock(self, identity, offset_seconds, drift_share=0.0):
        """Moves a process's time of day; it then runs faster by a share."""
        suspended = self.clocks.get(identity, (0, 0, 0, 0))[3]
        self.write_clock(identity, (int(offset_seconds * NANOSECONDS), int(drift_share * NANOSECONDS), time.time_ns(), suspended))

    def write_clock(self, identity, clock):
        """Replaces a process's clocks in one step, as it may read them at any moment."""
        self.clocks[identity] = clock
        with open(self.clock_path(identity) + ".new", "wb") as file:
            file.write(struct.pack("<qqqq", *clock))
        os.replace(self.clock_path(identity) + ".new", self.clock_path(identity))

    def suspend(self, identity):
        """Stops a process until wake_up(): to its steady clock that time does not pass."""
        self.processes[identity].send_signal(signal.SIGSTOP)
        return time.monotonic_ns()

    def wake_up(self, identity, since):
        offset, drift, drifts_since, suspended = self.clocks.get(identity, (0, 0, 0, 0))
        self.write_clock(identity, (offset, drift, drifts_since, suspended + time.monotonic_ns() - since))
        self.processes[identity].send_signal(signal.SIGCONT)

    def environment(self, identity):
        return {"SOAK_CLOCK": self.clock_path(identity)} if self.has_clocks else {}

    def start(self, program, identity, settings):
        """With clocks of their own, processes run the same programs, linked to a time of day that the soak sets."""
        super().start(program + (STEPPING if self.has_clocks else ""), identity, settings)

    def role(self, identity):
        return "entry" if identity in self.entries else "agent"

    def write_raw_configuration(self, body):
        """A record in the configuration's place that is no configuration of ours."""
        async def append():
            self.store.topics["keyed.op"].append(("config", body))
            self.store.changed.set()
            self.store.changed = type(self.store.changed)()
        self.loop.run(append())
