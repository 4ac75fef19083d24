"""Checks that only a crash cuts requests on open connections."""

from collections.abc import Collection, Iterable
from typing import NamedTuple

from demo.open_caller import OpenCaller

#: Time for a caller to notice that its connection was lost, in seconds.
NOTICE_S = 1.0


class Span(NamedTuple):
    """A span of monotonic time, in seconds."""

    begin: float
    end: float


def find_cuts(
    callers: Iterable[OpenCaller],
    runs: Collection[str],
    crashes: Collection[Span],
) -> list[str]:
    """Returns each request that was cut while nothing was crashed.

    `runs` are the IDs of the requests that upstreams ran; others were not read.
    A response that an upstream breaks off ends its connection, with all that
    was sent ahead on it.
    """
    return [
        f'cut: {request_id}'
        for caller in callers
        for request_id, cut_at in sorted(caller.cut.items())
        if request_id in runs and not _is_excused(cut_at, crashes)
    ]


def _is_excused(cut_at: float, crashes: Collection[Span]) -> bool:
    return any(
        crash.begin <= cut_at <= crash.end + NOTICE_S for crash in crashes
    )
