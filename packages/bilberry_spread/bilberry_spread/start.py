"""Implements the start rule of a daemon that stores nothing on disk.

After a restart it does not know which version it ran before. So before it runs
its first configuration, relays in more than one failure domain must have
reported their versions, the beacon must have advanced (which shows that one of
them is current), and the daemon must have received the highest version
reported. The wait is bounded; it begins with the first configuration received,
since on a loaded link all relays are heard late.
"""

from collections.abc import Iterable

from bilberry_core.settings import Peer

#: Maximum wait of the start rule with a configuration, in seconds.
START_WAIT_S = 5.0
#: Failure domains that must have reported, if that many are configured.
START_DOMAINS = 2


class StartGate:
    """A gate that opens when the first configuration may be run."""

    def __init__(
        self, relays: Iterable[Peer], wait_s: float = START_WAIT_S
    ) -> None:
        """Opens `wait_s` seconds after a configuration came, at the latest."""
        domains = {relay.failure_domain for relay in relays}
        self._required_domains = min(START_DOMAINS, len(domains))
        self._wait_s = wait_s
        self._deadline: float | None = None
        self._domains_seen: set[str] = set()
        self._highest = 0
        self._has_beacon_advanced = False
        self._open = False

    @property
    def is_open(self) -> bool:
        """Whether the rule was met or the deadline has passed."""
        return self._open

    @property
    def heard(self) -> frozenset[str]:
        """The failure domains whose relays have reported a version."""
        return frozenset(self._domains_seen)

    @property
    def highest(self) -> int:
        """The highest version that a relay reported."""
        return self._highest

    def record_version(self, failure_domain: str, version: int) -> None:
        """Records that a relay of this failure domain reported `version`."""
        self._domains_seen.add(failure_domain)
        self._highest = max(self._highest, version)

    def record_beacon_advance(self) -> None:
        """Records that a beacon has advanced since the start."""
        self._has_beacon_advanced = True

    def check(self, held: int, now: float) -> bool:
        """Opens the gate when due; returns whether this call opened it.

        `held` is the version that this daemon has received.
        """
        if self._open:
            return False
        if self._deadline is None and held:
            self._deadline = now + self._wait_s
        is_over = self._deadline is not None and now >= self._deadline
        self._open = is_over or self.is_met(held)
        return self._open

    def is_met(self, held: int) -> bool:
        """Returns whether the rule is met with the received version `held`."""
        heard = len(self._domains_seen) >= self._required_domains
        return heard and self._has_beacon_advanced and held >= self._highest
