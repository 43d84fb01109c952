#!/usr/bin/env python3
# SPDX-License-Identifier: BSD-2-Clause
"""Plays days of our own on the users' bench: each kind of trouble alone, twice, and in pairs at the worst moments.

play_kinds.py BENCH SITE OUT [--only NAME,...] [--jobs N] [--seeds A,B,...] [--list]

BENCH is the users' program, SITE a site file of theirs; OUT gets a report a day and seed. Days of kinds that the bench
does not list for the site are left out. Prints a table of the days and the rules that they broke, and which kinds the
bench lists and no day holds. CI does not run this: it has no kit.
"""

import argparse
import concurrent.futures
import dataclasses
import os
import re
import subprocess
import sys
import tomllib

# Moments, in seconds from the start of traffic: before engines are added, the first fill of new engines, a calm stretch, a version's transfer.
EARLY, FILL, CALM, TRANSFER = 4.0, 6.0, 13.0, 20.5
BUMPS = [{"at": 20.0, "kind": "version_bump", "count": 0}, {"at": 23.0, "kind": "version_bump", "count": 0}]
GROW = [{"at": 5.0, "kind": "scale_out", "share": 0.5, "gap_s": 0.5}]


def engines(site):
    return next(s["name"] for s in site["services"] if s.get("model") == "llm")


def plain(site):
    return next(s["name"] for s in site["services"] if "model" not in s)


def origin(site):
    return next(s["name"] for s in site["services"] if s.get("model") == "weights")


