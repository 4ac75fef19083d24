"""Compares what callers were told with what the upstreams recorded."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from demo.caller import Tally, is_booking


class Evaluation(NamedTuple):
    """Which promises about requests were kept.

    `twice`
        Bookings that ran more than once.
    `untrue`
        Requests that ran although the caller was told they did not.
    `unrecorded`
        Requests with an answer that no upstream has a run for.
    `broken`
        Requests that ended without an answer or a verdict.
    """

    outcomes: Counter[str]
    answered: frozenset[str]
    twice: frozenset[str]
    untrue: frozenset[str]
    unrecorded: frozenset[str]
    broken: int

    @property
    def all_promises_kept(self) -> bool:
        """Whether every promise was kept, and something was answered."""
        faults = len(self.twice | self.untrue | self.unrecorded) + self.broken
        return bool(self.answered) and not faults


def evaluate(tallies: Iterable[Tally], records: Counter[str]) -> Evaluation:
    """Returns the judgement on the requests of several callers."""
    outcomes: Counter[str] = Counter()
    refused: set[str] = set()
    answered: set[str] = set()
    for tally in tallies:
        outcomes += tally.outcomes
        refused |= tally.not_run_ids
        answered |= tally.answered_ids
    return Evaluation(
        outcomes,
        frozenset(answered),
        frozenset(filter(is_booking, _find_repeated(records))),
        frozenset(refused & set(records)),
        frozenset(answered - set(records)),
        outcomes['broken'] + outcomes['no_verdict'],
    )


def _find_repeated(records: Counter[str]) -> list[str]:
    return [name for name, runs in records.items() if runs > 1]
