# SPDX-License-Identifier: BSD-2-Clause
"""Starts a whole deployment as plain processes on loopback addresses, each instance with its own IP number."""

import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

# Nothing else binds it; its sockets are kept until the network is released.
CLAIM_PORT = 64999
CLAIMS = {}
HTTP_PORT = 8001
LINK_PORT = 8002
BACKEND_PORT = 8003
# Only ends a hang: no test judges how long something took.
HANG_SECONDS = 60
# A listener that takes part in no new handshake does not answer.
PROBE_SECONDS = 0.2


def free_network():
    """A 127.X network of this process's own until release_network(): the port that claims it stays bound, so runs beside each other never
    share one."""
    while True:
        network = f"127.{random.SystemRandom().randint(10, 250)}"
        claim = socket.socket()
        try:
            claim.bind((f"{network}.0.1", CLAIM_PORT))
            # A process that was left over may listen without a claim.
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind((f"{network}.0.1", HTTP_PORT))
        except OSError:
            claim.close()
            continue
        CLAIMS[network] = claim
        return network


def release_network(network):
    """Lets other runs use a network on which nothing runs any more. There are fewer networks than two runs have tests."""
    claim = CLAIMS.pop(network, None)
    if claim:
        claim.close()


def wait_until(condition, what, seconds=HANG_SECONDS):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        result = condition()
        if result:
            return result
        time.sleep(0.05)
    raise AssertionError(f"waited in vain for: {what}")


def last_connection_before_the_listener_closes(address, port):
    """One of the last connections that a stopping process took; nothing was sent on it yet."""
    last = None
    while True:
        try:
            connection = socket.create_connection((address, port), timeout=PROBE_SECONDS)
        except OSError:
            last.settimeout(HANG_SECONDS)
            return last
        if last:
            last.close()
        last = connection
        time.sleep(0.01)


