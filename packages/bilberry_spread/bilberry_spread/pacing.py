"""When a daemon may dial next, and whom."""

from bilberry_core.clock import Clock, RandomSource
from bilberry_core.settings import Peer

from bilberry_spread.backoff import Backoff
from bilberry_spread.source import Source

#: Largest factor by which a time to come back is stretched.
MAX_RETRY_FACTOR = 2.0
#: Shortest and longest time between tries to return to the preferred
#: source, in seconds.
RETURN_DELAYS_S = (30.0, 90.0)
#: The same where the source is in another failure domain than the preferred
#: one, so that all that it tells crosses between them.
CROSS_DOMAIN_RETURN_DELAYS_S = (1.5, 6.0)


class DialTimer:
    """Keeps the time of the next dial, by full-jitter backoff."""

    def __init__(self, clock: Clock, random: RandomSource) -> None:
        """Is due at once."""
        self._clock = clock
        self._random = random
        self._backoff = Backoff(random)
        self._next = clock.now()

    @property
    def is_due(self) -> bool:
        """Whether a dial may begin now."""
        return self._clock.now() >= self._next

    def succeed(self) -> None:
        """Notes that a source told something new."""
        self._backoff.reset()

    def fail(self) -> None:
        """Notes a failure; the next dial waits longer."""
        self._wait(self._backoff.next_delay())

    def defer(self, retry_after_s: float) -> None:
        """Notes that a source asked to come back after some seconds."""
        self._wait(retry_after_s * self._random.uniform(1, MAX_RETRY_FACTOR))

    def _wait(self, seconds: float) -> None:
        self._next = max(self._next, self._clock.now() + seconds)


class ReturnTimer:
    """Spreads over time the tries to return to the preferred source."""

    def __init__(self, clock: Clock, random: RandomSource) -> None:
        """Is due after a delay."""
        self._clock = clock
        self._random = random
        self._next = clock.now()
        self.restart(None, None)

    @property
    def is_due(self) -> bool:
        """Whether to try now."""
        return self._clock.now() >= self._next

    def restart(self, main: Source | None, preferred: Peer | None) -> None:
        """Draws another delay, a short one from a source that is far."""
        delays_s = RETURN_DELAYS_S
        if main is not None and preferred is not None:
            if main.peer.failure_domain != preferred.failure_domain:
                delays_s = CROSS_DOMAIN_RETURN_DELAYS_S
        self._next = self._clock.now() + self._random.uniform(*delays_s)


class SourcePicker:
    """Takes turns among sources, in the order of preference."""

    def __init__(self, peers: tuple[Peer, ...]) -> None:
        """Prefers the first of `peers`."""
        self._peers = peers
        self._main_picks = 0
        self._probe_picks = 0

    @property
    def peers(self) -> tuple[Peer, ...]:
        """Every source, the preferred one first."""
        return self._peers

    def replace(self, peers: tuple[Peer, ...]) -> None:
        """Takes turns among other sources from now on."""
        self._peers = peers

    @property
    def preferred(self) -> Peer | None:
        """The source that is preferred to all others."""
        return self._peers[0] if self._peers else None

    def restart(self) -> None:
        """Starts again with the preferred source."""
        self._main_picks = 0

    def pick(self) -> Peer | None:
        """Returns the next source to attach to."""
        if not self._peers:
            return None
        peer = self._peers[self._main_picks % len(self._peers)]
        self._main_picks += 1
        return peer

    def pick_probe(self, main: Peer) -> Peer | None:
        """Returns the next source to try, of another failure domain first."""
        others = [peer for peer in self._peers if peer != main]
        if not others:
            return None
        others.sort(key=lambda peer: _shares_domain(peer, main))
        peer = others[self._probe_picks % len(others)]
        self._probe_picks += 1
        return peer


def _shares_domain(peer: Peer, main: Peer) -> bool:
    return peer.failure_domain == main.failure_domain
