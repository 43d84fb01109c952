#!/usr/bin/env python3
# SPDX-License-Identifier: BSD-2-Clause
"""Plays the standard days with trouble of one site over several seeds, in one or more checkouts, and compares them.

play_round.py BENCH SITE OUT CHECKOUT... --why TEXT [--seeds N] [--days NAME,...] [--jobs N] [--cpu] [--policy NAME=JSON]...

BENCH is the users' program, SITE a site file of theirs. The first checkout is the one that the others are compared
with; a --policy adds the checkouts once more, with that member of an entry's settings. OUT gets a report a play; processor time is not charged unless --cpu is given. Prints, a checkout: the worth of
each day (median over the seeds), the mean over the days (median, least and greatest over the seeds), what its parts
and prices are, and every rule that broke. CI does not run this: it has no kit.
"""

import argparse
import concurrent.futures
import json
import os
import statistics
import subprocess
import sys
import tomllib


def standard_days(site):
    with open(site, "rb") as file:
        days = tomllib.load(file)["day"]
    return [day["name"] for day in days if day["slot"] != "quiet"]


class Variant:
    """A checkout, with a policy in the template of an entry's settings while it is played."""

    def __init__(self, checkout, name="", policy=""):
        self.checkout = os.path.abspath(checkout)
        self.name = os.path.basename(self.checkout) + ("-" + name if name else "")
        self.policy = policy
        self.template = os.path.join(self.checkout, "deploy", "entry.json")

    def __enter__(self):
        with open(self.template, encoding="utf-8") as file:
            self.text = file.read()
        if self.policy:
            with open(self.template, "w", encoding="utf-8") as file:
                file.write(self.text.replace('{\n  "identity"', '{\n  "policy": ' + self.policy.replace("}", " }") + ',\n  "identity"', 1))
        return self

    def __exit__(self, *_):
        with open(self.template, "w", encoding="utf-8") as file:
            file.write(self.text)


def play(options, variant, day, seed):
    name = f"{variant.name}-{os.path.basename(options.site)[:-5]}-{day}-{seed}"
    report = os.path.join(options.out, name + ".json")
    command = [options.bench, "run", options.site, day, "--seed", str(seed), "--jobs", "1",
               "--why", options.why, "--report", report] + ([] if options.cpu else ["--no-cpu"])
    done = subprocess.run(command, cwd=variant.checkout, capture_output=True, text=True, check=False)
    with open(os.path.join(options.out, name + ".txt"), "w", encoding="utf-8") as file:
        file.write(done.stdout + done.stderr)
    if not os.path.exists(report):
        return None
    with open(report, encoding="utf-8") as file:
        return json.load(file)


def spread(values):
    return f"{statistics.median(values):.3f} ({min(values):.3f} to {max(values):.3f})"


def print_variant(name, days, reports, seeds):
    print(f"== {name}")
    for day in days:
        found = [reports[day, seed] for seed in seeds if reports.get((day, seed))]
        parts = "  ".join(f"{part[0]} {statistics.median(dict((p[0], p[2]) for p in report['parts'])[part[0]] for report in found):.3f}" for part in found[0]["parts"]) if found else ""
        print(f"  {day:12} worth {spread([report['G'] for report in found]) if found else '-'}  {parts}")
        for report in found:
            if report["breaks"] or report["fault"]:
                print(f"    BROKEN {report['breaks']} {report['fault'] or ''}")
    means = [statistics.mean(reports[day, seed]["G"] for day in days) for seed in seeds if all(reports.get((day, seed)) for day in days)]
    print(f"  mean of days worth {spread(means) if means else '-'} over {len(means)} seeds")
    prices = {}
    for report in reports.values():
        for price in report["prices"] if report else []:
            prices.setdefault(price[0], []).append(price[2])
    shown = sorted(((statistics.mean(values), price) for price, values in prices.items()), reverse=True)
    print("  prices: " + ", ".join(f"{price} {mean:.4f}" for mean, price in shown if mean >= 0.0005))
    return means


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("bench", "site", "out"):
        parser.add_argument(name)
    parser.add_argument("checkouts", nargs="+")
    parser.add_argument("--why", required=True)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--days", default="")
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--policy", action="append", default=[])
    parser.add_argument("--cpu", action="store_true")
    options = parser.parse_args()
    options.site = os.path.abspath(options.site)
    options.out = os.path.abspath(options.out)
    os.makedirs(options.out, exist_ok=True)
    days = options.days.split(",") if options.days else standard_days(options.site)
    seeds = list(range(1, options.seeds + 1))
    variants = [Variant(checkout) for checkout in options.checkouts]
    for text in options.policy:
        name, policy = text.split("=", 1)
        variants += [Variant(checkout, name, policy) for checkout in options.checkouts]
    first = None
    for variant in variants:
        subprocess.run([options.bench, "build"], cwd=variant.checkout, check=True, capture_output=True)
        jobs = [(day, seed) for day in days for seed in seeds]
        with variant, concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
            reports = dict(zip(jobs, pool.map(lambda job: play(options, variant, *job), jobs)))
        means = print_variant(variant.name, days, reports, seeds)
        if first and len(first) == len(means):
            print(f"  against the first: {spread([b - a for a, b in zip(first, means)])}")
        sys.stdout.flush()
        first = first or means
    return 0


if __name__ == "__main__":
    sys.exit(main())
