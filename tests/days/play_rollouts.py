#!/usr/bin/env python3
"""Plays roll-outs of good and bad versions, alone and beside trouble, and prints one table.

    tests/days/play_rollouts.py BENCH [SITE...] [--versions NAME,...] [--troubles NAME,...]
                                [--seeds N] [--first N] [--jobs N] [--service N] [--folder DIR]

BENCH is the users' bench and each SITE a site file. Each version is played on each site beside
each trouble with each seed, without processor time. A row shows how many plays broke a rule and
in how many the operators miss what they are owed: a good version in service, a bad one taken
back. Such plays are printed with their seed. --service counts the site's services.
"""

import argparse
import collections
import concurrent.futures
import json
import pathlib
import re
import subprocess
import tempfile

from draw_days import write_value

FOR_S, AT_S = 20.0, 2.0
GOOD = {"kind": "rollout_good"}


def bad(how, share, **more):
    """Returns a roll-out of a version that is bad in one way."""
    return {"kind": "rollout_bad", "how": how, "share": share, **more}


VERSIONS = {
    "good": GOOD,
    **{f"slow-{x}-on-{share}": bad("slow", share, x=float(x))
       for x in (2, 4, 8, 16) for share in (0.1, 0.2, 0.4, 1.0)},
    **{f"errors-{share}": bad("errors", share) for share in (0.1, 0.2, 0.4, 1.0)},
    "one-class": bad("one_class", 0.5),
    "late": bad("late", 0.5, gap_s=5.0),
    "late-slow": bad("late slow", 0.5, gap_s=5.0),
    "under-load": bad("under_load", 0.4),
}
TROUBLES = {
    "none": [],
    "burst": [{"kind": "burst", "x": 2.0, "for_s": 8.0, "at": 5.0}],
    "restarts": [{"kind": "roll_term", "gap_s": 1.0, "at": 4.0, "plan": True},
                 {"kind": "node_kill", "share": 0.3, "at": 9.0}],
    "all-killed": [{"kind": "herd_kill", "share": 1.0, "at": 6.0},
                   {"kind": "herd_kill", "share": 1.0, "at": 14.0}],
    "store": [{"kind": "platform_down", "how": "silent", "for_s": 8.0, "at": 6.0},
              {"kind": "platform_lost", "x": 0.5, "for_s": 6.0, "at": 15.0}],
    "cuts": [{"kind": "zone_cut", "for_s": 6.0, "at": 5.0},
             {"kind": "core_cut", "how": "leader", "count": 1, "for_s": 5.0, "at": 12.0}],
    "engines": [{"kind": "srv_crash", "share": 0.2, "at": 6.0},
                {"kind": "srv_grey", "how": "errors", "share": 0.2, "x": 0.4, "for_s": 6.0, "at": 8.0},
                {"kind": "srv_grey", "how": "slow", "share": 0.2, "for_s": 5.0, "at": 13.0}],
    "burst-engines": [{"kind": "burst", "x": 2.0, "for_s": 8.0, "at": 5.0},
                      {"kind": "srv_crash", "share": 0.2, "at": 6.0},
                      {"kind": "srv_grey", "how": "errors", "share": 0.2, "x": 0.4, "for_s": 6.0, "at": 8.0}],
    "links": [{"kind": "lossy", "x": 0.05, "for_s": 10.0, "at": 4.0},
              {"kind": "clock_step", "how": "back", "x": 4000.0, "at": 6.0},
              {"kind": "node_freeze", "share": 0.3, "for_s": 4.0, "at": 8.0}],
}
LAST_WORD = re.compile(r'(roll-out taken on: \w+|version found bad: [^"]*)')


def write_day(file, version, trouble, service):
    """Writes a day with one roll-out beside a trouble."""
    parts = {"plan": [{**version, "service": f"@s{service}", "for_s": FOR_S, "at": AT_S}], "faults": []}
    for entry in trouble:
        fields = {key: value for key, value in entry.items() if key != "plan"}
        parts["plan" if entry.get("plan") else "faults"].append(fields)
    lines = [f'name = "{file.stem}"', 'slot = "trouble"']
    lines += [f"{part} = {write_value(entries)}" for part, entries in parts.items()]
    file.write_text("\n".join(lines) + "\n")


def play(bench, site, file, seed):
    """Plays a day; returns what broke, what the operators miss, and the boxes' words."""
    report = file.with_name(f"{file.stem}-{pathlib.Path(site).stem}-{seed}.json")
    done = subprocess.run(
        [bench, "run", site, file, "--seed", str(seed), "--no-cpu", "--jobs", "1", "--log", "all",
         "--report", report, "--why", "roll-outs of good and bad versions, alone and beside trouble"],
        capture_output=True, text=True, check=False)
    words = (done.stdout + done.stderr).splitlines()
    lines = [line for line in words if LAST_WORD.search(line)]
    report.with_suffix(".log").write_text("\n".join(lines))
    if not report.exists():
        return None, ["not played"], (done.stdout + done.stderr)[-300:]
    found = json.loads(report.read_text())
    shown = [line for line in lines if "Running" not in line and "another box" not in line][:2]
    return found["breaks"], found["missed"], "\n    ".join(describe(line) for line in shown)


def describe(line):
    """Shortens a line of a box's log to what it says of a version."""
    at, box = line.split()[:2]
    try:
        found = json.loads(line[line.index("{"):])
    except ValueError:  # The bench cuts long lines.
        return f"{at} {box} {LAST_WORD.search(line).group(0)}"
    kv = found["kv"]
    wanted = ("elapsed_ms", "permille", "answers", "against", "odds", "odds_at_stage", "sent_new", "sent_all")
    return f"{at} {box} {found['text']} " + " ".join(f"{key}={kv[key]}" for key in wanted if key in kv)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--versions", default=",".join(VERSIONS))
    parser.add_argument("--troubles", default="none")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--service", type=int, default=0, help="which of the site's services")
    parser.add_argument("--folder", help="where days, reports and logs are kept")
    args = parser.parse_args()
    folder = pathlib.Path(args.folder or tempfile.mkdtemp(prefix="rollouts-"))
    folder.mkdir(parents=True, exist_ok=True)
    plays = []
    for version in args.versions.split(","):
        for trouble in args.troubles.split(","):
            file = folder / f"{version}-{trouble}.toml"
            write_day(file, VERSIONS[version], TROUBLES[trouble], args.service)
            for site in args.sites:
                for seed in range(args.first, args.first + args.seeds):
                    plays.append((version, trouble, site, file, seed))
    rows = collections.defaultdict(collections.Counter)
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        results = pool.map(lambda entry: play(args.bench, *entry[2:]), plays)
        for (version, trouble, site, _file, seed), (breaks, missed, words) in zip(plays, results):
            rows[version, trouble].update(plays=1, broken=bool(breaks), missed=bool(missed))
            if breaks or missed:
                print(f"{version} {trouble} {pathlib.Path(site).stem} seed {seed}: "
                      f"{breaks} {missed}\n    {words}", flush=True)
    print(f"{'version':20} {'beside':14} {'plays':>5} {'broken':>6} {'missed':>6}")
    for (version, trouble), row in rows.items():
        print(f"{version:20} {trouble:14} {row['plays']:5} {row['broken']:6} {row['missed']:6}")


if __name__ == "__main__":
    main()
