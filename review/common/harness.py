# SPDX-License-Identifier: BSD-2-Clause
"""What the cases of this folder share: the project's programs, started as deploy/system.toml says, beside the project's own stand-ins.

The stand-ins are those of Tests/Platform. Their settings files are not used: the templates of deploy/ are filled in here, from the
fields that the users' platform gives each process.
"""

import contextlib
import json
import os
import re
import shutil
import signal
import subprocess
import sys
import threading
import time
import tomllib
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.dont_write_bytecode = True
sys.path[:0] = [os.path.join(ROOT, "Tests", "Platform"), os.path.join(ROOT, "Tests", "Processes")]

import fleet as project  # noqa: E402
from fleet import CALLERS_PORT, CHUNK_PORT, CONTROL_PORT, HOST, KEY, LINK_PORT, READY_PORT, ZONES, Fleet, limits, route, wait_until  # noqa: E402,F401

HELD, BROKEN, NOT_RUN = 0, 1, 2
TIME_LIMIT_SECONDS = 110
GRACE_SECONDS = 8
DRAIN_SECONDS = 2
RECOVERY_SECONDS = 12
STREAM_DEADLINE_MS = 6000
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def value_of(fields, path):
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def filled(text, fields):
    """A template of deploy/, as DEPLOY.md says that the platform fills it."""
    def section(match):
        value = value_of(fields, match[1])
        if not isinstance(value, list):
            return filled(match[2], fields) if value else ""
        parts = []
        for i, entry in enumerate(value):
            part = match[2].replace("{{.}}", str(entry)).replace("{{,}}", "," if i + 1 < len(value) else "")
            parts.append(part)
        return "".join(parts)

    def gap(match):
        value = value_of(fields, match[1])
        if match[2] or isinstance(value, (dict, bool)):
            return json.dumps(value)
        if isinstance(value, list):
            return ",".join(str(each) for each in value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", gap, text)


class Record:
    """A case's record: what was sent, answered and run, in order, with the seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, event, /, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} {event} {text}".rstrip() + "\n")
            self.file.flush()


class ReviewFleet(Fleet):
    """The project's fleet of stand-ins, with the programs and settings of the deploy file."""

    def start_role(self, role, identity, fields):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            deployed = tomllib.load(file)["roles"][role]
        with open(os.path.join(ROOT, deployed["template"]), encoding="utf-8") as file:
            text = filled(file.read(), fields)
        path = os.path.join(self.folder, f"{identity}.conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        self.starts[identity] += 1
        with open(os.path.join(self.folder, f"{identity}.log"), "ab") as log, open(os.path.join(self.folder, f"{identity}.err"), "ab") as errors:
            self.processes[identity] = subprocess.Popen(deployed_command(deployed["run"]), cwd=ROOT, stdout=log, stderr=errors,
                                                        env={"PATH": os.environ["PATH"], "MOUNTBARROW_SETTINGS": path})
        STARTED.append(self.processes[identity])

    def fields(self, identity, zone):
        door = self.door(identity)
        return {
            "Ip": identity, "Zone": zone, "Region": ZONES[zone], "Zones": ZONES, "PortRange": [LINK_PORT, CHUNK_PORT],
            "Seeds": [f"{entry}:{CONTROL_PORT}" for entry in getattr(self, "entries", [])][:3],
            "Platform": {"Address": f"{door.address}:{door.port}"},
            "Contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "chunks"],
            "Bounds": {"DrainMs": DRAIN_SECONDS * 1000, "GraceS": GRACE_SECONDS, "version_ms": 8000, "ContactMs": 3000, "RetryRatio": 0.2, "RetryWindowS": 10, "RetrySlack": 104},
        }

    def start_entry(self, identity):
        listen = {"Front": f"{identity}:{CALLERS_PORT}", "Ready": f"{identity}:{READY_PORT}", "Control": f"{identity}:{CONTROL_PORT}"}
        self.start_role("entry", identity, {**self.fields(identity, "zone-a"), "Listen": listen, "Limits": {"LinkMbps": 1000.0}})

    def start_agent(self, engine):
        self.start_role("agent", engine.address, {**self.fields(engine.address, engine.zone), "app": f"{engine.address}:{engine.port}",
                                                  "Service": project.LLM, "Limits": {"LinkMbps": 100.0}})

    @staticmethod
    def routes(**stream):
        """The routes of a small deployment, with the time limits of its sheet."""
        return [route("stream", "/stream/", "stream", project.LLM, **{"Resumable": True, "TargetGapMs": 400, "TimeoutMs": STREAM_DEADLINE_MS, "TargetLatencyMs": 500, **stream}),
                route("once", "/once/", "unsafe", project.LEDGER, MaxAttempts=1, TimeoutMs=3000, TargetLatencyMs=300),
                route("safe", "/safe/", "safe", project.LEDGER, TimeoutMs=3000, TargetLatencyMs=300)]


STARTED = []


def deployed_command(run):
    """A command of the deploy file; where only Meta/build.sh was run, the same program of that build."""
    program, *arguments = run.split()
    if not os.path.exists(os.path.join(ROOT, program)):
        program = os.path.join("Build", "Release", os.path.basename(program))
    if not os.path.exists(os.path.join(ROOT, program)):
        raise FileNotFoundError(f"{run}: run the build line of deploy/system.toml first")
    return [program, *arguments]


def record_runs(record, servers, prefixes):
    """Records each run of a request whose id begins so, with the server that ran it."""
    for server in servers:
        for run in server.runs:
            if run[0].startswith(prefixes):
                record("run", request=run[0], server=run[4], began_s=round(run[3] - record.start, 3))


def stop_all():
    """Ends every process that this script started."""
    for process in STARTED:
        if process.poll() is None:
            process.kill()
            process.wait()


def play(record, case, **sizes):
    """Runs case(fleet, record), which returns the breaches of the rule, and ends the process with the exit code of a case."""
    folders = []

    def give_up():
        record("given up", after_s=TIME_LIMIT_SECONDS)
        stop_all()
        os._exit(NOT_RUN)

    def end_from_outside(*_):
        stop_all()
        os._exit(NOT_RUN)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, end_from_outside)

    watch = threading.Timer(TIME_LIMIT_SECONDS, give_up)
    watch.daemon = True
    watch.start()
    code = NOT_RUN
    try:
        record("case", trouble="yes" if HAS_TROUBLE else "no")
        with ReviewFleet(ROOT, folders, **sizes) as fleet:
            breaches = case(fleet, record)
        for breach in breaches:
            record("BREACH", what=breach)
        code = BROKEN if breaches else HELD
        record("result", rule="broken" if breaches else "held", breaches=len(breaches))
    except Exception:  # Whatever it is, the case could not run.
        record("could not run", error=traceback.format_exc())
    stop_all()
    if os.environ.get("KEEP_LOGS"):
        print("\n".join(folders))
    else:
        for each in folders:
            shutil.rmtree(each, ignore_errors=True)
    with contextlib.suppress(OSError):
        record.file.close()
    sys.stdout.flush()
    os._exit(code)
