#!/usr/bin/env python3
"""Writes days of trouble for the bench; scripts/days.sh plays them.

All days lie in deploy/days itself, since hunts look there only. kind-NAME is a day for
each kind of trouble and each of its variants, which comes twice, at 6 s and at 20 s of a
calm day. pair-NAME is one for each pair of troubles that share a mechanism: both come at
the day's start, in its middle and at its end, the second a little after the first.
closing-NAME ends with a loss of everything, or of disks. mix-NAME are written by hand.

@c0, @s0 and @z0 stand for a deployment's first kind of request, service and data hall.

With --drawn N it writes N days to deploy/days/drawn (not kept in git, and not hunted)
instead, each of troubles that are drawn by --seed: half of them of the control's hosts,
at any time.
"""

import argparse
import pathlib
import random

# kind -> (extra fields, planned work or not, variants of how)
KINDS = {
    "burst": ("x = 2.0, for_s = 4.0", False, [""]),
    "burst_of_one": ('class = "@c0", x = 3.0, for_s = 4.0', False, [""]),
    "shift": ('zone = "@z0", share = 0.5, for_s = 6.0', False, [""]),
    "srv_crash_of_one": ('service = "@s0", share = 0.3, for_s = 4.0', False, ["", "gone"]),
    "hot_key": ("share = 0.4, for_s = 5.0", False, [""]),
    "hot_tenant": ("x = 7.0, for_s = 5.0", False, [""]),
    "retry_abuse": ("x = 4.0, share = 0.4, for_s = 5.0", False, [""]),
    "give_up": ("share = 0.4, for_s = 5.0", False, [""]),
    "srv_crash": ("for_s = 4.0", False, ["", "dark", "gone", "domain"]),
    "srv_slow": ("share = 0.2, for_s = 5.0", False, [""]),
    "srv_grey": ("share = 0.2, x = 0.5, for_s = 5.0", False, ["errors", "shed", "busy", "hang", "reset", "mute", "slow"]),
    "srv_cut": ("for_s = 5.0", False, ["", "fronts", "some"]),
    "release": ("share = 0.5, gap_s = 1.0", True, [""]),
    "scale_in": ("share = 0.15", True, ["", "spot", "reclaim"]),
    "scale_out": ("share = 0.3", True, [""]),
    "replace_with_reuse": ("", False, ["", "drain", "dark", "side"]),
    "answer_lost": ("share = 0.6, x = 0.1, for_s = 5.0", False, ["", "reset"]),
    "garble": ("share = 0.6, x = 0.05, for_s = 5.0", False, ["", "extra", "extra late", "unframed", "early", "rot"]),
    "node_kill": ("share = 0.3, for_s = 3.0", False, ["", "power"]),
    "node_kill_core": ('on = "core", count = 1, for_s = 3.0', False, ["", "power", "leader race drain", "meet drain"]),
    "node_freeze": ("share = 0.3, for_s = 3.0", False, [""]),
    "node_freeze_core": ('on = "core", count = 1, for_s = 3.0', False, ["", "leader"]),
    "node_slow": ("share = 0.3, for_s = 4.0", False, [""]),
    "roll_term": ("share = 0.6, gap_s = 1.2", True, ["", "busy", "remove"]),
    "herd_kill": ("share = 0.6", False, ["", "power"]),
    "herd_kill_core": ('on = "core"', False, ["", "off", "taken", "taken all"]),
    "add_nodes": ("", True, [""]),
    "replace_core": ("x = 2.0", False, ["", "planned", "oldest"]),
    "after_ack_kill": ("", False, ["", "kill", "timed", "taken"]),
    "after_ack_wipe": ("for_s = 2.0", False, ["", "oldest"]),
    "disk_slow": ("x = 30.0, for_s = 5.0", False, ["", "leader"]),
    "disk_full": ("for_s = 4.0", False, ["", "leader"]),
    "disk_stall": ("for_s = 4.0", False, ["", "leader"]),
    "clock_step": ("x = 4000.0, for_s = 5.0", False, ["", "back", "ahead"]),
    "reset_conns": ("share = 0.5", False, [""]),
    "core_cut": ("count = 1, for_s = 5.0", False, ["", "behind", "split", "leader race"]),
    "node_cut": ("share = 1.0, for_s = 6.0", False, ["", "all"]),
    "lossy": ("x = 0.04, for_s = 5.0", False, [""]),
    "seed_turnover": ("", False, [""]),
    "hup": ("", True, [""]),
    "config_change": ("", True, ["route", "weights", "timeout", "tenant", "quota", "quota down", "topup", "idle"]),
    "config_storm": ("gap_s = 0.4, for_s = 4.0", True, [""]),
    "config_race": ("count = 3, gap_s = 1.0", True, [""]),
    "bad_config": (
        "count = 2, gap_s = 0.7",
        True,
        ["cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version", "same_version", "stale_match", "shared_key"],
    ),
    "big_config": ("count = 350", True, [""]),
    "revoke": ("count = 2, gap_s = 1.0", True, ["", "last"]),
    "ack_lost": ("x = 0.6, for_s = 5.0", False, [""]),
    "srv_lying_health": ("share = 0.15, for_s = 5.0", False, ["", "hang", "reset", "bad"]),
    "srv_flap": ("share = 0.15, gap_s = 1.4, for_s = 6.0", False, [""]),
    "cold_return": ("for_s = 3.0", False, ["", "dark"]),
    "evacuate": ("for_s = 6.0", True, ["", "warm"]),
    "zone_loss": ("for_s = 3.0", False, [""]),
    "zone_cut": ("for_s = 4.0", False, [""]),
}