def catalogue(site):
    """Name: (planned work, faults) of each kind, with its variants, at a moment that the caller sets."""
    llm, ledger, source = engines(site), plain(site), origin(site)
    zones = [zone["name"] for zone in site["zones"]]
    plan = {
        "release_llm": {"kind": "release", "service": llm, "share": 0.5, "x": 2.0, "gap_s": 1.0},
        "release_plain": {"kind": "release", "service": ledger, "share": 1.0, "x": 1.0, "gap_s": 1.0},
        "scale_in": {"kind": "scale_in", "share": 0.3},
        "scale_in_spot": {"kind": "scale_in", "share": 0.2, "how": "spot"},
        "scale_in_reclaim": {"kind": "scale_in", "how": "reclaim", "for_s": 4.0},
        "scale_in_dry": {"kind": "scale_in", "how": "reclaim dry", "for_s": 4.0},
        "scale_out": {"kind": "scale_out", "service": llm, "share": 0.3, "gap_s": 1.0},
        "roll_term": {"kind": "roll_term", "share": 1.0, "gap_s": 1.5},
        "roll_term_busy": {"kind": "roll_term", "share": 1.0, "gap_s": 1.0, "how": "busy"},
        "roll_term_leader": {"kind": "roll_term", "share": 0.6, "gap_s": 1.0, "how": "leader"},
        "roll_term_starter": {"kind": "roll_term", "share": 0.6, "gap_s": 1.0, "how": "starter"},
        "roll_term_remove": {"kind": "roll_term", "share": 0.2, "gap_s": 1.0, "how": "remove"},
        "roll_term_side": {"kind": "roll_term", "share": 0.5, "gap_s": 0.5, "on": "side"},
        "add_nodes": {"kind": "add_nodes"},
        "hup": {"kind": "hup", "share": 1.0, "gap_s": 0.5},
        "config_storm": {"kind": "config_storm", "for_s": 4.0, "gap_s": 0.1},
        "config_storm_idle": {"kind": "config_storm", "count": 25, "gap_s": 0.06, "how": "idle"},
        "big_config": {"kind": "big_config", "count": 350},
        "config_weights": {"kind": "config_change", "how": "weights"},
        "config_route": {"kind": "config_change", "how": "route"},
        "config_timeout": {"kind": "config_change", "how": "timeout"},
        "config_tenant": {"kind": "config_change", "how": "tenant"},
        "config_quota": {"kind": "config_change", "how": "quota"},
        "config_quota_down": {"kind": "config_change", "how": "quota down"},
        "config_topup": {"kind": "config_change", "how": "topup"},
        "config_idle": {"kind": "config_change", "how": "idle"},
        "version_bump": {"kind": "version_bump", "count": 0},
        "version_adapter": {"kind": "version_bump", "count": 0, "how": "adapter", "x": 16.0},
        "revoke": {"kind": "revoke", "count": 3, "gap_s": 0.3},
        "revoke_last": {"kind": "revoke", "count": 2, "gap_s": 0.5, "how": "last"},
    }
    faults = {
        "burst": {"kind": "burst", "x": 2.0, "for_s": 4.0},
        "hot_key": {"kind": "hot_key", "share": 0.5, "for_s": 5.0},
        "retry_abuse": {"kind": "retry_abuse", "x": 4.0, "share": 0.5, "for_s": 5.0},
        "shift": {"kind": "shift", "zone": zones[0], "to_zone": zones[-1], "share": 0.7, "for_s": 6.0},
        "shift_away": {"kind": "shift", "zone": zones[-1], "to_zone": zones[1 % len(zones)], "share": 1.0, "for_s": 6.0},
        "give_up": {"kind": "give_up", "share": 0.5, "for_s": 5.0},
        "give_up_once": {"kind": "give_up", "share": 0.5, "x": 150.0, "for_s": 5.0, "how": "once"},
        "give_up_prompt": {"kind": "give_up", "share": 0.5, "x": 150.0, "for_s": 5.0, "how": "prompt"},
        "crash_dark": {"kind": "srv_crash", "service": llm, "share": 0.3, "for_s": 4.0, "how": "dark"},
        "crash_gone": {"kind": "srv_crash", "service": llm, "share": 0.2, "how": "gone"},
        "crash_plain": {"kind": "srv_crash", "service": ledger, "share": 0.5, "for_s": 3.0},
        "crash_origin": {"kind": "srv_crash", "service": source, "how": "all", "for_s": 4.0},
        "crash_domain": {"kind": "srv_crash", "service": llm, "how": "domain", "for_s": 4.0},
        "crash_joined": {"kind": "srv_crash", "service": llm, "how": "joined", "share": 0.2, "for_s": 4.0},
        "crash_rack": {"kind": "srv_crash", "service": llm, "how": "rack", "for_s": 4.0},
        "crash_across": {"kind": "srv_crash", "service": llm, "how": "across", "share": 0.3, "for_s": 4.0},
        "flap": {"kind": "srv_flap", "share": 0.2, "gap_s": 0.7, "for_s": 5.0},
        "lying_errors": {"kind": "srv_lying_health", "share": 0.2, "how": "errors", "for_s": 5.0},
        "lying_hang": {"kind": "srv_lying_health", "share": 0.2, "how": "hang", "for_s": 5.0},
        "lying_reset": {"kind": "srv_lying_health", "share": 0.2, "how": "reset", "for_s": 5.0},
        "lying_bad": {"kind": "srv_lying_health", "share": 0.4, "how": "bad", "for_s": 5.0},
        "idle_race": {"kind": "idle_race", "share": 0.7, "x": 300.0, "for_s": 6.0},
        "slow": {"kind": "srv_slow", "service": llm, "share": 0.3, "x": 4.0, "for_s": 5.0},
        "grey_errors": {"kind": "srv_grey", "share": 0.3, "x": 0.5, "how": "errors", "for_s": 5.0},
        "grey_hang": {"kind": "srv_grey", "share": 0.2, "x": 0.5, "how": "hang", "for_s": 5.0},
        "grey_reset": {"kind": "srv_grey", "share": 0.3, "x": 0.5, "how": "reset", "for_s": 5.0},
        "grey_mute": {"kind": "srv_grey", "share": 0.2, "x": 0.5, "how": "mute", "for_s": 5.0},
        "grey_busy": {"kind": "srv_grey", "share": 0.3, "x": 0.5, "how": "busy", "for_s": 5.0},
        "grey_shed": {"kind": "srv_grey", "share": 0.3, "x": 0.5, "how": "shed", "for_s": 5.0},
        "grey_slow": {"kind": "srv_grey", "share": 0.3, "x": 0.5, "how": "slow", "for_s": 5.0},
        **{f"grey_{how}_one_zone": {"kind": "srv_grey", "share": 0.4, "x": 0.5, "how": f"{how} one_zone", "to_zone": zones[-1], "for_s": 5.0}
           for how in ("errors", "hang", "reset", "mute", "busy", "shed", "slow")},
        "answer_lost": {"kind": "answer_lost", "share": 0.7, "x": 0.2, "for_s": 5.0},
        "answer_lost_reset": {"kind": "answer_lost", "share": 0.7, "x": 0.3, "for_s": 5.0, "how": "reset"},
        "garble": {"kind": "garble", "share": 0.7, "x": 0.1, "for_s": 5.0},
        "garble_extra": {"kind": "garble", "share": 0.7, "x": 0.1, "for_s": 5.0, "how": "extra"},
        "garble_extra_late": {"kind": "garble", "share": 0.7, "x": 0.1, "for_s": 5.0, "how": "extra late"},
        "garble_unframed": {"kind": "garble", "share": 0.7, "x": 0.1, "for_s": 5.0, "how": "unframed"},
        "garble_early": {"kind": "garble", "share": 0.7, "x": 0.1, "for_s": 5.0, "how": "early"},
        "garble_rot": {"kind": "garble", "service": llm, "share": 0.6, "x": 0.1, "how": "rot"},
        "garble_origin": {"kind": "garble", "service": source, "how": "all", "count": 1, "x": 0.15, "for_s": 6.0},
        "kill_front": {"kind": "node_kill", "share": 0.4},
        "kill_front_power": {"kind": "node_kill", "share": 0.4, "how": "power", "for_s": 3.0},
        "kill_side": {"kind": "node_kill", "on": "side", "share": 0.4},
        "kill_side_power": {"kind": "node_kill", "on": "side", "share": 0.3, "how": "power", "for_s": 3.0},
        "kill_leader": {"kind": "node_kill", "on": "core", "count": 1, "how": "leader race drain"},
        **{f"kill_{how.replace(' ', '_')}": {"kind": "node_kill", "on": "core", "count": 1, "for_s": 3.0, "how": how}
           for how in ("meet drain", "power", "reader", "giver", "renewed", "follower", "seed", "turn", "hard")},
        "freeze_renewed": {"kind": "node_freeze", "count": 1, "for_s": 4.0, "how": "renewed"},
        "freeze_leader": {"kind": "node_freeze", "on": "core", "count": 1, "for_s": 4.0, "how": "leader"},
        "freeze_front": {"kind": "node_freeze", "share": 0.3, "for_s": 3.0},
        "freeze_side": {"kind": "node_freeze", "on": "side", "share": 0.3, "for_s": 4.0},
        "freeze_giver": {"kind": "node_freeze", "count": 1, "how": "giver", "for_s": 6.0},
        "slow_side": {"kind": "node_slow", "on": "side", "share": 0.4, "x": 5.0, "for_s": 5.0},
        "slow_front": {"kind": "node_slow", "share": 0.4, "x": 5.0, "for_s": 5.0},
        "herd_kill": {"kind": "herd_kill", "share": 1.0, "how": "all"},
        "herd_kill_off": {"kind": "herd_kill", "how": "off", "on": "core", "for_s": 2.0},
        "herd_kill_power": {"kind": "herd_kill", "share": 0.6, "how": "power", "for_s": 2.0},
        "herd_kill_taken": {"kind": "herd_kill", "how": "taken", "on": "core", "for_s": 2.0},
        "herd_kill_taken_all": {"kind": "herd_kill", "how": "taken all", "on": "core", "for_s": 2.0},
        "after_ack_kill": {"kind": "after_ack_kill", "for_s": 3.0, "how": "kill"},
        "after_ack_power": {"kind": "after_ack_kill", "for_s": 3.0},
        "after_ack_timed": {"kind": "after_ack_kill", "for_s": 3.0, "how": "timed"},
        "after_ack_taken": {"kind": "after_ack_kill", "for_s": 3.0, "how": "taken"},
        "after_ack_taken_gone": {"kind": "after_ack_kill", "for_s": 3.0, "how": "taken gone"},
        "reset_conns": {"kind": "reset_conns", "share": 0.6, "x": 0.6},
        "core_cut_leader": {"kind": "core_cut", "count": 1, "for_s": 5.0, "how": "leader race"},
        "core_cut_one_way": {"kind": "core_cut", "count": 2, "for_s": 5.0, "how": "one_way meet"},
        "core_cut_seeds": {"kind": "core_cut", "count": 1, "for_s": 5.0, "how": "seeds"},
        "core_cut_all": {"kind": "core_cut", "count": 2, "for_s": 5.0, "how": "all"},
        **{f"core_cut_{how}": {"kind": "core_cut", "count": 1, "for_s": 5.0, "how": how}
           for how in ("near", "both", "lure", "relieve", "reset", "refuse", "giver", "split", "behind", "oldest")},
        "node_cut_all": {"kind": "node_cut", "share": 0.3, "for_s": 5.0, "how": "all"},
        "node_cut_refuse": {"kind": "node_cut", "share": 0.3, "for_s": 5.0, "how": "refuse"},
        "node_cut_one_way": {"kind": "node_cut", "share": 0.3, "for_s": 5.0, "how": "one_way"},
        "node_cut_reborn": {"kind": "node_cut", "share": 0.3, "for_s": 5.0, "how": "servers reborn"},
        "node_cut": {"kind": "node_cut", "share": 0.3, "for_s": 5.0, "how": "meet"},
        "node_cut_servers": {"kind": "node_cut", "share": 0.3, "for_s": 5.0, "how": "servers"},
        "node_cut_reset": {"kind": "node_cut", "share": 0.3, "for_s": 5.0, "how": "reset revoke"},
        "link_squeeze": {"kind": "link_squeeze", "share": 0.4, "x": 5.0, "for_s": 5.0},
        "link_squeeze_side": {"kind": "link_squeeze", "on": "side", "share": 0.3, "x": 0.95, "for_s": 5.0},
        "link_squeeze_regions": {"kind": "link_squeeze", "how": "regions", "x": 10.0, "for_s": 5.0},
        "lossy": {"kind": "lossy", "x": 0.05, "for_s": 5.0},
        "store_silent": {"kind": "platform_down", "how": "silent", "for_s": 4.0},
        "store_busy": {"kind": "platform_down", "how": "busy", "for_s": 4.0},
        "store_reset": {"kind": "platform_down", "how": "reset", "for_s": 4.0},
        "store_lapse": {"kind": "platform_down", "how": "silent lapse", "for_s": 5.0},
        "store_some_parts": {"kind": "platform_down", "how": "reset", "share": 0.4, "for_s": 5.0},
        "store_nodes_leader": {"kind": "platform_down", "how": "nodes leader revoke", "share": 0.4, "for_s": 6.0},
        "store_nodes_silent": {"kind": "platform_down", "how": "nodes revoke meet drain", "share": 0.4, "for_s": 9.0},
        "store_nodes_busy": {"kind": "platform_down", "how": "nodes busy revoke meet drain", "share": 0.4, "for_s": 9.0},
        "store_nodes_many": {"kind": "platform_down", "how": "nodes many revoke meet drain", "share": 0.4, "for_s": 9.0},
        "store_nodes_reset": {"kind": "platform_down", "how": "nodes reset revoke meet drain", "share": 0.4, "for_s": 9.0},
        "store_slow": {"kind": "platform_slow", "x": 80.0, "for_s": 5.0},
        "store_lost": {"kind": "platform_lost", "x": 0.5, "for_s": 5.0},
        "store_lost_late": {"kind": "platform_lost", "x": 0.5, "for_s": 5.0, "how": "late"},
        "store_compact": {"kind": "platform_compact", "x": 5.0, "for_s": 3.0, "how": "keyed drain"},
        "store_rebalance": {"kind": "platform_compact", "x": 5.0, "for_s": 3.0, "how": "rebalance"},
        "store_rewind": {"kind": "platform_compact", "x": 5.0, "for_s": 3.0, "how": "rebalance rewind"},
        "srv_cut_fronts": {"kind": "srv_cut", "share": 0.3, "for_s": 5.0, "x": 0.4, "how": "fronts"},
        "srv_cut_one_way": {"kind": "srv_cut", "share": 0.3, "for_s": 5.0, "how": "one_way"},
        "srv_cut_reborn": {"kind": "srv_cut", "share": 0.3, "for_s": 5.0, "how": "reborn"},
        "srv_cut_some_lossy": {"kind": "srv_cut", "share": 0.3, "for_s": 5.0, "how": "some lossy"},
        "srv_cut": {"kind": "srv_cut", "share": 0.3, "for_s": 5.0},
        "srv_cut_some": {"kind": "srv_cut", "share": 0.3, "for_s": 5.0, "how": "some"},
        "srv_cut_reset": {"kind": "srv_cut", "share": 0.3, "for_s": 5.0, "how": "reset"},
        "reuse": {"kind": "replace_with_reuse", "share": 0.3},
        "reuse_drain": {"kind": "replace_with_reuse", "share": 0.3, "how": "drain"},
        "reuse_dark": {"kind": "replace_with_reuse", "share": 0.3, "how": "dark"},
        "reuse_side": {"kind": "replace_with_reuse", "share": 0.3, "how": "side"},
        "clock_back": {"kind": "clock_step", "share": 0.5, "x": 2000.0, "for_s": 4.0, "how": "back"},
        "clock_ahead": {"kind": "clock_step", "share": 0.5, "x": 2000.0, "for_s": 4.0, "how": "ahead"},
    }
    return plan, faults


