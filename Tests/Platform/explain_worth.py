#!/usr/bin/env python3
# SPDX-License-Identifier: BSD-2-Clause
"""Tells where requests were lost, from the lines of the entries alone.

explain_worth.py LOG... [--from S] [--to S] [--bin S]

LOG holds lines as the entries write them; what stands in front of a line is ignored. Prints a table by span of time and
one by route: how many requests were answered in time, late and why, refused and why, and failed and why; and a
third for which span had a refusal in one entry within 50 ms of a send of another entry that found an engine with
places to spare. Times are seconds from the first line.
"""

import argparse
import collections
import datetime
import json
import sys

# A send that was predicted to take this part of its objective at the most met an engine that had places to spare.
EASY_PART = 0.5
NEAR_MS = 50
MOST_CAUSES = 14


def milliseconds(text):
    return float(text) if text else None


def read(paths):
    """The lines of entries, each with its time in seconds from the first."""
    lines = []
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as file:
            for text in file:
                start = text.find('{"time"')
                if start < 0:
                    continue
                try:
                    line = json.loads(text[start:])
                except ValueError:
                    continue
                # The layout's quotes around the T come out as they stand.
                line["at"] = datetime.datetime.fromisoformat(line["time"].replace("'", "")).timestamp()
                lines.append(line)
    lines.sort(key=lambda line: line["at"])
    first = lines[0]["at"] if lines else 0
    for line in lines:
        line["at"] -= first
    return lines


def cause(end, sends):
    """In one word or two, what became of a request."""
    if end["end"] == "caller_gone":
        return "left"
    objective = float(end["objective_ms"])
    pause_objective = float(end["pause_objective_ms"] or 0)
    if end["end"] != "none":
        asked_before = milliseconds(end.get("asked_before_ms")) or 0
        kind = "refused" if end["status"] in ("503", "429", "408", "421") else "denied" if end["status"] in ("401", "403", "404") else "failed"
        return f"{kind} {end['end']}{' again' if asked_before else ''}"
    if not end["status"].startswith("2"):
        return "engine's failure"
    first = milliseconds(end["first_event_ms"]) or milliseconds(end["after_ms"])
    asked_before = milliseconds(end["asked_before_ms"]) or 0
    if first + asked_before > objective:
        if asked_before > objective / 2:
            return "late came back"
        waited = float(sends[0]["after_ms"]) if sends else 0
        if len(sends) > 1:
            return "late second send"
        return "late waited here" if waited > first / 2 else "late at engine"
    if pause_objective and milliseconds(end["longest_pause_ms"]) > pause_objective:
        return "late pause" if len(sends) < 2 else "late pause, resumed"
    return "in time"


def table(rows, title):
    """rows: name -> Counter of causes."""
    totals = collections.Counter()
    for counts in rows.values():
        totals.update(counts)
    columns = [name for name, _ in totals.most_common(MOST_CAUSES)]
    print(title)
    print(f"  {'':18}   all  " + "  ".join(columns))
    for name, counts in [*rows.items(), ("sum", totals)]:
        cells = "  ".join(str(counts[column] or ".").rjust(len(column)) for column in columns)
        print(f"  {name:18}{sum(counts.values()):6}  {cells}")


def near_room(lines, width):
    """By span: refusals for want of a place, and those of them near an easy send of another entry to the same route."""
    easy = collections.defaultdict(list)
    refused = collections.Counter()
    beside = collections.Counter()
    for line in lines:
        if line["event"] == "request_sent":
            objective = float(line["in_time_for_ms"])
            if objective > 0 and float(line["predicted_ms"]) <= EASY_PART * objective:
                easy[line["route"]].append((line["at"], line["node"]))
    for line in lines:
        if line["event"] != "request_ended" or line["end"] != "no_place":
            continue
        span = int(line["at"] / width)
        refused[span] += 1
        near = [node for at, node in easy[line["route"]] if abs(at - line["at"]) * 1000 <= NEAR_MS]
        beside[span] += any(node != line["node"] for node in near)
    return refused, beside


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("logs", nargs="+")
    parser.add_argument("--from", dest="since", type=float, default=0)
    parser.add_argument("--to", type=float, default=1e9)
    parser.add_argument("--bin", type=float, default=2)
    options = parser.parse_args()
    lines = [line for line in read(options.logs) if options.since <= line["at"] <= options.to]
    for line in lines:
        line["node"] = line.get("process", "")
    sends = collections.defaultdict(list)
    spans = collections.defaultdict(collections.Counter)
    routes = collections.defaultdict(collections.Counter)
    for line in lines:
        if line["event"] == "request_sent":
            sends[line["request"]].append(line)
        elif line["event"] == "request_ended" and line["route"]:
            what = cause(line, sends[line["request"]])
            begun = line["at"] - float(line["after_ms"]) / 1000
            spans[f"{int(begun / options.bin) * options.bin:5.1f} s"][what] += 1
            routes[f"{line['route'][-8:]} {line['objective_ms']}"][what] += 1
    table(dict(sorted(spans.items())), "by the second at which the request came:")
    table(routes, "by route and objective, ms:")
    refused, beside = near_room(lines, options.bin)
    print("refused for want of a place, and of these with an easy send of another entry near:")
    print("  " + ", ".join(f"{span * options.bin:.0f} s {refused[span]}/{beside[span]}" for span in sorted(refused)))
    dropped = sum(1 for line in lines if line["event"] == "log_lines_dropped")
    print(f"lines told of as dropped: {dropped} times")
    return 0


if __name__ == "__main__":
    sys.exit(main())
