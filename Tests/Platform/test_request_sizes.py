# SPDX-License-Identifier: BSD-2-Clause
"""More callers than engines can serve, with prompts of very different lengths."""

import asyncio
import random

from explain_sizes import GROUPS, LARGEST, NEXT, group, share_served
from fleet import BACKEND_PORT, CALLERS_PORT, CHUNKS, HOST, KEY, LAYERS, LEDGER, LLM, MODEL, Fleet, Origin, route
from stand_ins import Engine
from test_direct_path import wait_linked

ENGINES, SLOTS, EVENTS, EVENT_SECONDS = 4, 8, 5, 0.05
TOKENS_PER_EVENT, PROMPT_TOKENS_PER_SECOND = 5, 12000
OBJECTIVE_MS, PAUSE_OBJECTIVE_MS, DEADLINE_MS = 500, 400, 4000
REQUESTS, REQUESTS_PER_SECOND = 3600, 150
# The median of the prompts' lengths, and the standard deviation of their logarithm: the largest tenth is some four times as long.
MEDIAN_PROMPT, SPREAD, LONGEST_PROMPT = 600, 0.8, 5000
# How often the largest requests are to be served at least, as a share of how often all are.
LEAST_RATIO = 0.7


class ReadingEngine(Engine):
    """Reads one prompt after the other, at a cost by its length; requests that find no slot wait within it."""

    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        self.slots = SLOTS
        self.events, self.event_seconds = EVENTS, EVENT_SECONDS
        self.free_slots, self.is_reading = asyncio.Semaphore(SLOTS), asyncio.Lock()

    async def stream(self, request):
        self.waiting += 1
        try:
            await self.free_slots.acquire()
        finally:
            self.waiting -= 1
        try:
            await self.read_prompt(request)
            return await super().stream(request)
        finally:
            self.free_slots.release()

    async def read_prompt(self, request):
        self.running += 1
        try:
            async with self.is_reading:
                await asyncio.sleep(int(request.headers["x-token-counts"].split(",")[0]) / PROMPT_TOKENS_PER_SECOND)
        finally:
            self.running -= 1


class Overload:
    """Callers that arrive at a steady rate, whatever becomes of those before them, and don't come back."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        # (prompt tokens, whether the answer came whole, status) of each request.
        self.requests = []

    async def play(self):
        tasks = []
        for number in range(REQUESTS):
            tokens = min(LONGEST_PROMPT, int(self.random.lognormvariate(0, SPREAD) * MEDIAN_PROMPT))
            tasks.append(asyncio.create_task(self.ask(number, tokens)))
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)
        await asyncio.gather(*tasks)

    async def ask(self, number, tokens):
        reader, writer = await asyncio.open_connection(self.fleet.entries[number % len(self.fleet.entries)], CALLERS_PORT)
        writer.write(f"POST /stream/{number} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: size-{number}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n"
                     f"X-Token-Counts: {tokens},{EVENTS * TOKENS_PER_EVENT}\r\nAuthorization: Bearer {KEY}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n".encode())
        answer = await reader.read(-1)
        writer.close()
        status = int(answer.split(b" ", 2)[1])
        self.requests.append((tokens, status == 200 and answer.count(b"data:") == EVENTS, status))


class OverloadedFleet(Fleet):
    def add_engine(self, number, version):
        engine = ReadingEngine(self.loop, self.address(), BACKEND_PORT, self.store, LLM, f"zone-{'ab'[number % 2]}", MODEL, LAYERS, CHUNKS, version)
        engine.staged.fill(Origin.chunk(version, i) for i in range(CHUNKS))
        return engine

    @staticmethod
    def routes(**stream):
        return [route("stream", "/stream/", "stream", LLM, Resumable=True, TargetLatencyMs=OBJECTIVE_MS, TargetGapMs=PAUSE_OBJECTIVE_MS)]

    def configure(self, **changes):
        timing = {"Slots": SLOTS, "Stride": TOKENS_PER_EVENT, "Models": [{"Name": MODEL}], "step_ms": 1000 * EVENT_SECONDS / TOKENS_PER_EVENT, "per_seq_ms": 0.0, "context_per_k": 0.0,
                  "read_per_s": float(PROMPT_TOKENS_PER_SECOND), "pairs_per_m": 0.0, "usual": {"prompt": 800, "answer": EVENTS * TOKENS_PER_EVENT}, "layers": LAYERS, "Chunks": CHUNKS,
                  "ChunkBytes": 256}
        services = [{"Name": LLM, "HealthPath": "/health", "MaxConns": 100, "Engine": timing}, {"Name": LEDGER, "HealthPath": "/health", "MaxConns": 100}]
        super().configure(**{"Services": services, **changes})


# Long prompts were late as soon as their own prefill did not fit in the objective, waited behind all that was in time, and were refused.
def test_large_requests_are_served_as_often_as_others_under_overload(build, folders):
    with OverloadedFleet(build, folders, entries=2, engines=ENGINES, plains=0) as fleet:
        wait_linked(fleet)
        overload = Overload(fleet, 77)
        asyncio.run(overload.play())
        served = share_served(overload.requests)
        parts = {name: share_served(group(overload.requests, name)) for name in GROUPS}
        print(f"served {served:.3f}: {parts}")
        assert 0.2 < served < 0.8, "no overload, or nothing is served"
        for name in (LARGEST, NEXT):
            assert parts[name] >= LEAST_RATIO * served, f"{name}: {parts[name]:.3f} of {served:.3f}"