def at(entry, moment):
    return {**entry, "at": moment}


@dataclasses.dataclass
class Day:
    """A day of our own: planned work, faults, the fault that ends it (none: the template's) and when versions are named."""

    name: str
    planned: list
    faults: list
    closing: dict = None
    bumps: list = dataclasses.field(default_factory=lambda: BUMPS)

    def kinds(self):
        return {entry["kind"] for entry in self.planned + self.faults}


def closing_days():
    """Each final fault in each of its variants, and amid a version's transfer."""
    for kind in ("power_off_all", "wipe_after_ack", "kill_all"):
        for how in ("", "all", "timed", "taken", "oldest"):
            closing = {"kind": kind, "down_s": 1.2, **({"how": how} if how else {})}
            yield Day(f"closing_{kind}" + (f"_{how}" if how else ""), [], [], closing=closing)
    yield Day("closing_late_version", [], [], closing={"kind": "power_off_all", "down_s": 1.2, "how": "all"}, bumps=[*BUMPS, bump(32.5)])


def bump(moment):
    return {"at": moment, "kind": "version_bump", "count": 0}


def version_days(faults):
    """A version named before new engines are filled, and one in the middle of each trouble of the store."""
    yield Day("version_at_4", [], [], bumps=[bump(EARLY)])
    yield Day("versions_at_4_and_6", [], [], bumps=[bump(EARLY), bump(FILL)])
    for name, entry in faults.items():
        if name.startswith("store_"):
            yield Day(f"version_amid_{name}", [], [at(entry, EARLY - 1), at(entry, TRANSFER - 1)], bumps=[bump(EARLY), bump(TRANSFER)])


