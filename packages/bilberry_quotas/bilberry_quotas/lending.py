"""Lends the share of one daemon, or the vote of one replica, to a granter.

It is lent to one granter at a time. It comes back, and may be lent to the next
one or spent by the daemon itself, once that granter may grant no more of it and
what it granted can't be spent any more.
"""

from bilberry_core.messages.allowance import AllowanceOffer

from bilberry_quotas.timing import HOLD_S, LEND_S, TOKEN_S


class Lending:
    """The newest offer, and what was lent in reply to it."""

    def __init__(self, now: float) -> None:
        """Starts without an offer.

        A process of this instance before may have lent its share until now.
        """
        self.offer = AllowanceOffer(0, 0)
        self.divisor = 0
        self.is_leaving = False
        self._offered_at = now
        self._term = 0
        self._until = now + LEND_S
        self._answered_at = now

    def is_in_touch(self, now: float) -> bool:
        """Returns whether a granter may use what is lent to it, or granted."""
        return now < self._offered_at + LEND_S + TOKEN_S

    def measure_silence(self, now: float) -> float:
        """Returns the time since the newest offer, in seconds."""
        return now - self._offered_at

    def has_share(self, now: float) -> bool:
        """Returns whether this daemon may spend of its own share."""
        if self.is_leaving or not self.divisor or self.is_in_touch(now):
            return False
        return now - self._answered_at < HOLD_S

    def receive(self, offer: AllowanceOffer, now: float) -> bool:
        """Follows an offer; returns whether it is newer than the last one."""
        if offer <= self.offer:
            return False
        self.offer = offer
        self._offered_at = now
        return True

    def confirm(self, divisor: int, asked_at: float) -> None:
        """Notes the share that the answer to a report of `asked_at` names.

        An answer to an older report names a share of before.
        """
        if asked_at >= self._answered_at:
            self.divisor = divisor
            self._answered_at = asked_at

    def lend(self, now: float) -> bool:
        """Lends to the maker of the newest offer, unless it is not free."""
        is_free = self._term == self.offer.term or now >= self._until + TOKEN_S
        if self.is_leaving or not is_free:
            return False
        self._term = self.offer.term
        self._until = self._offered_at + LEND_S
        return True
