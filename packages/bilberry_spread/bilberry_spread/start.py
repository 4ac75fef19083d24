"""The start rule of a daemon without a disk.

It does not know what it ran before. So before it puts its first configuration
it hears from relays in more than one failure domain, sees the beacon move, so
that one of them is current, and waits until it holds the highest version that
it heard of. The wait is bounded.
"""

from collections.abc import Iterable

from bilberry_core.settings import Peer

#: Longest wait of the start rule, in seconds.
START_WAIT_S = 5.0
#: Failure domains to hear from, where as many are configured.
START_DOMAINS = 2


class StartGate:
    """Tells when the first configuration may be put."""

    def __init__(self, relays: Iterable[Peer], deadline: float) -> None:
        """Waits until `deadline`, in seconds of monotonic time, at most."""
        domains = {relay.failure_domain for relay in relays}
        self._required_domains = min(START_DOMAINS, len(domains))
        self._deadline = deadline
        self._domains_seen: set[str] = set()
        self._highest = 0
        self._has_beacon_advanced = False
        self._open = False

    @property
    def is_open(self) -> bool:
        """Whether the rule was met, or its wait is over."""
        return self._open

    @property
    def heard(self) -> frozenset[str]:
        """The failure domains heard from."""
        return frozenset(self._domains_seen)

    @property
    def highest(self) -> int:
        """The highest version heard of."""
        return self._highest

    def record_version(self, failure_domain: str, version: int) -> None:
        """Notes that a relay of this failure domain knows `version`."""
        self._domains_seen.add(failure_domain)
        self._highest = max(self._highest, version)

    def record_beacon_advance(self) -> None:
        """Notes that a beacon has moved since the start."""
        self._has_beacon_advanced = True

    def check(self, held: int, now: float) -> bool:
        """Tells whether the gate opens now, with version `held`."""
        opens = not self._open and (self.is_met(held) or now >= self._deadline)
        self._open = self._open or opens
        return opens

    def is_met(self, held: int) -> bool:
        """Tells whether enough was heard and `held` is the highest."""
        heard = len(self._domains_seen) >= self._required_domains
        return heard and self._has_beacon_advanced and held >= self._highest