def days(site):
    """Each kind twice, in a calm stretch and amid a transfer; then versions, final faults, and pairs at the worst moments."""
    plan, faults = catalogue(site)
    for name, entry in plan.items():
        yield Day(name, [at(entry, CALM), at(entry, TRANSFER)], [])
    for name, entry in faults.items():
        yield Day(name, [], [at(entry, CALM - 5), at(entry, TRANSFER)])
    yield from version_days(faults)
    yield from closing_days()
    pairs = [
        ("roll_term", "store_nodes_silent"), ("roll_term_busy", "crash_dark"), ("roll_term", "kill_side"),
        ("revoke", "kill_front"), ("revoke", "store_silent"), ("revoke", "herd_kill"), ("config_storm", "store_slow"),
        ("config_route", "freeze_front"), ("config_timeout", "node_cut"), ("release_llm", "store_nodes_busy"),
        ("release_llm", "kill_side_power"), ("release_plain", "answer_lost_reset"), ("scale_in", "store_compact"),
        ("scale_in", "freeze_side"), ("scale_in_spot", "lossy"), ("scale_in_reclaim", "burst"), ("hup", "herd_kill"),
        ("add_nodes", "store_nodes_reset"), ("config_tenant", "core_cut_seeds"), ("revoke_last", "node_cut_reset"),
        ("roll_term", "reuse"), ("release_plain", "reuse_dark"), ("scale_in", "clock_back"), ("roll_term", "srv_cut"),
        ("big_config", "store_silent"), ("roll_term_busy", "shift"), ("config_quota", "node_cut"), ("scale_in_dry", "crash_origin"),
    ]
    for first, second in pairs:
        yield Day(f"{first}+{second}", [at(plan[first], CALM - 4), at(plan[first], TRANSFER)], [at(faults[second], CALM - 4.2), at(faults[second], TRANSFER + 0.2)])
    fault_pairs = [
        ("herd_kill", "store_silent"), ("herd_kill_off", "crash_origin"), ("kill_side", "crash_origin"), ("kill_side", "garble_rot"),
        ("garble_origin", "garble_rot"), ("link_squeeze_side", "kill_side"), ("crash_dark", "garble_extra"), ("reuse", "grey_hang"),
        ("answer_lost_reset", "retry_abuse"), ("give_up", "grey_mute"), ("freeze_giver", "store_lost"), ("burst", "crash_gone"),
        ("node_cut_servers", "reuse_dark"), ("slow_front", "burst"), ("lossy", "link_squeeze_regions"), ("reset_conns", "garble_unframed"),
        ("reset_conns", "store_slow"), ("reset_conns", "freeze_giver"), ("shift", "crash_domain"), ("flap", "burst"), ("idle_race", "reset_conns"),
    ]
    for first, second in fault_pairs:
        yield Day(f"{first}+{second}", [], [at(faults[first], CALM - 4), at(faults[second], CALM - 3.8), at(faults[first], TRANSFER), at(faults[second], TRANSFER + 0.2)])


