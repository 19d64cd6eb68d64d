#!/usr/bin/env python3
"""Writes deploy/days/kinds: a day for each kind of trouble and each of its variants.

Each trouble comes twice, at 6 s and at 20 s of a calm day; run with
scripts/days.sh SITE.
"""

import pathlib

# kind -> (extra fields, planned work or not, variants of how)
KINDS = {
    "burst": ("x = 2.0, for_s = 4.0", False, [""]),
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
}


def day(kind: str, extra: str, planned: bool, how: str) -> str:
    """Returns the text of one day."""
    fields = f'kind = "{kind.removesuffix("_core") if kind.endswith(("kill_core", "freeze_core")) else kind}"'
    if extra:
        fields += ", " + extra
    if how:
        fields += f', how = "{how}"'
    entries = "\n".join(f"  {{ at = {at}, {fields} }}," for at in (6.0, 20.0))
    name = "-".join([kind.replace("_", "-"), *how.split()]).replace("_", "-")
    plan, faults = (entries, "") if planned else ("", entries)
    return f"""[[day]]
name = "{name}"
slot = "trouble"
seed = 234919558
one = 0.5
zero = 0.1
goal = {{ floor = 0.1 }}
labels = []
plan = [
{plan}
]
faults = [
{faults}
]
"""


def main() -> None:
    """Writes all days."""
    folder = pathlib.Path(__file__).parent.parent / "deploy" / "days" / "kinds"
    folder.mkdir(parents=True, exist_ok=True)
    for kind, (extra, planned, variants) in KINDS.items():
        for how in variants:
            text = day(kind, extra, planned, how)
            name = text.split('name = "')[1].split('"')[0]
            (folder / f"{name}.toml").write_text(text)


if __name__ == "__main__":
    main()
