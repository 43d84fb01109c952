# SPDX-License-Identifier: BSD-2-Clause
"""Entries of the list of backend servers that another writer made, amid good ones, as real processes against the stand-ins."""

import json
import time

from fleet import BACKEND_PORT, CHUNK_PORT, LEDGER, LLM, Fleet, wait_until
from stand_ins import HttpStandIn
from test_direct_path import assert_whole_stream, wait_linked

# As often as backend servers write their heartbeats, seconds.
HEARTBEAT_SECONDS = 0.2
HEARTBEATS = 15


class Witness(HttpStandIn):
    """What the foreign records name. No request may come here."""

    def __init__(self, loop, address, port):
        self.requests = []
        super().__init__(loop, address, port)

    async def answer(self, request):
        self.requests.append((request.method, request.target))
        return await self.reply(request, 500)


def good_record(service, address):
    record = {"Service": service, "Address": f"{address}:{BACKEND_PORT}", "Zone": "zone-a", "Version": "v1", "Slots": 1000, "State": "ready", "ColdLeftMs": 0, "CallSeq": 0}
    if service == LLM:
        record.update({"Stage": "both", "Models": [{"Name": "model-1", "Version": 1, "Adapters": []}], "layers": {"From": 0, "TargetVersion": 4, "Version": 1}})
    return record


def foreign_records(address):
    """Records by key, each of which names the address and no backend server to use."""
    records = {}
    for service in (LLM, LEDGER):
        good = good_record(service, address)
        changed = {
            "no-state": {key: value for key, value in good.items() if key != "State"},
            "number-state": {**good, "State": 7},
            "other-state": {**good, "State": "READY"},
            "no-service": {key: value for key, value in good.items() if key != "Service"},
            "other-service": {**good, "Service": "nobody"},
            "list-service": {**good, "Service": [service]},
            "no-port": {**good, "Address": address},
            "long-port": {**good, "Address": f"{address}:{BACKEND_PORT}x"},
            "number-address": {**good, "Address": 5},
            "other-model": {**good, "Models": [{"Name": 5, "Version": 1}]},
            "a list": [good],
        }
        records.update({f"{service} {name}": json.dumps(value).encode() for name, value in changed.items()})
        whole = json.dumps(good).encode()
        records[f"{service}-cut"] = whole[:-9]
        records[f"{service}-bytes"] = b"\xff\xfe\x00" + whole
        records[f"{service}-word"] = whole.replace(b"zone-a", b"zone-\xff")
        # Keys that cannot stand in a header or a query.
        records[f"{service}\r\nX-Other: 1"] = whole
        records[f"{service}&From=0"] = whole[:-1]
        records[f"{service} %41+#"] = whole
    return records


def write_raw(store, records, topic="keyed.servers"):
    async def append():
        store.topics[topic] += list(records.items())
        store.changed.set()
    store.loop.run(append())


def counted(fleet, entry, name):
    body = fleet.call(entry, "GET", "/metrics", port=CHUNK_PORT).body.decode()
    return sum(float(line.split()[-1]) for line in body.splitlines() if line.startswith(name))


def assert_served(fleet, number):
    for entry in fleet.entries:
        assert_whole_stream(fleet.call(entry, "POST", "/stream/a", request_id=f"stream-{entry}-{number}"))
        assert fleet.call(entry, "POST", "/once/a", body=b"x", request_id=f"once-{entry}-{number}").status == 200
        assert fleet.call(entry, "GET", "/safe/a", request_id=f"safe-{entry}-{number}").status == 200


def test_foreign_records_amid_good_ones_cost_no_request_and_get_none(build, folders):
    with Fleet(build, folders, entries=2, engines=2, plains=2) as fleet:
        wait_linked(fleet)
        witness = Witness(fleet.loop, fleet.address(), BACKEND_PORT)
        own = {server.address for server in fleet.engines + fleet.plains}
        records = foreign_records(witness.address)
        # Some name the address of a good one.
        records.update({f"{key}-taken": value.replace(witness.address.encode(), fleet.engines[0].address.encode()) for key, value in foreign_records(witness.address).items() if "other-s" in key or "-state" in key})
        for number in range(HEARTBEATS):
            write_raw(fleet.store, records)
            for server in fleet.engines + fleet.plains:
                server.enlist()
            assert_served(fleet, number)
            time.sleep(HEARTBEAT_SECONDS)
        assert not witness.requests, witness.requests
        # Each engine goes on serving beside those that name its address.
        used = {engine.address for engine in fleet.engines for run in engine.runs if run[0].startswith("stream-")}
        assert used == {engine.address for engine in fleet.engines} and used <= own, used
        for entry in fleet.entries:
            assert counted(fleet, entry, "mountbarrow_bad_records_total") > 0
            told = [(line["key"], line["reason"]) for line in fleet.log_lines(entry) if line["event"] == "bad_record"]
            assert told and len(told) == len(set(told)), f"{len(told)} lines for {len(set(told))} keys and reasons"
        # An entry that starts now reads the list page by page.
        fleet.terminate(fleet.entries[0])
        fleet.processes[fleet.entries[0]].wait()
        fleet.start_entry(fleet.entries[0])
        fleet.wait_ready(fleet.entries[0])
        wait_linked(fleet)
        assert_served(fleet, HEARTBEATS)
        assert not witness.requests, witness.requests
        witness.close()