def toml_value(value):
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, list):
        return "[" + ", ".join(toml_value(v) for v in value) + "]"
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{k} = {toml_value(v)}" for k, v in value.items()) + " }"
    return repr(value)


def write_day(path, site, day, seed):
    template = next(d for d in site["day"] if d["slot"] == "trouble")
    llm = engines(site)
    grow = [{**entry, "service": llm} for entry in GROW]
    day = {**template, "name": day.name, "seed": seed, "plan": grow + day.bumps + day.planned, "faults": day.faults, "closing": day.closing or template["closing"]}
    with open(path, "w", encoding="utf-8") as file:
        for key, value in day.items():
            file.write(f"{key} = {toml_value(value)}\n")


def kinds_known(bench, site_path):
    """The kinds of trouble that the bench lists for a site."""
    listed = subprocess.run([bench, "kinds", site_path], capture_output=True, text=True, check=True).stdout
    return set(re.findall(r"^([a-z_]+): ", listed, re.MULTILINE))


def play(bench, site_path, path, label, out):
    command = [bench, "run", site_path, path, "--jobs", "1", "--why", f"own day: {label}"]
    run = subprocess.run(command, capture_output=True, text=True, check=False)
    text = run.stdout + run.stderr
    with open(os.path.join(out, f"{label}.txt"), "w", encoding="utf-8") as file:
        file.write(text)
    return label, text


