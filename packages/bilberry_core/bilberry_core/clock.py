"""Clocks and random sources, behind protocols so that tests can control them.

Decisions only read a clock or a random source that was passed in.
"""

from time import CLOCK_BOOTTIME, clock_gettime, monotonic, time
from typing import Protocol

#: Milliseconds in one second.
MS_PER_S = 1000


class Clock(Protocol):
    """A source of monotonic and wall clock time."""

    def now(self) -> float:
        """Returns monotonic time, in seconds."""

    def wall_ms(self) -> int:
        """Returns wall clock time, in milliseconds since the epoch."""


class SystemClock:
    """The clock of this machine."""

    def now(self) -> float:
        """Returns monotonic time, in seconds."""
        return monotonic()

    def wall_ms(self) -> int:
        """Returns wall clock time, in milliseconds since the epoch."""
        return int(time() * MS_PER_S)


class BootClock(SystemClock):
    """The clock of this machine that goes on while it is suspended."""

    def now(self) -> float:
        """Returns the time since the machine was started, in seconds."""
        return clock_gettime(CLOCK_BOOTTIME)


class RandomSource(Protocol):
    """The part of `random.Random` that decisions use."""

    def random(self) -> float:
        """Returns a float in [0, 1)."""

    def uniform(self, low: float, high: float) -> float:
        """Returns a float in [low, high]."""

    def randrange(self, stop: int) -> int:
        """Returns an integer in [0, stop)."""