# Pairs that share a mechanism: (kind, how) twice.
PAIRS = [
    (("node_cut", ""), ("roll_term", "")),
    (("node_cut", "all"), ("scale_in", "")),
    (("node_cut", ""), ("hot_tenant", "")),
    (("core_cut", "leader race"), ("roll_term", "busy")),
    (("core_cut", "split"), ("scale_in", "reclaim")),
    (("core_cut", ""), ("replace_core", "")),
    (("after_ack_wipe", ""), ("replace_core", "oldest")),
    (("after_ack_wipe", "oldest"), ("node_kill_core", "power")),
    (("config_storm", ""), ("config_race", "")),
    (("config_storm", ""), ("ack_lost", "")),
    (("config_race", ""), ("ack_lost", "")),
    (("config_race", ""), ("node_kill_core", "leader race drain")),
    (("big_config", ""), ("config_storm", "")),
    (("node_freeze", ""), ("hot_tenant", "")),
    (("node_freeze_core", "leader"), ("hot_tenant", "")),
    (("node_kill", ""), ("hot_tenant", "")),
    (("clock_step", ""), ("after_ack_kill", "")),
    (("clock_step", "back"), ("herd_kill_core", "")),
    (("clock_step", "ahead"), ("core_cut", "")),
    (("disk_full", "leader"), ("config_storm", "")),
    (("disk_stall", "leader"), ("config_race", "")),
    (("lossy", ""), ("release", "")),
    (("herd_kill", "power"), ("revoke", "")),
    (("reset_conns", ""), ("config_storm", "")),
    (("reset_conns", ""), ("herd_kill_core", "")),
    (("srv_crash", "dark"), ("srv_grey", "errors")),
    (("srv_cut", "fronts"), ("release", "")),
    (("give_up", ""), ("hot_tenant", "")),
    (("evacuate", ""), ("core_cut", "")),
    (("evacuate", ""), ("node_cut", "all")),
    (("evacuate", ""), ("ack_lost", "")),
    (("evacuate", ""), ("node_kill_core", "leader race drain")),
    (("evacuate", ""), ("roll_term", "")),
    (("evacuate", ""), ("scale_in", "")),
    (("evacuate", ""), ("after_ack_wipe", "")),
    (("cold_return", ""), ("burst", "")),
    (("cold_return", "dark"), ("retry_abuse", "")),
    (("cold_return", ""), ("node_kill", "")),
    (("cold_return", ""), ("srv_cut", "")),
    (("zone_loss", ""), ("evacuate", "")),
    (("zone_loss", ""), ("node_cut", "")),
    (("zone_cut", ""), ("evacuate", "")),
]


