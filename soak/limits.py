"""Checks that upstreams got no more than they said that they accept.

The bounds are those that the users state. A daemon counts once it has passed
on a response that said so; a restart, a freeze or a cut excuses it.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from itertools import zip_longest
from typing import NamedTuple

from standin.arrivals import ArrivalLine

RATE_LIMIT = 'bilberry-rate-limit'
LEAVING = 'bilberry-leaving'
#: Time after the first naming of a limit from which it binds, in seconds.
STABLE_S = 3.0
#: Length of a window, and the requests that it may have beyond the limit.
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
#: Time after a daemon was told of a limit from which it counts, in seconds.
TOLD_S = 0.5
#: Time after a daemon was told of a departure from which it may send no
#: further request, in seconds.
DRAIN_S = 2.0


class Excuse(NamedTuple):
    """A span in which a daemon was stopped, frozen or cut off."""

    instance: str
    begin: float
    end: float


class _Saying(NamedTuple):
    """Headers of an upstream, and the span in which they held."""

    said: dict[str, str]
    begin: float
    end: float


class _History(NamedTuple):
    """What is known of one start of an upstream and of its callers."""

    start: str
    arrivals: list[ArrivalLine]
    sayings: tuple[_Saying, ...]
    excuses: tuple[Excuse, ...]
    sent_at: dict[str, float]


def find_breaches(
    lines: Iterable[ArrivalLine],
    excuses: Iterable[Excuse],
    sent_at: dict[str, float],
) -> list[str]:
    """Returns each breach of a limit or a departure, one for a start.

    `sent_at` is the monotonic time at which a caller sent each request.
    """
    by_start: dict[str, list[ArrivalLine]] = defaultdict(list)
    for recorded_line in lines:
        by_start[recorded_line.start].append(recorded_line)
    excuses = tuple(excuses)
    breaches = []
    for start, recorded in by_start.items():
        history = _History(
            start,
            [line for line in recorded if line.said is None],
            tuple(_read_sayings(recorded)),
            excuses,
            sent_at,
        )
        breaches += _check_limits(history)
        breaches += _check_departure(history)
    return breaches


def get_origin(request: str) -> str:
    """Returns the daemon at which a request began, from its ID."""
    return request.partition('-')[2].rpartition('-')[0]


def _read_sayings(recorded: list[ArrivalLine]) -> Iterator[_Saying]:
    said = [line for line in recorded if line.said is not None]
    ends = [line.at for line in said[1:]]
    for line, end in zip_longest(said, ends, fillvalue=recorded[-1].at):
        yield _Saying(line.said, line.at, end)


def _check_limits(history: _History) -> Iterator[str]:
    for begin, end in _find_limited_spans(history.sayings):
        told = _find_told(history.arrivals, begin, TOLD_S)
        times = [
            line.at
            for line in history.arrivals
            if begin + STABLE_S <= line.at <= end
            and line.at >= told.get(get_origin(line.request), end)
            and not _is_excused(line, begin, history.excuses)
        ]
        breach = _find_full_window(times, history.sayings)
        if breach:
            yield f'limit: {history.start} {breach}'


def _find_full_window(times: list[float], sayings: tuple[_Saying, ...]) -> str:
    for index, first in enumerate(times):
        limit = _find_limit(sayings, first, first + WINDOW_S)
        got = sum(1 for at in times[index:] if at < first + WINDOW_S)
        allowed = LIMIT_FACTOR * limit * WINDOW_S + LIMIT_SLACK
        if got > allowed:
            return f'got {got} requests in {WINDOW_S} s, {allowed} allowed'
    return ''


def _find_limited_spans(
    sayings: tuple[_Saying, ...],
) -> Iterator[tuple[float, float]]:
    begin: float | None = None
    for saying in sayings:
        if RATE_LIMIT in saying.said:
            begin = saying.begin if begin is None else begin
        elif begin is not None:
            yield begin, saying.begin
            begin = None
    if begin is not None:
        yield begin, sayings[-1].end


def _find_limit(
    sayings: tuple[_Saying, ...],
    begin: float,
    end: float,
) -> float:
    """Returns the largest limit that held in a span."""
    return max(
        float(saying.said[RATE_LIMIT])
        for saying in sayings
        if RATE_LIMIT in saying.said
        and saying.begin <= end
        and saying.end >= begin
    )


def _check_departure(history: _History) -> Iterator[str]:
    left = [
        saying.begin for saying in history.sayings if LEAVING in saying.said
    ]
    if not left:
        return
    told = _find_told(history.arrivals, left[0], DRAIN_S)
    late = [
        line
        for line in history.arrivals
        if get_origin(line.request) in told
        and history.sent_at.get(line.request, 0)
        >= told[get_origin(line.request)]
        and not _is_excused(line, left[0], history.excuses)
    ]
    if late:
        yield f'departure: {history.start} got {len(late)} requests later'


def _find_told(
    arrivals: list[ArrivalLine],
    since: float,
    after_s: float,
) -> dict[str, float]:
    """Returns from when each daemon counts, `after_s` after it was told."""
    told: dict[str, float] = {}
    for line in arrivals:
        if line.at >= since:
            told.setdefault(get_origin(line.request), line.at + after_s)
    return told


def _is_excused(
    line: ArrivalLine,
    since: float,
    excuses: tuple[Excuse, ...],
) -> bool:
    origin = get_origin(line.request)
    return any(
        excuse.instance == origin
        and excuse.end >= since
        and excuse.begin <= line.at
        for excuse in excuses
    )
