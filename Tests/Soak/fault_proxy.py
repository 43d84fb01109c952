# SPDX-License-Identifier: BSD-2-Clause
"""A loopback proxy that delays, resets, silences or cuts one way the connections that run through it."""

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
        self.delay_seconds = DELAY_SECONDS
        self.writers = set()
        # Ends of connections that carry nothing for good, not even their end.
        self.silenced = set()
        self.closed = asyncio.Event()
        self.server = None
        loop.run(self.listen())

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port, reuse_address=True)

    def stop_listening(self):
        """What it leads to is gone: connections are reset, and new ones refused."""
        self.server.close()
        self.reset_all()

    def set_mode(self, mode):
        self.mode = mode
        if mode == "reset":
            self.loop.loop.call_soon_threadsafe(self.reset_all)

    def silence_open(self):
        """All connections of now fall silent for good, without a reset; new ones work. Returns how many there are."""
        async def silence():
            self.silenced |= self.writers
            return len(self.writers) // 2
        return self.loop.run(silence())

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
            self.closed.set()
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
        try:
            await asyncio.gather(self.carry(reader, server_writer, "only_answers"), self.carry(server_reader, writer, "only_requests"))
        except (ConnectionError, OSError):
            await self.pass_unless_silenced(writer)
            self.reset(writer)
            self.reset(server_writer)
        finally:
            self.writers -= {writer, server_writer}
            writer.close()
            server_writer.close()

    async def carry(self, reader, writer, blocking_mode):
        """Passes bytes on, but for the modes that hold this way up."""
        while data := await reader.read(65536):
            while self.mode in ("silent", blocking_mode):
                await asyncio.sleep(0.02)
            if self.mode == "delay":
                await asyncio.sleep(self.delay_seconds)
            await self.pass_unless_silenced(writer)
            writer.write(data)
            await writer.drain()
        await self.pass_unless_silenced(writer)
        writer.write_eof()

    async def pass_unless_silenced(self, writer):
        """Nothing more gets through a connection that was silenced, not even its end."""
        if writer in self.silenced:
            await self.closed.wait()
