# SPDX-License-Identifier: BSD-2-Clause
"""An engine's staging area, with the history of each chunk, so that each load can be judged by what it took."""

import collections
import time

# A load may take a chunk that turned bad this recently.
ALLOWED_BAD_SECONDS = 3.0

# A chunk that a load took wrongly: "missing", "other" (as it was written, but not of the version) or "corrupt" (it turned bad by itself),
# and for how many seconds it had been so.
BadChunk = collections.namedtuple("BadChunk", "chunk kind seconds")


class StagedChunk:
    def __init__(self, data, since, written=None):
        self.data = data
        self.since = since
        # The bytes before they turned bad; None if they did not.
        self.written = written

    @property
    def is_corrupt(self):
        return self.written is not None


class StagingArea:
    """What is staged beside one engine. Each chunk keeps when it came to be as it is, and whether it turned bad by itself."""

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.chunks = {}

    def put(self, number, data):
        self.chunks[number] = StagedChunk(data, self.clock())

    def get(self, number):
        chunk = self.chunks.get(number)
        return chunk.data if chunk else None

    def fill(self, chunks):
        """Stages all chunks of a version, as they are at an engine of the start."""
        for number, data in enumerate(chunks):
            self.put(number, data)

    def corrupt(self, number):
        """A chunk turns bad by itself; one that is bad already has been so since then."""
        chunk = self.chunks.get(number)
        if chunk and not chunk.is_corrupt:
            self.chunks[number] = StagedChunk(bytes(byte ^ 0x55 for byte in chunk.data), self.clock(), written=chunk.data)

    def lose(self):
        """A loss of power."""
        self.chunks = {}

    def judge(self, right, numbers):
        """The chunks among `numbers` that a load taken now takes wrongly. `right` holds the version's chunks in order."""
        bad = []
        for number in numbers:
            chunk = self.chunks.get(number)
            if chunk is None:
                bad.append(BadChunk(number, "missing", None))
            elif (chunk.written if chunk.is_corrupt else chunk.data) != right[number]:
                bad.append(BadChunk(number, "other", self.clock() - chunk.since))
            elif chunk.is_corrupt and self.clock() - chunk.since > ALLOWED_BAD_SECONDS:
                bad.append(BadChunk(number, "corrupt", self.clock() - chunk.since))
        return bad
