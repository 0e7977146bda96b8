#!/usr/bin/env python3
"""Draws days of trouble and plays them, to find broken rules.

Each kind of trouble is played alone, repeated, and beside a store outage, a kill of
boxes and a roll-out. The seed is printed; the same seed draws the same days.

    tests/days/draw_days.py BENCH SITE [--seed N] [--days N] [--jobs N] [--only KIND] [--small]

BENCH is the users' bench and SITE a site file; --small plays a large one at a small size. A day that breaks a rule, or in which
something fails that the bench names, is printed and its file kept. Kinds of trouble that
a site's contracts leave out are refused by the bench and count as not played.
"""

import argparse
import concurrent.futures
import json
import pathlib
import random
import subprocess
import tempfile
import tomllib

# The variants of each kind: (kind, fields). Fields left out take the bench's defaults.
TROUBLES = [
    ("srv_cut", {}), ("srv_cut", {"how": "fronts"}), ("srv_cut", {"how": "some"}),
    ("srv_cut", {"how": "some lossy"}), ("srv_cut", {"how": "one_way"}),
    ("srv_cut", {"how": "reset"}), ("srv_cut", {"how": "reborn"}),
    ("replace_with_reuse", {}), ("replace_with_reuse", {"how": "drain"}),
    ("replace_with_reuse", {"how": "dark"}), ("idle_race", {}),
    ("node_freeze", {"share": 0.3}), ("node_freeze", {"how": "renewed", "on": "core"}),
    ("node_freeze", {"how": "leader", "on": "core"}),
    ("node_slow", {"share": 0.3}), ("after_ack_kill", {}),
    ("after_ack_kill", {"how": "timed"}), ("after_ack_kill", {"how": "kill", "count": 3}),
    ("clock_step", {"how": "back", "x": 4000.0}), ("clock_step", {"how": "ahead", "x": 4000.0}),
    ("reset_conns", {"share": 0.5}), ("srv_crash", {"share": 0.4}),
    ("srv_crash", {"how": "dark", "share": 0.4}), ("srv_crash", {"how": "gone", "share": 0.4}),
    ("srv_slow", {"share": 0.4}), ("srv_grey", {"how": "errors"}), ("srv_grey", {"how": "shed"}),
    ("srv_grey", {"how": "busy"}), ("srv_grey", {"how": "hang"}), ("srv_grey", {"how": "reset"}),
    ("srv_grey", {"how": "mute"}), ("srv_grey", {"how": "slow"}),
    ("srv_lying_health", {}), ("srv_lying_health", {"how": "hang"}),
    ("srv_lying_health", {"how": "reset"}), ("srv_lying_health", {"how": "bad"}),
    ("srv_flap", {"share": 0.4}), ("release", {}), ("scale_out", {}), ("scale_in", {"share": 0.3}),
    ("scale_in", {"how": "spot", "share": 0.3}), ("scale_in", {"how": "reclaim"}),
    ("answer_lost", {"x": 0.2}), ("answer_lost", {"how": "reset", "x": 0.2}),
    ("garble", {"x": 0.1}), ("garble", {"how": "extra", "x": 0.1}),
    ("garble", {"how": "extra late", "x": 0.1}), ("garble", {"how": "unframed", "x": 0.1}),
    ("garble", {"how": "early", "x": 0.3}), ("garble", {"how": "rot", "x": 0.1}),
    ("node_kill", {"share": 0.3}), ("node_kill", {"how": "power", "share": 0.3}),
    ("node_kill", {"on": "core", "how": "leader race", "count": 1}),
    ("node_kill", {"on": "core", "how": "leader hard", "count": 1}),
    ("roll_term", {}), ("roll_term", {"how": "remove", "share": 0.5}),
    ("roll_term", {"how": "busy"}), ("herd_kill", {}), ("herd_kill", {"how": "power"}),
    ("herd_kill", {"on": "core"}), ("herd_kill", {"on": "core", "how": "off"}),
    ("add_nodes", {"share": 1.0}), ("hup", {"share": 1.0}),
    ("zone_cut", {}), ("zone_cut", {"how": "reset"}), ("zone_cut", {"how": "refuse"}),
    ("core_cut", {"how": "leader"}), ("core_cut", {"how": "leader race"}),
    ("core_cut", {"how": "one_way"}), ("core_cut", {"how": "meet", "count": 3}),
    ("node_cut", {"share": 0.3}), ("node_cut", {"how": "all", "share": 0.3}),
    ("node_cut", {"how": "reset revoke", "share": 0.4}), ("lossy", {"x": 0.08}),
    ("platform_down", {}), ("platform_down", {"how": "reset lapse", "for_s": 9.0}),
    ("platform_down", {"how": "silent lapse", "for_s": 9.0}), ("platform_down", {"how": "busy"}),
    ("platform_down", {"how": "nodes many revoke", "share": 0.5}),
    ("platform_down", {"how": "nodes leader silent", "share": 0.5}),
    ("platform_slow", {}), ("platform_lost", {"x": 0.6}), ("platform_lost", {"how": "late", "x": 0.6}),
    ("platform_compact", {}), ("platform_compact", {"how": "drain", "x": 5.0}),
    ("config_change", {"how": "route"}), ("config_change", {"how": "weights"}),
    ("config_change", {"how": "timeout"}), ("config_storm", {}), ("big_config", {"count": 600}),
    ("revoke", {"count": 3}), ("revoke", {"how": "last", "count": 2}),
    ("burst", {"x": 3.0}), ("shift", {"share": 0.8}), ("hot_key", {"share": 0.6}),
    ("hot_tenant", {"x": 10.0}), ("retry_abuse", {"x": 5.0, "share": 0.6}),
    ("give_up", {"share": 0.5}), ("give_up", {"share": 0.5, "x": 30.0}),
]
# Planned work is listed under `plan`, everything else under `faults`.
PLANNED = {
    "release", "scale_in", "scale_out", "roll_term", "add_nodes", "hup",
    "config_change", "config_storm", "big_config", "revoke", "rollout_good", "rollout_bad",
}
# What a trouble is paired with.
COMPANIONS = [
    ("platform_down", {"how": "silent", "for_s": 6.0}),
    ("platform_down", {"how": "reset lapse", "for_s": 8.0}),
    ("platform_slow", {"x": 60.0, "for_s": 6.0}),
    ("platform_lost", {"x": 0.5, "for_s": 6.0}),
    ("node_kill", {"share": 0.4, "for_s": 3.0}),
    ("herd_kill", {"share": 0.6}),
    ("zone_cut", {"for_s": 6.0}),
    ("revoke", {"count": 2}),
    ("config_storm", {"for_s": 4.0, "gap_s": 0.33}),
]
ROLLOUTS = [
    ("rollout_good", {"for_s": 24.0}),
    ("rollout_bad", {"for_s": 20.0, "share": 0.5, "how": "errors"}),
    ("rollout_bad", {"for_s": 20.0, "share": 0.5, "how": "slow"}),
    ("rollout_bad", {"for_s": 20.0, "share": 0.5, "how": "late", "gap_s": 5.0}),
]
CLOSINGS = [None, None, {"kind": "power_off_all", "down_s": 1.5}, {"kind": "kill_all", "down_s": 0.0}]
# Troubles begin in these seconds of a day.
FIRST_S, LAST_S = 2.0, 24.0


