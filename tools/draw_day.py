#!/usr/bin/env python3
"""Draws a day with configuration changes in series and overlapping disturbances, from a seed.

Usage: draw_day.py SEED [LENGTH_S] [pressed] [health] > day.toml

The day is played with `fleetbench run SITE day.toml`. With `pressed`, callers send more than usual for most of the
day; `health` adds the disturbances of sites whose contracts have it.
"""

import random
import sys

# Changes of routes are repeated, since few requests can tell others apart.
CHANGES = ["route"] * 8 + ["weights", "timeout", "tenant", "quota", "topup", "idle", "quota down", "skew"]
TARGETS = ["", " meet", " race", " meet drain", " race drain", " hard"]
WHOM = ["leader", "reader", "follower", "renewed", "giver", "turn", ""]

CLOSED = {"srv_cut"} | (set() if "health" in sys.argv else {"srv_grey", "srv_lying_health", "srv_flap", "idle_race"})

def fault(r):
    whom = lambda: (r.choice(WHOM) + r.choice(TARGETS)).strip()
    u = r.uniform
    kinds = [
        lambda: dict(kind="burst", x=round(u(1.5, 6), 1), for_s=round(u(3, 12), 1)),
        lambda: dict(kind="hot_tenant", x=round(u(4, 30), 1), for_s=round(u(3, 10), 1)),
        lambda: dict(kind="retry_abuse", x=round(u(2, 6), 1), share=round(u(.2, .8), 2), for_s=round(u(3, 8), 1)),
        lambda: dict(kind="give_up", share=round(u(.1, .5), 2), for_s=round(u(3, 8), 1), how=r.choice(["", "once"])),
        lambda: dict(kind="srv_crash", share=round(u(.1, .5), 2), for_s=round(u(2, 6), 1), how=r.choice(["", "dark", "gone", "domain"])),
        lambda: dict(kind="srv_slow", share=round(u(.1, .8), 2), x=round(u(2, 10), 1), for_s=round(u(3, 8), 1), how=r.choice(["", "across", "all"])),
        lambda: dict(kind="srv_grey", share=round(u(.1, .6), 2), x=round(u(.2, .9), 2), for_s=round(u(3, 8), 1), how=r.choice(["errors", "shed", "busy", "hang", "reset", "mute", "slow", "hang across", "shed all"])),
        lambda: dict(kind="srv_flap", share=round(u(.1, .5), 2), gap_s=round(u(.5, 2), 1), for_s=round(u(3, 8), 1)),
        lambda: dict(kind="srv_cut", share=round(u(.1, .5), 2), for_s=round(u(2, 6), 1), how=r.choice(["", "fronts", "some", "some lossy", "one_way", "reset", "reborn"])),
        lambda: dict(kind="srv_lying_health", share=round(u(.1, .4), 2), for_s=round(u(3, 8), 1), how=r.choice(["errors", "hang", "reset", "bad"])),
        lambda: dict(kind="idle_race", share=.5, x=round(u(100, 500)), for_s=round(u(3, 8), 1)),
        lambda: dict(kind="answer_lost", share=round(u(.3, .8), 2), x=round(u(.02, .4), 2), for_s=round(u(3, 6), 1), how=r.choice(["", "reset"])),
        lambda: dict(kind="garble", share=round(u(.3, .8), 2), x=round(u(.02, .2), 2), for_s=round(u(3, 6), 1), how=r.choice(["", "extra", "extra late", "unframed", "early"])),
        lambda: dict(kind="node_kill", share=round(u(.05, .4), 2), for_s=round(u(.5, 4), 1), how=("power " if r.random() < .3 else "") + whom()),
        lambda: dict(kind="node_freeze", share=round(u(.05, .4), 2), for_s=round(u(.3, 6), 1), how=whom()),
        lambda: dict(kind="node_slow", share=round(u(.05, .5), 2), x=round(u(3, 20)), for_s=round(u(2, 8), 1), how=whom()),
        lambda: dict(kind="herd_kill", share=round(u(.3, 1), 2), for_s=round(u(.5, 3), 1), how=r.choice(["", "power"]), **r.choice([{}, {"on": "core"}])),
        lambda: dict(kind="core_cut", count=r.choice([1, 1, 2, 3, 5]), for_s=round(u(1, 8), 1), how=r.choice(["", "behind", "split", "all", "near", "one_way", "seeds", "both", "lure", "relieve", "leader race", "leader meet", "reset", "refuse", "revoke"])),
        lambda: dict(kind="node_cut", share=round(u(.05, .4), 2), for_s=round(u(1, 8), 1), how=r.choice(["", "all", "servers", "servers reborn", "reset", "refuse", "reset revoke", "leader meet", "leader", "renewed"])),
        lambda: dict(kind="link_squeeze", share=round(u(.1, .6), 2), x=round(u(1, 20), 1), for_s=round(u(3, 8), 1)),
        lambda: dict(kind="lossy", x=round(u(.02, .3), 2), for_s=round(u(3, 8), 1)),
        lambda: dict(kind="platform_down", for_s=round(u(.5, 6), 1), how=r.choice(["silent", "busy", "reset", "silent lapse", "busy lapse"])),
        lambda: dict(kind="platform_down", x=round(u(1, 9), 1), for_s=round(u(.5, 4), 1), how="restored"),
        lambda: dict(kind="platform_down", share=round(u(.1, .9), 2), for_s=round(u(1, 9), 1), how="nodes " + r.choice(["busy", "many", "reset", "silent", "leader", "silent leader", "busy leader", "silent revoke", "reset revoke meet", "silent meet drain", "many meet"])),
        lambda: dict(kind="platform_slow", x=round(u(10, 150)), for_s=round(u(2, 6), 1)),
        lambda: dict(kind="platform_lost", x=round(u(.2, .9), 2), for_s=round(u(2, 6), 1), how=r.choice(["", "late"])),
        lambda: dict(kind="platform_compact", x=round(u(1, 9), 1), for_s=round(u(2, 10), 1), how=r.choice(["", "drain"])),
        lambda: dict(kind="clock_step", x=round(u(500, 5000)), share=round(u(.1, 1), 2), for_s=round(u(1, 6), 1), how=r.choice(["", "back", "ahead"])),
        lambda: dict(kind="hup", share=round(u(.2, 1), 2), gap_s=round(u(.2, 2), 1)),
        lambda: dict(kind="reset_conns", share=round(u(.1, 1), 2), x=round(u(.3, 1), 2)),
        lambda: dict(kind="reset_conns", share=round(u(.3, 1), 2), x=round(u(.5, 1), 2), how="silent"),
        lambda: dict(kind="reset_conns", share=1.0, x=1.0, how="silent"),
        lambda: dict(kind="after_ack_kill", for_s=round(u(.5, 3), 1), count=r.choice([1, 1, 2, 4]), how=r.choice(["", "kill", "timed", "taken"])),
    ]
    drawn = r.choice(kinds)()
    while drawn["kind"] in CLOSED:
        drawn = r.choice(kinds)()
    return drawn