def http(method, url, body=None, headers=None, timeout=20):
    """The status, headers and body of an answer; status 0 if there was none."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, dict(answer.headers), answer.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()
    except Exception as error:  # A broken connection, a refused one, a time-out.
        return 0, {}, str(error).encode()


def process_seconds(process):
    """Processor time that a process has used."""
    with open(f"/proc/{process.pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def process_kb(process, field="VmRSS"):
    """Memory of a process in KB: VmRSS now, VmHWM at its peak."""
    with open(f"/proc/{process.pid}/status", encoding="utf-8") as file:
        return next((int(line.split()[1]) for line in file if line.startswith(field)), 0)


class Instance:
    def __init__(self, identity, role, service, address, domain, region):
        self.identity = identity
        self.role = role
        self.service = service
        self.address = address
        self.domain = domain
        self.region = region
        self.process = None
        self.backend = None
        # What the daemon's environment holds besides.
        self.environment = None

    def row(self, state="live"):
        return {"id": self.identity, "role": self.role, "service": self.service, "address": self.address,
                "link_port": LINK_PORT, "http_port": HTTP_PORT, "failure_domain": self.domain,
                "region": self.region, "state": state}


class Cluster:
    def __init__(self, build, **platform):
        self.build = build
        self.network = free_network()
        self.folder = tempfile.mkdtemp(prefix="mountbarrow-")
        self.instances = {}
        self.processes = []
        self.next_host = 2
        self.token = "operator-token"
        self.write("keys", "first-shared-key\n")
        self.write("tokens.json", json.dumps({self.token: "operator", "reader-token": "reader"}))
        self.write("token", self.token + "\n")
        self.platform_address = f"{self.network}.0.1"
        arguments = ["--address", self.platform_address, "--port", str(HTTP_PORT)]
        for key, value in platform.items():
            arguments += ["--" + key.replace("_", "-"), str(value)]
        self.platform = self.start("mountbarrow-fake-platform", arguments)
        self.wait_http(self.platform_address, HTTP_PORT)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    def write(self, name, text):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def start(self, program, arguments, environment=None):
        log = open(os.path.join(self.folder, f"{program}.{len(self.processes)}.err"), "wb")
        process = subprocess.Popen([os.path.join(self.build, program), *arguments], stdout=log, stderr=log, env={**os.environ, **(environment or {})})
        self.processes.append(process)
        return process

    def wait_http(self, address, port):
        def is_open():
            with socket.socket() as probe:
                return probe.connect_ex((address, port)) == 0
        wait_until(is_open, f"{address}:{port} to listen")

    def next_address(self):
        host = self.next_host
        self.next_host += 1
        return f"{self.network}.{host // 250}.{host % 250}"

    def platform_url(self, path):
        return f"http://{self.platform_address}:{HTTP_PORT}{path}"

    def faults(self, **faults):
        status, _, body = http("POST", self.platform_url("/faults"), json.dumps(faults))
        assert status == 200, body

    def backend_faults(self, instance, **faults):
        status, _, body = http("POST", f"http://{instance.address}:{BACKEND_PORT}/faults", json.dumps(faults))
        assert status == 200, body

    def list_instance(self, instance, state="live"):
        http("PUT", self.platform_url("/instances/" + instance.identity), json.dumps(instance.row(state)))

    def unlist(self, instance):
        http("DELETE", self.platform_url("/instances/" + instance.identity))

    def common_settings(self, instance, settings):
        return {"identity": instance.identity, "address": instance.address, "http_port": HTTP_PORT,
                "failure_domain": instance.domain, "region": instance.region,
                "platform_address": self.platform_address, "platform_port": HTTP_PORT,
                "key_file": os.path.join(self.folder, "keys"),
                "log_file": os.path.join(self.folder, instance.identity + ".log"), **settings}

    def add_entry(self, identity, domain="d0", region="r0", environment=None, **settings):
        instance = Instance(identity, "entry", "", self.next_address(), domain, region)
        instance.environment = environment
        self.instances[identity] = instance
        values = self.common_settings(instance, {"tokens_file": os.path.join(self.folder, "tokens.json"), **settings})
        instance.settings = self.write(identity + ".json", json.dumps(values))
        self.start_daemon(instance)
        self.list_instance(instance)
        return instance

    def add_agent(self, identity, service, kind="engine", domain="d0", region="r0", backend=(), wait=True, **settings):
        instance = Instance(identity, "agent", service, self.next_address(), domain, region)
        self.instances[identity] = instance
        instance.backend_arguments = ["--address", instance.address, "--port", str(BACKEND_PORT), *backend]
        if kind == "plain":
            instance.backend_arguments.append("--plain")
        self.start_backend(instance)
        values = self.common_settings(instance, {
            "link_port": LINK_PORT, "service": service, "backend_address": instance.address,
            "backend_port": BACKEND_PORT, "backend_kind": kind, **settings})
        instance.settings = self.write(identity + ".json", json.dumps(values))
        self.start_daemon(instance, wait)
        self.list_instance(instance)
        return instance

    def start_backend(self, instance):
        instance.backend = self.start("mountbarrow-fake-engine", instance.backend_arguments)

    def start_daemon(self, instance, wait=True):
        instance.process = self.start("mountbarrow-" + instance.role, ["--settings", instance.settings], instance.environment)
        if wait:
            self.wait_http(instance.address, HTTP_PORT)

    def kill(self, process):
        process.send_signal(signal.SIGKILL)
        process.wait()

    def kill_instance(self, instance):
        self.kill(instance.process)
        if instance.backend:
            self.kill(instance.backend)

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        release_network(self.network)

    # What an operator does.

    def entry_url(self, entry, path):
        return f"http://{entry.address}:{HTTP_PORT}{path}"

    def entries(self):
        return [i for i in self.instances.values() if i.role == "entry" and i.process.poll() is None]

    def api(self, method, path, body=None, entry=None, token=None):
        entry = entry or self.entries()[0]
        headers = {"Authorization": "Bearer " + (token or self.token)}
        status, _, answer = http(method, self.entry_url(entry, "/api/v1/" + path), body, headers)
        try:
            return status, json.loads(answer)
        except ValueError:
            return status, answer

    def put(self, kind, name, spec, expected=-1, entry=None):
        status, answer = self.api("PUT", f"{kind}/{name}?expected_revision={expected}", json.dumps(spec), entry)
        assert status == 200, (status, answer)
        return answer["revision"]

    def create_model(self, model, version, chunks, chunk_bytes, seed, shared=0):
        status, _, body = http("POST", self.platform_url("/models"), json.dumps({
            "model": model, "version": version, "chunk_count": chunks, "chunk_bytes": chunk_bytes,
            "seed": seed, "shared_chunks": shared}))
        assert status == 200, body
        spec = json.loads(body)
        self.put("version", f"{model}@{version}", spec)
        return spec

    def rollout_status(self, name, entry=None):
        status, answer = self.api("GET", f"rollout/{name}", entry=entry)
        return answer.get("status", {}) if status == 200 else {}

    def wait_ready(self, name, count, seconds=HANG_SECONDS, revision=None):
        def is_ready():
            status = self.rollout_status(name)
            is_right = revision is None or status.get("revision") == revision
            return status if is_right and status.get("ready", 0) >= count else None
        return wait_until(is_ready, f"{count} replicas of {name}", seconds)

    def report(self, instance):
        status, _, body = http("GET", f"http://{instance.address}:{HTTP_PORT}/report", timeout=2)
        return json.loads(body) if status == 200 else {}

    def metrics(self, instance):
        status, _, body = http("GET", f"http://{instance.address}:{HTTP_PORT}/metrics", timeout=5)
        values = {}
        if status == 200:
            for line in body.decode().splitlines():
                if line and not line.startswith("#"):
                    key, _, value = line.rpartition(" ")
                    values[key] = float(value)
        return values

    def origin_bytes(self):
        return json.loads(http("GET", self.platform_url("/origin/stats"))[2])["origin_bytes"]

    # What a caller does.

    def chat(self, entry, service, model, text="hello", headers=None, timeout=20):
        body = json.dumps({"model": model, "stream": True, "messages": [{"role": "user", "content": text}]})
        return http("POST", self.entry_url(entry, f"/{service}/v1/chat/completions"), body, headers, timeout)

    def call(self, entry, service, path="/redeem", headers=None, timeout=20):
        return http("POST", self.entry_url(entry, f"/{service}{path}"), "{}", headers, timeout)

    def runs(self, instance):
        return json.loads(http("GET", f"http://{instance.address}:{BACKEND_PORT}/runs")[2])

    def load(self, arguments, entries=None):
        """Starts mountbarrow-load against all entries; finish_load() gives its report."""
        command = [os.path.join(self.build, "mountbarrow-load")]
        for entry in entries or self.entries():
            command += ["--entry", f"{entry.address}:{HTTP_PORT}"]
        process = subprocess.Popen(command + [str(a) for a in arguments], stdout=subprocess.PIPE)
        self.processes.append(process)
        return process


def finish_load(process):
    output, _ = process.communicate()
    return json.loads(output)