def summary(text):
    """The score line of a report, and the rules that it says were broken."""
    lines = text.splitlines()
    score = next((line for line in lines if re.search(r"\d+/\d+ +\d\.\d\d", line)), "")
    rules = re.findall(r"\b(MIXED|UNASKED|TWICE|REFUSED|DENIED|BUDGET|GONE|LOST|CONFIG|ROUTE|DRAIN|ORDER|RECOVER|VERSION|LAYERS|LIMIT|WHOLE|Fault|fault)\b", text)
    if not score:
        return "no result", lines[-3:] if lines else []
    return " ".join(score.split()[1:6]), sorted(set(rules))


def seed_list(text):
    return [int(seed) for seed in text.split(",")]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("out")
    parser.add_argument("--only", default="", help="names of days, by commas")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--seeds", type=seed_list, default=[20261202], help="seeds, by commas: each day is played with each")
    parser.add_argument("--list", action="store_true", help="print the names of the days and play none")
    arguments = parser.parse_args()
    with open(arguments.site, "rb") as file:
        site = tomllib.load(file)
    os.makedirs(arguments.out, exist_ok=True)
    wanted = set(filter(None, arguments.only.split(",")))
    known = kinds_known(arguments.bench, arguments.site)
    own = list(days(site))
    print("listed and not played:", ", ".join(sorted(known - set().union(*(day.kinds() for day in own)) - {entry["kind"] for entry in GROW + BUMPS})) or "none")
    print("not listed here, left out:", ", ".join(sorted(set().union(*(day.kinds() for day in own)) - known)) or "none", flush=True)
    own = [day for day in own if day.kinds() <= known and (not wanted or day.name in wanted)]
    if arguments.list:
        print("\n".join(day.name for day in own))
        return 0
    tasks = []
    for seed in arguments.seeds:
        for day in own:
            label = f"{day.name}-{seed}"
            path = os.path.join(arguments.out, f"{label}.toml")
            write_day(path, site, day, seed)
            tasks.append((path, label))
    broken = 0
    with concurrent.futures.ThreadPoolExecutor(arguments.jobs) as pool:
        futures = [pool.submit(play, arguments.bench, arguments.site, path, label, arguments.out) for path, label in tasks]
        for future in concurrent.futures.as_completed(futures):
            label, text = future.result()
            score, rules = summary(text)
            broken += bool(rules)
            print(f"{label:52} {score:40} {' '.join(map(str, rules))}", flush=True)
    print(f"{len(tasks)} days, {broken} with something to look at")
    return 0


if __name__ == "__main__":
    sys.exit(main())