def plan(r):
    u = r.uniform
    return r.choice([
        lambda: dict(kind="release", share=round(u(.2, 1), 2), x=r.choice([1, 2, 3]), gap_s=round(u(.3, 1.5), 1)),
        lambda: dict(kind="replace_with_reuse", share=round(u(.1, .5), 2), how=r.choice(["", "drain", "dark", "side"])),
        lambda: dict(kind="scale_out", share=round(u(.1, .5), 2), gap_s=round(u(.3, 2), 1)),
        lambda: dict(kind="scale_in", share=round(u(.1, .4), 2), how=r.choice(["", "spot", "reclaim"])),
        lambda: dict(kind="roll_term", share=round(u(.2, 1), 2), x=r.choice([1, 2, 4]), gap_s=round(u(.5, 2), 1), how=r.choice(["", "busy", "leader", "remove"])),
        lambda: dict(kind="revoke", count=r.choice([1, 2, 3]), gap_s=round(u(.2, 2), 1), how=r.choice(["", "last"])),
        lambda: dict(kind="config_storm", gap_s=round(u(.1, .5), 2), for_s=round(u(2, 6), 1)),
        lambda: dict(kind="big_config"),
    ])()

def day(seed, length, pressed=False):
    r = random.Random(seed)
    entries, at = [], r.uniform(.3, 2)
    while at < length:
        entries.append(dict(at=round(at, 2), kind="config_change", how=r.choice(CHANGES)))
        at += r.uniform(.4, 2.5)
    for _ in range(r.randint(1, 3)):
        entries.append(dict(at=round(r.uniform(.3, length - 3), 2), **plan(r)))
    faults = [dict(at=round(r.uniform(.3, length - 2), 2), **fault(r)) for _ in range(r.randint(4, 8))]
    if pressed or r.random() < .5:
        faults.append(dict(at=round(r.uniform(.3, length / 3), 2), kind="burst", x=round(r.uniform(1.5, 8), 1), for_s=round(r.uniform(5, length), 1)))
    closing = r.choice([None, None, dict(kind="power_off_all", down_s=1.0), dict(kind="kill_all", down_s=.7), dict(kind="power_off_all", down_s=.7, how="all")])
    return entries, faults, closing

def toml(entry):
    def value(v):
        return '"%s"' % v if isinstance(v, str) else str(v)
    return "{ " + ", ".join("%s = %s" % (k, value(v)) for k, v in entry.items()) + " }"

def main():
    seed, length = int(sys.argv[1]), float(sys.argv[2]) if len(sys.argv) > 2 else 20.0
    entries, faults, closing = day(seed, length, "pressed" in sys.argv)
    print('name = "drawn-%d"' % seed)
    print("seed = %d" % (seed + 1))
    if closing:
        print("closing = " + toml(closing))
    print("plan = [\n  " + ",\n  ".join(map(toml, entries)) + "\n]")
    print("faults = [\n  " + ",\n  ".join(map(toml, faults)) + "\n]")

main()