def test_a_server_whose_record_is_garbled_is_used_again_from_its_next_heartbeat(build, folders):
    with Fleet(build, folders, entries=1, engines=1, plains=1) as fleet:
        entry, server = fleet.entries[0], fleet.plains[0]
        wait_until(lambda: fleet.call(entry, "GET", "/safe/warm").status == 200, "a plain service")
        write_raw(fleet.store, {server.id: json.dumps(server.entry("draining")).encode()[:-20]})
        wait_until(lambda: fleet.call(entry, "GET", "/safe/a").status == 503, "no server to use")
        server.enlist()
        wait_until(lambda: fleet.call(entry, "GET", "/safe/a").status == 200, "the server after its next heartbeat")


# Another writer's records: deep nesting, numbers too large, ports out of range, a start in the future. One under a living server's id must not
# outlive that server's heartbeats, and none may end or occupy the processes that read it.
def test_odd_records_under_a_living_servers_id_last_for_a_few_heartbeats(build, folders):
    with Fleet(build, folders, entries=1, engines=1, plains=1) as fleet:
        wait_linked(fleet)
        nobody = fleet.address()
        for number, change in enumerate(ODD_CHANGES):
            records = {server.id: odd_record(server, change) for server in fleet.engines + fleet.plains}
            # Under an id of its own, it names an address where nobody listens.
            records.update({f"odd-{number}-{server.service}": odd_record(server, {"Address": f'"{nobody}:{BACKEND_PORT}"', **change}) for server in (fleet.engines[0], fleet.plains[0])})
            write_raw(fleet.store, records)
            name = ", ".join(f"{field} {text[:40]}" for field, text in change.items())
            for path, method in (("/stream/a", "POST"), ("/safe/a", "GET")):
                wait_until(lambda path=path, method=method: is_served_after_heartbeat(fleet, method, path), f"{path} after {name}")
            assert all(process.poll() is None for process in fleet.processes.values()), name
        # Processes that start read the whole list.
        for identity in list(fleet.processes):
            fleet.kill(identity)
        fleet.start_all()
        wait_linked(fleet)


# Entries read the system's own topics at each start: a record that overflows the stack there ends them again and again.
def test_a_deeply_nested_record_of_an_own_topic_ends_no_entry(build, folders):
    with Fleet(build, folders, entries=1, engines=1, plains=1) as fleet:
        wait_linked(fleet)
        version = {"model": "model-1", "version": 1, "known_at_ms": 1}
        for topic in ("keyed.mountbarrow-versions", "keyed.mountbarrow-blames"):
            write_raw(fleet.store, {"model-1/1": json.dumps(version).replace("}", f',"more":{NESTED}}}').encode()}, topic)
        entry = fleet.entries[0]
        fleet.kill(entry)
        fleet.start_entry(entry)
        fleet.wait_ready(entry)
        wait_linked(fleet)
        assert fleet.processes[entry].poll() is None


def is_served_after_heartbeat(fleet, method, path):
    for server in fleet.engines + fleet.plains:
        server.enlist()
    time.sleep(HEARTBEAT_SECONDS)
    return fleet.call(fleet.entries[0], method, path).status == 200


NESTED = "[" * 100000 + "]" * 100000
TOO_LARGE = ("9007199254740992", "9223372036854775808", "1e400", "-1")
# The text of a field's value, by field; as the whole record under no name.
ODD_CHANGES = [{"": NESTED}, *({name: NESTED} for name in ("Service", "Address", "Models", "born", "State")),
               *({name: number} for name in ("born", "Slots", "ColdLeftMs", "CallSeq") for number in TOO_LARGE),
               *({"born": number, "State": '"draining"'} for number in TOO_LARGE),
               *({"Address": f'"127.0.0.1:{port}"'} for port in ("0", "65536", "99999999999999999999", "-1"))]


def odd_record(server, change):
    fields = {name: json.dumps(value) for name, value in server.entry().items()}
    fields.update(change)
    return (fields.pop("", None) or "{" + ",".join(f'"{name}":{text}' for name, text in fields.items()) + "}").encode()
