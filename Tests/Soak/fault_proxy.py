# SPDX-License-Identifier: BSD-2-Clause
"""A loopback proxy that delays, resets, silences or cuts one way the connections that run through it.

The connections of a moment can also fall silent for good, without a reset, while new ones work.
"""

import asyncio
import socket
import struct

# What a connection may meet; the empty mode carries everything.
MODES = ("delay", "reset", "silent", "only_requests", "only_answers")
DELAY_SECONDS = 0.15


class FaultProxy:
    def __init__(self, loop, address, port, target_port):
        self.loop = loop
        self.address = address
        self.port = port
        self.target_port = target_port
        self.mode = ""
        self.writers = set()
        # Connections are numbered; those up to `silent_up_to` carry nothing any more.
        self.taken = 0
        self.silent_up_to = 0
        self.is_closed = asyncio.Event()
        self.server = loop.run(asyncio.start_server(self.serve, address, port, reuse_address=True))

    def set_mode(self, mode):
        self.mode = mode
        if mode == "reset":
            self.loop.loop.call_soon_threadsafe(self.reset_all)

    def silence_open(self):
        self.silent_up_to = self.taken

    def reset_all(self):
        for writer in list(self.writers):
            self.reset(writer)

    @staticmethod
    def reset(writer):
        sock = writer.get_extra_info("socket")
        if sock and sock.fileno() >= 0:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    def close(self):
        async def end():
            self.server.close()
            self.is_closed.set()
            self.reset_all()
        self.loop.run(end())

    async def serve(self, reader, writer):
        if self.mode == "reset":
            self.reset(writer)
            return
        try:
            server_reader, server_writer = await asyncio.open_connection(self.address, self.target_port)
        except OSError:
            self.reset(writer)
            return
        self.writers |= {writer, server_writer}
        self.taken += 1
        number = self.taken
        try:
            await asyncio.gather(self.carry(number, reader, server_writer, "only_answers"), self.carry(number, server_reader, writer, "only_requests"))
        except (ConnectionError, OSError):
            self.reset(writer)
            self.reset(server_writer)
        finally:
            self.writers -= {writer, server_writer}
            writer.close()
            server_writer.close()

    async def carry(self, number, reader, writer, blocking_mode):
        """Passes bytes on, but for the modes that hold this way up. A silent connection does not even tell its end."""
        while data := await reader.read(65536):
            while self.mode in ("silent", blocking_mode):
                await asyncio.sleep(0.02)
            if number <= self.silent_up_to:
                break
            if self.mode == "delay":
                await asyncio.sleep(DELAY_SECONDS)
            writer.write(data)
            await writer.drain()
        if number <= self.silent_up_to:
            await self.is_closed.wait()
            return
        writer.write_eof()