# How days end: the fields of the closing fault, by name.
CLOSINGS = {
    "power": 'kind = "power_off_all", down_s = 2.0',
    "kill": 'kind = "kill_all", down_s = 1.0',
    "wipe": 'kind = "wipe_after_ack", down_s = 2.0',
    "wipe-oldest": 'kind = "wipe_after_ack", down_s = 2.0, how = "oldest"',
    "wipe-timed": 'kind = "wipe_after_ack", down_s = 2.0, how = "timed"',
}

# Kinds that fall on the control's hosts or on what they hold.
CONTROL = [
    "node_kill_core", "node_freeze_core", "herd_kill_core", "replace_core", "after_ack_kill", "after_ack_wipe",
    "disk_slow", "disk_full", "disk_stall", "clock_step", "core_cut", "seed_turnover", "config_race", "ack_lost",
]  # fmt: skip

# How many troubles a drawn day has, and by which second they begin.
DRAWN_TROUBLES, DRAWN_UNTIL = 6, 32.0


def entry(kind: str, how: str, at: float) -> str:
    """Returns the text of one trouble."""
    extra = KINDS[kind][0]
    fields = f'kind = "{kind.removesuffix("_of_one").replace("kill_core", "kill").replace("freeze_core", "freeze")}"'
    if extra:
        fields += ", " + extra
    if how:
        fields += f', how = "{how}"'
    return f"  {{ at = {at}, {fields} }},"


def named(kind: str, how: str) -> str:
    """Returns the name of a trouble."""
    return "-".join([kind, *how.split()]).replace("_", "-")


def day(name: str, troubles: list[tuple[str, str, float]], closing: str = "") -> str:
    """Returns the text of a day of troubles (kind, how, second), and of how it ends."""
    ends = f"closing = {{ {closing} }}\n" if closing else ""
    plan = "\n".join(entry(k, h, at) for k, h, at in troubles if KINDS[k][1])
    faults = "\n".join(entry(k, h, at) for k, h, at in troubles if not KINDS[k][1])
    return f"""[[day]]
name = "{name}"
slot = "trouble"
seed = 234919558
one = 0.5
zero = 0.1
goal = {{ floor = 0.1 }}
labels = []
{ends}plan = [
{plan}
]
faults = [
{faults}
]
"""


def write(folder: str, name: str, troubles: list[tuple[str, str, float]], closing: str = "") -> None:
    """Writes one day."""
    path = pathlib.Path(__file__).parent.parent / "deploy" / "days" / folder
    path.mkdir(parents=True, exist_ok=True)
    (path / f"{name}.toml").write_text(day(name, troubles, closing))


def draw(seed: int, n: int) -> None:
    """Writes n drawn days."""
    for i in range(n):
        r = random.Random(f"{seed}/{i}")
        kinds = [r.choice(CONTROL if j % 2 else list(KINDS)) for j in range(DRAWN_TROUBLES)]
        troubles = [(k, r.choice(KINDS[k][2]), round(r.uniform(0.5, DRAWN_UNTIL), 1)) for k in kinds]
        write("drawn", f"drawn-{seed}-{i}", sorted(troubles, key=lambda t: t[2]))


def main() -> None:
    """Writes all days, or drawn ones."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--drawn", type=int, default=0, help="write so many drawn days instead")
    options.add_argument("--seed", type=int, default=1, help="what drawn days follow from")
    given = options.parse_args()
    if given.drawn:
        draw(given.seed, given.drawn)
        return
    for kind, (_, _, variants) in KINDS.items():
        for how in variants:
            write("", f"kind-{named(kind, how)}", [(kind, how, at) for at in (6.0, 20.0)])
    for first, second in PAIRS:
        troubles = [(*t, at + later) for at in (0.5, 12.0, 27.0) for t, later in ((first, 0.0), (second, 0.7))]
        write("", f"pair-{named(*first)}--{named(*second)}", troubles)
    for name, closing in CLOSINGS.items():
        write("", f"closing-{name}", [("config_change", "route", 8.0), ("config_change", "topup", 16.0)], closing)


if __name__ == "__main__":
    main()
