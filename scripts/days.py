#!/usr/bin/env python3
"""Generates fault scenarios ("days") for the bench; scripts/days.sh runs them.

All days are in deploy/days itself, as fault searches ("hunts") look only there. For each
kind of fault and each of its variants, kind-NAME injects it twice into a calm day, at 6 s
and at 20 s. For each pair of faults that share a mechanism, pair-NAME injects both at the
start, in the middle and at the end of the day, the second shortly after the first.
closing-NAME ends with the loss of all processes or of disks. mix-NAME are written by hand.

@c0, @s0 and @z0 stand for the first kind of request, service and data hall of a deployment.

With --drawn N it instead writes N days of randomly sampled faults to deploy/days/drawn
(not in git, and not searched). --seed seeds the sampling. Half of the faults are in the
hosts of the control plane, and faults occur at any time.
"""

import argparse
import pathlib
import random

# kind of fault -> (further fields, whether it is planned work, values of the field "how")
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


# Pairs of faults, each (kind, how), that share a mechanism.
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


# Fields of the fault that ends a day, by name.
CLOSINGS = {
    "power": 'kind = "power_off_all", down_s = 2.0',
    "kill": 'kind = "kill_all", down_s = 1.0',
    "wipe": 'kind = "wipe_after_ack", down_s = 2.0',
    "wipe-oldest": 'kind = "wipe_after_ack", down_s = 2.0, how = "oldest"',
    "wipe-timed": 'kind = "wipe_after_ack", down_s = 2.0, how = "timed"',
}

# Kinds of faults of the control plane: of its hosts or of the state on them.
CONTROL = [
    "node_kill_core", "node_freeze_core", "herd_kill_core", "replace_core", "after_ack_kill", "after_ack_wipe",
    "disk_slow", "disk_full", "disk_stall", "clock_step", "core_cut", "seed_turnover", "config_race", "ack_lost",
]  # fmt: skip

# Number of faults in a sampled day, and the latest second at which they begin.
SAMPLED_FAULTS, MAX_SAMPLED_START_S = 6, 32.0


def entry(kind: str, how: str, at: float) -> str:
    """Returns the TOML text of one fault."""
    extra = KINDS[kind][0]
    fields = f'kind = "{kind.removesuffix("_of_one").replace("kill_core", "kill").replace("freeze_core", "freeze")}"'
    if extra:
        fields += ", " + extra
    if how:
        fields += f', how = "{how}"'
    return f"  {{ at = {at}, {fields} }},"


def fault_name(kind: str, how: str) -> str:
    """Returns the name of a fault for the name of a day."""
    return "-".join([kind, *how.split()]).replace("_", "-")


def day(name: str, injections: list[tuple[str, str, float]], closing: str = "") -> str:
    """Returns the TOML text of a day with faults (kind, how, second) and a closing fault."""
    ends = f"closing = {{ {closing} }}\n" if closing else ""
    plan = "\n".join(entry(k, h, at) for k, h, at in injections if KINDS[k][1])
    faults = "\n".join(entry(k, h, at) for k, h, at in injections if not KINDS[k][1])
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


def write(directory: str, name: str, injections: list[tuple[str, str, float]], closing: str = "") -> None:
    """Writes one day."""
    path = pathlib.Path(__file__).parent.parent / "deploy" / "days" / directory
    path.mkdir(parents=True, exist_ok=True)
    (path / f"{name}.toml").write_text(day(name, injections, closing))


def write_sampled(seed: int, n: int) -> None:
    """Writes n days of sampled faults."""
    for i in range(n):
        r = random.Random(f"{seed}/{i}")
        kinds = [r.choice(CONTROL if j % 2 else list(KINDS)) for j in range(SAMPLED_FAULTS)]
        injections = [(k, r.choice(KINDS[k][2]), round(r.uniform(0.5, MAX_SAMPLED_START_S), 1)) for k in kinds]
        write("drawn", f"drawn-{seed}-{i}", sorted(injections, key=lambda t: t[2]))


def main() -> None:
    """Writes all days, or only sampled ones."""
    options = argparse.ArgumentParser(description=__doc__)
    options.add_argument("--drawn", type=int, default=0, help="number of days with sampled faults to write instead")
    options.add_argument("--seed", type=int, default=1, help="seed for the sampling of faults")
    given = options.parse_args()
    if given.drawn:
        write_sampled(given.seed, given.drawn)
        return
    for kind, (_, _, variants) in KINDS.items():
        for how in variants:
            write("", f"kind-{fault_name(kind, how)}", [(kind, how, at) for at in (6.0, 20.0)])
    for first, second in PAIRS:
        injections = [(*t, at + later) for at in (0.5, 12.0, 27.0) for t, later in ((first, 0.0), (second, 0.7))]
        write("", f"pair-{fault_name(*first)}--{fault_name(*second)}", injections)
    for name, closing in CLOSINGS.items():
        write("", f"closing-{name}", [("config_change", "route", 8.0), ("config_change", "topup", 16.0)], closing)


if __name__ == "__main__":
    main()
