"""Compares the outcomes that callers got with the upstreams' records."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from demo.caller import Tally, is_booking


class Evaluation(NamedTuple):
    """The outcomes of requests, and those that broke a promise.

    `twice`
        Bookings that ran more than once.
    `untrue`
        Requests that ran although the caller got the verdict `not_run`.
    `unrecorded`
        Requests with a successful response but no recorded run.
    `mixed`
        Requests that were answered with another body than their upstream's.
    `broken`
        Number of requests that ended without a response or a verdict.
    """

    outcomes: Counter[str]
    answered: frozenset[str]
    twice: frozenset[str]
    untrue: frozenset[str]
    unrecorded: frozenset[str]
    mixed: frozenset[str]
    broken: int

    @property
    def all_promises_kept(self) -> bool:
        """Whether no promise was broken and some request was answered."""
        wrong = self.twice | self.untrue | self.unrecorded | self.mixed
        faults = len(wrong) + self.broken
        return bool(self.answered) and not faults


def evaluate(tallies: Iterable[Tally], records: Counter[str]) -> Evaluation:
    """Evaluates the requests of several callers.

    `records` counts the runs of each request ID at all upstreams.
    """
    outcomes: Counter[str] = Counter()
    refused: set[str] = set()
    answered: set[str] = set()
    mixed: set[str] = set()
    for tally in tallies:
        outcomes += tally.outcomes
        refused |= tally.not_run_ids
        answered |= tally.answered_ids
        mixed |= tally.mixed_ids
    return Evaluation(
        outcomes,
        frozenset(answered),
        frozenset(filter(is_booking, _find_repeated(records))),
        frozenset(refused & set(records)),
        frozenset(answered - set(records)),
        frozenset(mixed),
        outcomes['broken'] + outcomes['no_verdict'],
    )


def _find_repeated(records: Counter[str]) -> list[str]:
    return [name for name, runs in records.items() if runs > 1]
