"""Decides who holds a share of the quotas, on the leader.

A share that shrinks is told first and logged when its holder has confirmed it;
one that grows or begins is logged first and told then. So the log names at
least what every daemon may spend while it is out of touch.
"""

from typing import NamedTuple

from bilberry_core.quota import (
    HolderStep,
    HolderTable,
    ShareHolder,
    sum_shares,
)

#: Fewest shares that every quota is divided into.
MIN_SHARES = 16
#: Steps in which the number of shares doubles.
STEPS = 4
#: Most of a quota that holders may have together, for rounding errors.
_WHOLE = 1 + 1e-9


class KnownDaemon(NamedTuple):
    """What a leader knows of a daemon.

    `divisor` is the share that it takes for its own, 0 for none; `is_gone`
    says that it will spend nothing any more.
    """

    divisor: int
    is_gone: bool = False


def choose_divisor(daemons: int) -> int:
    """Returns into how many shares a quota is divided for `daemons`.

    The number grows by quarters of a power of two, so that few daemons more
    don't change every share.
    """
    power = MIN_SHARES
    while power * 2 < daemons:
        power *= 2
    step = power // STEPS
    return max(MIN_SHARES, -(-daemons // step) * step)


def find_told_divisor(logged: int, wanted: int) -> int:
    """Returns the share that a holder is told to take; 0 for none."""
    return max(logged, wanted) if logged else 0


def count_daemons(table: HolderTable, known: dict[str, KnownDaemon]) -> int:
    """Returns how many daemons there are, known or logged."""
    gone = {instance for instance, daemon in known.items() if daemon.is_gone}
    logged = {holder.instance for holder in table.holders}
    return len((logged | known.keys()) - gone)


def plan_step(
    table: HolderTable, known: dict[str, KnownDaemon], wanted: int
) -> HolderStep | None:
    """Returns the next step, or None if nothing is to be changed.

    `wanted` is the divisor that every daemon is to have.
    """
    divisors = dict(table.holders)
    changes: dict[str, int] = {}
    for instance, daemon in known.items():
        logged = divisors.get(instance, 0)
        changed = _decide(logged, daemon, wanted)
        if changed != logged:
            changes[instance] = changed
    return _fit(table, divisors, changes)


def _decide(logged: int, daemon: KnownDaemon, wanted: int) -> int:
    """Returns the divisor that a daemon is to have in the log."""
    if daemon.is_gone:
        return 0
    if not logged:
        return wanted
    if daemon.divisor > logged:
        return daemon.divisor
    return min(logged, wanted)


def _fit(
    table: HolderTable, divisors: dict[str, int], changes: dict[str, int]
) -> HolderStep | None:
    """Returns a step of the changes for which there is room."""
    steps: list[ShareHolder] = []
    after = dict(divisors)
    for instance, divisor in sorted(changes.items(), key=_shrinking_first):
        tried = {**after, instance: divisor}
        if not divisor:
            tried.pop(instance)
        if sum_shares(tried) <= _WHOLE or not divisor:
            after = tried
            steps.append(ShareHolder(instance, divisor))
    return HolderStep(table.number, tuple(steps)) if steps else None


def _shrinking_first(change: tuple[str, int]) -> tuple[bool, int, str]:
    instance, divisor = change
    return bool(divisor), -divisor, instance
