# SPDX-License-Identifier: BSD-2-Clause
"""A deployment on the users' protocol: the real programs as processes, and the stand-ins around them."""

import collections
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "Processes"))
from cluster import free_network, release_network, wait_until  # noqa: E402
from stand_ins import Engine, Loop, Origin, PlainService, Store, StoreDoor  # noqa: E402

CALLERS_PORT, READY_PORT, CONTROL_PORT, LINK_PORT, CHUNK_PORT = 8005, 8002, 8000, 7700, 7715
BACKEND_PORT, STORE_PORT = 8001, 8007
# The platform's bound on being in touch again after trouble, milliseconds.
CONTACT_MS = 3000
LLM, LEDGER, ORIGIN = "llm-1", "ledger-1", "origin-1"
MODEL, LAYERS, CHUNKS = "model-1", 4, 8
HOST = "host.example"
KEY, CUSTOMER = "key-1", "customer-1"
ZONES = {"zone-a": "region-a", "zone-b": "region-b"}


def route(name, prefix, kind, service, **more):
    return {"Name": name, "Host": HOST, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 8000, "TargetLatencyMs": 2000, "Priority": 1,
            "Service": service, "MaxAttempts": 2, "Public": False, **more}


def limits(**changes):
    """The part of a configuration that limits what callers may send."""
    return {"Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 100000, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000, **changes}}


def caller_fields(request_id, key, deadline_ms):
    """What a caller sends at the head of a request; without a key, no one is named."""
    fields = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": str(deadline_ms), "X-Token-Counts": "100,30"}
    if key:
        fields["Authorization"] = f"Bearer {key}"
    return fields


def answer_marks(answer):
    """The request that an answer belongs to, and the server's seal; None for one that it lacks."""
    return answer.getheader("X-Request-Id"), answer.getheader("X-Response-Seal")


class Answer:
    def __init__(self, status, headers, body, is_whole):
        self.status = status
        self.headers = {name.lower(): value for name, value in headers}
        self.body = body
        self.is_whole = is_whole

    def event_ids(self):
        return [int(line[3:]) for line in self.body.decode().splitlines() if line.startswith("id:")]


class Fleet:
    # Seconds between the signal to stop and the end of a process.
    grace_seconds = 8
    # Where entries listen for links and dial those of others, if not at the port of all processes: that of proxies before agents.
    entry_link_port = None

    def __init__(self, build, folders, entries=2, engines=3, plains=2, version_bound_ms=8000, contact_ms=CONTACT_MS):
        self.build = build
        # Processes that run another build, by identity.
        self.builds = {}
        # Time from the naming of a version within which engines must serve it.
        self.version_bound_ms = version_bound_ms
        # Time within which an entry is to be in touch again after trouble.
        self.contact_ms = contact_ms
        self.network = free_network()
        self.folder = tempfile.mkdtemp(prefix="mountbarrow-fleet-")
        folders.append(self.folder)
        self.loop = Loop()
        self.next_host = 2
        self.next_request = 1
        self.processes = {}
        # How often each process was started.
        self.starts = collections.Counter()
        self.doors = {}
        self.store = Store(self.loop)
        self.version = 0
        self.keys = [KEY]
        self.origin = Origin(self.loop, self.address(), BACKEND_PORT, MODEL, LAYERS, CHUNKS)
        self.engines = [self.add_engine(i, version=1) for i in range(engines)]
        self.plains = [PlainService(self.loop, self.address(), BACKEND_PORT, self.store, LEDGER, "zone-a") for _ in range(plains)]
        for server in self.engines + self.plains:
            server.enlist()
        self.configure()
        self.entries = [self.address() for _ in range(entries)]
        try:
            self.start_all()
        except BaseException:
            self.__exit__()
            raise

    def start_all(self):
        for entry in self.entries:
            self.start_entry(entry)
        for engine in self.engines:
            self.start_agent(engine)
        for entry in self.entries:
            self.wait_ready(entry)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for door in self.doors.values():
            door.close()
        for server in [self.origin, *self.engines, *self.plains]:
            server.close()
        self.loop.stop()
        release_network(self.network)

    def address(self):
        self.next_host += 1
        return f"{self.network}.0.{self.next_host}"

    def add_engine(self, number, version):
        engine = Engine(self.loop, self.address(), BACKEND_PORT, self.store, LLM, f"zone-{'ab'[number % 2]}", MODEL, LAYERS, CHUNKS, version)
        if version:
            engine.staged.fill(Origin.chunk(version, i) for i in range(CHUNKS))
        return engine

    @staticmethod
    def routes(**stream):
        """The routes of a configuration; what is given holds for the stream alone."""
        return [route("stream", "/stream/", "stream", LLM, **{"Resumable": True, "TargetGapMs": 400, **stream}), route("once", "/once/", "unsafe", LEDGER, MaxAttempts=1),
                route("safe", "/safe/", "safe", LEDGER), route("public", "/public/", "safe", LEDGER, Public=True)]

    def configure(self, **changes):
        """Writes the next configuration."""
        self.version += 3
        timing = {"Slots": 16, "Stride": 5, "Models": [{"Name": MODEL}], "step_ms": 8.9, "per_seq_ms": 0.04, "context_per_k": 0.02, "read_per_s": 19100.0,
                  "pairs_per_m": 1.5, "usual": {"prompt": 900, "answer": 90}, "layers": LAYERS, "Chunks": CHUNKS, "ChunkBytes": 256}
        configuration = {
            "Version": self.version,
            "Routes": self.routes(),
            "Services": [{"Name": LLM, "HealthPath": "/health", "MaxConns": 100, "Engine": timing}, {"Name": LEDGER, "HealthPath": "/health", "MaxConns": 100},
                         {"Name": ORIGIN, "Origin": f"{self.origin.address}:{self.origin.listed_port}", "Zone": "zone-a", "LinkMbps": 10.0, "MaxConns": 48}],
            **limits(), "Tenants": [{"Name": CUSTOMER, "ApiKeys": self.keys}], **changes}
        self.store.write("keyed.op", "config", configuration)

    def name_version(self, version):
        self.store.write("keyed.op", f"version/{MODEL}", {"Model": MODEL, "Version": version})

    def door(self, identity):
        if identity not in self.doors:
            self.doors[identity] = StoreDoor(self.loop, f"{self.network}.0.1", STORE_PORT + len(self.doors), self.store)
        return self.doors[identity]

    def common(self, identity, zone):
        door = self.door(identity)
        return {"identity": identity, "failure_domain": zone, "region": ZONES[zone], "regions": ZONES, "platform_address": f"{door.address}:{door.port}",
                "link_port": LINK_PORT, "key": "k", "seeds": [f"{entry}:{CONTROL_PORT}" for entry in getattr(self, "entries", [])][:3],
                "bounds": {"drain_ms": 2000, "grace_s": self.grace_seconds, "version_ms": self.version_bound_ms, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 100}}

    def start(self, program, identity, settings):
        path = os.path.join(self.folder, f"{identity}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.starts[identity] += 1
        with open(os.path.join(self.folder, f"{identity}.log"), "ab") as log, open(os.path.join(self.folder, f"{identity}.err"), "ab") as errors:
            self.processes[identity] = subprocess.Popen([os.path.join(self.builds.get(identity, self.build), program)], stdout=log, stderr=errors,
                                                        env={**os.environ, "MOUNTBARROW_SETTINGS": path, **self.environment(identity)})

    def environment(self, identity):
        """What a process's environment holds besides; subclasses say."""
        return {}

    def start_entry(self, identity):
        common = self.common(identity, "zone-a")
        common["bounds"]["contact_ms"] = self.contact_ms
        common["link_port"] = self.entry_link_port or common["link_port"]
        self.start("mountbarrow-direct-entry", identity, {**common, "callers_address": f"{identity}:{CALLERS_PORT}",
                   "readiness_address": f"{identity}:{READY_PORT}", "control_address": f"{identity}:{CONTROL_PORT}", "metrics_port": CHUNK_PORT,
                   "link_megabits_per_second": 1000.0})

    def start_agent(self, engine):
        self.start("mountbarrow-engine-agent", engine.address, {**self.common(engine.address, engine.zone), "engine_address": f"{engine.address}:{engine.port}",
                   "service": LLM, "chunk_port": CHUNK_PORT, "link_megabits_per_second": 100.0})

    def is_ready(self, entry):
        return self.call(entry, "GET", "/ready", port=READY_PORT).status == 200

    def wait_ready(self, entry):
        wait_until(lambda: self.is_ready(entry), f"{entry} to be ready")

    def call(self, entry, method, path, body=None, port=CALLERS_PORT, headers=None, key=KEY, request_id=None):
        """One caller's request over a connection of its own. Status 0: no answer came."""
        if request_id is None:
            request_id = f"r{self.next_request}"
            self.next_request += 1
        fields = {**caller_fields(request_id, key, 8000), **(headers or {})}
        connection = http.client.HTTPConnection(entry, port, timeout=30)
        try:
            connection.request(method, path, body=body, headers=fields)
            response = connection.getresponse()
        except (OSError, http.client.HTTPException):
            return Answer(0, [], b"", False)
        body, is_whole = b"", True
        try:
            body = response.read()
        except (OSError, http.client.HTTPException) as error:
            body, is_whole = getattr(error, "partial", b""), False
        connection.close()
        return Answer(response.status, response.getheaders(), body, is_whole)

    def raw(self, entry, data):
        """Sends bytes as they are, and returns all that comes back."""
        with socket.create_connection((entry, CALLERS_PORT), timeout=30) as connection:
            connection.sendall(data)
            text = b""
            while True:
                try:
                    part = connection.recv(65536)
                except ConnectionError:
                    return text
                if not part:
                    return text
                text += part

    def metric(self, entry, name):
        for line in self.call(entry, "GET", "/metrics", port=CHUNK_PORT).body.decode().splitlines():
            if line.startswith(name + " "):
                return float(line.split()[1])
        return 0

    def configuration_in_force(self, entry):
        """The version of the configuration that an entry goes by, as its metrics tell it."""
        return int(self.metric(entry, "mountbarrow_configuration_version"))

    def runs(self, request_id, servers=None):
        return sum(1 for server in servers or self.engines + self.plains for run in server.runs if run[0] == request_id)

    def pause(self, identity):
        self.processes[identity].send_signal(signal.SIGSTOP)

    def go_on(self, identity):
        self.processes[identity].send_signal(signal.SIGCONT)

    def terminate(self, identity):
        self.processes[identity].send_signal(signal.SIGTERM)

    def pause(self, identity):
        self.processes[identity].send_signal(signal.SIGSTOP)

    def resume(self, identity):
        self.processes[identity].send_signal(signal.SIGCONT)

    def kill(self, identity):
        self.processes[identity].kill()
        self.processes[identity].wait()

    def log_lines(self, identity):
        with open(os.path.join(self.folder, f"{identity}.log"), encoding="utf-8") as file:
            # The last line may be on its way.
            return [json.loads(line) for line in file if line.endswith("\n")]

    def times_logged(self, identity, event, **fields):
        return sum(line.get("event") == event and all(line.get(name) == value for name, value in fields.items()) for line in self.log_lines(identity))