def draw_day(rng, number, only):
    """Draws a day: one kind repeated, alone or with companions and a roll-out."""
    kinds = [trouble for trouble in TROUBLES if only in (None, trouble[0])]
    kind, fields = kinds[number % len(kinds)]
    entries = []
    for _ in range(rng.choice([1, 2, 3])):
        entries.append((kind, fields, rng.uniform(FIRST_S, LAST_S)))
    for _ in range(rng.choice([0, 0, 1, 2])):
        companion, more = rng.choice(COMPANIONS)
        entries.append((companion, more, entries[0][2] + rng.uniform(-2.0, 3.0)))
    day = {"plan": [], "faults": []}
    for name, more, at in entries:
        part = "plan" if name in PLANNED else "faults"
        day[part].append({"kind": name, "at": round(max(at, 0.3), 2), **more})
    if rng.random() < 0.5:
        name, more = rng.choice(ROLLOUTS)
        day["plan"].append({"kind": name, "at": 2.0, **more})
    day["closing"] = rng.choice(CLOSINGS)
    return day


def write_value(value):
    """Writes a value as TOML."""
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {write_value(item)}" for key, item in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(write_value(item) for item in value) + "]"
    return json.dumps(value)


def write_day(day, site, name, seed):
    """Writes a day as the site file does, with the traffic of the site's quiet day."""
    engine = next(service["name"] for service in site["services"] if "llm" in service)
    for entry in day["plan"]:
        if entry["kind"].startswith("rollout"):
            entry["service"] = engine
    lines = [f"name = {write_value(name)}", 'slot = "trouble"', f"seed = {seed}"]
    if day["closing"]:
        lines.append(f"closing = {write_value(day['closing'])}")
    for part in ("plan", "faults"):
        lines.append(f"{part} = {write_value(day[part])}")
    return "\n".join(lines) + "\n"


def play(bench, site, file, small):
    """Plays a day; returns its report and what it broke, or no report and the bench's words."""
    report = file.with_suffix(".json")
    size = ["--small"] if small else []
    done = subprocess.run(
        [bench, "run", site, file, "--no-cpu", "--report", report, *size,
         "--why", "a day of drawn troubles, to find broken rules"],
        capture_output=True, text=True, check=False)
    if not report.exists():
        return None, (done.stdout + done.stderr)[-400:]
    found = json.loads(report.read_text())
    trouble = [found[key] for key in ("breaks", "fault", "exits") if found[key]]
    return found, trouble


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--seed", type=int, default=random.SystemRandom().randrange(1 << 31))
    parser.add_argument("--days", type=int, default=len(TROUBLES))
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--only", help="one kind of trouble")
    parser.add_argument("--small", action="store_true", help="a small twin of a large site")
    args = parser.parse_args()
    print(f"seed {args.seed}", flush=True)
    rng = random.Random(args.seed)
    site = tomllib.loads(pathlib.Path(args.site).read_text())
    folder = pathlib.Path(tempfile.mkdtemp(prefix="days-"))
    files = []
    for number in range(args.days):
        file = folder / f"day-{args.seed}-{number}.toml"
        text = write_day(draw_day(rng, number, args.only), site, file.stem, rng.randrange(1 << 31))
        file.write_text(text)
        files.append(file)
    broken, unplayed = 0, 0
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        results = pool.map(lambda file: play(args.bench, args.site, file, args.small), files)
        for file, (found, trouble) in zip(files, results):
            if not found:
                unplayed += 1
                print(f"{file} was not played: {trouble}", flush=True)
            elif trouble:
                broken += 1
                print(f"{file}: {trouble}\n{file.read_text()}", flush=True)
            else:
                print(f"{file.stem} worth {found['G']:.3f} served {found['served']:.3f}", flush=True)
    print(f"{broken} of {len(files) - unplayed} days broke a rule, {unplayed} were not played")


if __name__ == "__main__":
    main()
