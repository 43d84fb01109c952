# SPDX-License-Identifier: BSD-2-Clause
"""Runs the process tests one after another: run.py BUILD_DIRECTORY [NAME ...]"""

import importlib
import os
import sys
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [HERE, os.path.join(os.path.dirname(HERE), "Platform"), os.path.join(os.path.dirname(HERE), "Soak")]

MODULES = ["test_whole_path", "test_interfaces", "test_configuration", "test_weights", "test_requests", "test_planned_stops", "test_direct_path", "test_stopping_entries", "test_lost_versions", "test_silent_store", "test_store_returns", "test_restarts_and_versions", "test_silent_links", "test_engine_restarts", "test_load_verification", "test_endless_answers", "test_callers_outside_the_limits", "test_answers_cut_in_the_head", "test_malformed_answers", "test_foreign_records", "test_crashing_requests", "test_server_statements", "test_request_sizes", "test_slow_engines", "test_leaving_servers", "test_suspended", "test_streams_under_way", "test_promises", "test_soak"]


def known_red():
    """Tests that may fail for a fault that KNOWN-RED.txt names."""
    path = os.path.join(os.path.dirname(os.path.dirname(HERE)), "KNOWN-RED.txt")
    with open(path, encoding="utf-8") as file:
        return {line.split(":")[0].strip() for line in file if line.strip() and not line.startswith("#")}


def sanitizer_reports(folder):
    """What the sanitizers wrote; any of it fails the test."""
    for name in sorted(os.listdir(folder)):
        if not name.endswith(".err"):
            continue
        with open(os.path.join(folder, name), encoding="utf-8", errors="replace") as file:
            text = file.read()
        if "AddressSanitizer" in text or "runtime error" in text:
            yield f"{name}:\n{text[:4000]}"


def main():
    build = os.path.abspath(sys.argv[1])
    wanted = sys.argv[2:]
    passed = failed = 0
    for module_name in MODULES:
        module = importlib.import_module(module_name)
        for name in [n for n in dir(module) if n.startswith("test_")]:
            if wanted and name not in wanted:
                continue
            folders = []
            try:
                getattr(module, name)(build, folders)
                for folder in folders:
                    for report in sanitizer_reports(folder):
                        raise AssertionError(report)
                print(f"ok {module_name}.{name}", flush=True)
                passed += 1
            except Exception:  # Every failure is reported; the others still run.
                traceback.print_exc()
                if name in known_red():
                    print(f"KNOWN RED {module_name}.{name}", flush=True)
                    continue
                print(f"FAILED {module_name}.{name} (logs in {folders})", flush=True)
                failed += 1
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
