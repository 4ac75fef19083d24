"""Decides when a daemon dials next, and which source."""

from collections.abc import Collection

from bilberry_core.clock import Clock, RandomSource
from bilberry_core.settings import Peer

from bilberry_spread.backoff import Backoff
from bilberry_spread.source import Source

#: Largest random factor applied to the retry delay that a source asked for.
MAX_RETRY_FACTOR = 2.0
#: Shortest and longest delay between attempts to return to the preferred
#: source, in seconds.
RETURN_DELAYS_S = (30.0, 90.0)
#: The same, in seconds, while the current source is in another failure domain
#: than the preferred one: until the return all traffic to the source crosses
#: failure domains.
CROSS_DOMAIN_RETURN_DELAYS_S = (1.5, 6.0)


class DialTimer:
    """The time of the next dial, set by full-jitter backoff."""

    def __init__(
        self, clock: Clock, random: RandomSource, max_delay_s: float
    ) -> None:
        """Starts with a dial due immediately; delays are bounded."""
        self._clock = clock
        self._random = random
        self._backoff = Backoff(random, max_delay_s)
        self._next = clock.now()
        self._deferred_until = clock.now()

    @property
    def is_due(self) -> bool:
        """Whether a dial may start now."""
        return self._clock.now() >= max(self._next, self._deferred_until)

    def succeed(self) -> None:
        """Ends the backoff; called when a source sent a newer beacon."""
        self._backoff.reset()
        self._next = self._clock.now()

    def start(self) -> None:
        """Delays the next dial by the backoff; called when one starts."""
        self._next = self._clock.now() + self._backoff.next_delay()

    def defer(self, retry_after_s: float) -> None:
        """Delays the next dial by a busy source's retry delay, plus jitter."""
        wait_s = retry_after_s * self._random.uniform(1, MAX_RETRY_FACTOR)
        self._deferred_until = self._clock.now() + wait_s


class ReturnTimer:
    """A timer with random delays for returning to the preferred source."""

    def __init__(self, clock: Clock, random: RandomSource) -> None:
        """Starts with a random delay of `RETURN_DELAYS_S`."""
        self._clock = clock
        self._random = random
        self._next = clock.now()
        self.restart(None, None)

    @property
    def is_due(self) -> bool:
        """Whether to dial the preferred source now."""
        return self._clock.now() >= self._next

    def restart(self, main: Source | None, preferred: Peer | None) -> None:
        """Draws a new delay.

        It is short if `main` and `preferred` are in different failure domains.
        """
        delays_s = RETURN_DELAYS_S
        if main is not None and preferred is not None:
            if main.peer.failure_domain != preferred.failure_domain:
                delays_s = CROSS_DOMAIN_RETURN_DELAYS_S
        self._next = self._clock.now() + self._random.uniform(*delays_s)


class SourcePicker:
    """Selection of the next source to dial, in order of preference."""

    def __init__(self, peers: tuple[Peer, ...]) -> None:
        """Starts with `peers`, in order of preference."""
        self._peers = peers
        self._picks = 0

    @property
    def peers(self) -> tuple[Peer, ...]:
        """Every source, in order of preference."""
        return self._peers

    def replace(self, peers: tuple[Peer, ...]) -> None:
        """Replaces the sources."""
        self._peers = peers

    @property
    def preferred(self) -> Peer | None:
        """The most preferred source, or None without sources."""
        return self._peers[0] if self._peers else None

    def restart(self) -> None:
        """Makes the next pick the most preferred source again."""
        self._picks = 0

    def pick(self, taken: Collection[Peer] = ()) -> Peer | None:
        """Returns the next source that is not `taken`.

        Sources in failure domains without a taken one come first, so that the
        loss of a failure domain does not delay every dial.
        """
        instances = {peer.instance for peer in taken}
        domains = {peer.failure_domain for peer in taken}
        free = [peer for peer in self._peers if peer.instance not in instances]
        if not free:
            return None
        free.sort(key=lambda peer: peer.failure_domain in domains)
        peer = free[self._picks % len(free)]
        self._picks += 1
        return peer
