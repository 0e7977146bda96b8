#!/usr/bin/env python3
"""Plays the same days and seeds with two checkouts and prints the paired differences.

    tests/days/compare.py BENCH SITE BEFORE AFTER [--seeds N] [--first N] [--jobs N] [--days D,D]

BENCH is the users' bench, SITE a site file, BEFORE and AFTER folders with a checkout that is
built. Single days move by 0.02 and more of themselves, so the mean counts, with its standard
error. Rules that are broken are printed.
"""

import argparse
import concurrent.futures
import json
import pathlib
import statistics
import subprocess
import tempfile
import tomllib

# The first seed where none is given; the days of the site file have seeds of their own.
FIRST_SEED = 4_100_000


def play(bench, site, folder, day, seed, report):
    """Plays a day without processor time and returns its report, or none."""
    subprocess.run(
        [bench, "run", site, day, "--seed", str(seed), "--no-cpu", "--jobs", "1",
         "--report", report, "--why", "paired days of two versions"],
        cwd=folder, capture_output=True, text=True, check=False)
    return json.loads(report.read_text()) if report.exists() else None


def describe(differences):
    """Writes a mean with its standard error."""
    mean = statistics.mean(differences)
    if len(differences) < 2:
        return f"{mean:+.4f} (one pair)"
    error = statistics.stdev(differences) / len(differences) ** 0.5
    return f"{mean:+.4f} +- {error:.4f} ({len(differences)} pairs)"


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("bench", "site", "before", "after"):
        parser.add_argument(name, type=lambda text: pathlib.Path(text).resolve())
    parser.add_argument("--seeds", type=int, default=4)
    parser.add_argument("--first", type=int, default=FIRST_SEED)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--days", help="names of days, with commas; all standard days if left out")
    args = parser.parse_args()
    site = tomllib.loads(args.site.read_text())
    days = args.days.split(",") if args.days else [day["name"] for day in site["day"]]
    folder = pathlib.Path(tempfile.mkdtemp(prefix="pairs-"))
    plays = [(day, args.first + number, side)
             for number in range(args.seeds) for day in days for side in ("before", "after")]

    def run(entry):
        day, seed, side = entry
        report = folder / f"{day}-{seed}-{side}.json"
        return entry, play(args.bench, args.site, getattr(args, side), day, seed, report)

    found = {}
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        for entry, report in pool.map(run, plays):
            if report is None:
                print(f"{entry} was not played", flush=True)
                continue
            found[entry] = report["G"]
            if report["breaks"] or report["fault"]:
                print(f"{entry} broke {report['breaks']} {report['fault']}", flush=True)
    differences = {day: [] for day in days}
    for day, seed, side in plays:
        pair = [found.get((day, seed, side)) for side in ("before", "after")]
        if side == "after" and None not in pair:
            differences[day].append(pair[1] - pair[0])
            print(f"{day} {seed}: {pair[0]:.3f} {pair[1]:.3f} {pair[1] - pair[0]:+.3f}")
    for day, of_day in differences.items():
        if of_day:
            print(f"{day}: {describe(of_day)}")
    troubled = [value for day, of_day in differences.items()
                if not day.startswith("quiet") for value in of_day]
    if troubled:
        print(f"days with trouble: {describe(troubled)}")


if __name__ == "__main__":
    main()
