"""Lends the vote of one replica to the granter that its log elected."""

from bilberry_core.messages.allowance import AllowanceOffer, AllowanceReport

from bilberry_quotas.lending import Lending


class Voter:
    """The vote of one replica on what no daemon holds of the quotas."""

    def __init__(self, instance: str, life: int, now: float) -> None:
        """Starts without an offer; `life` tells the process's starts apart."""
        self._instance = instance
        self._life = life
        self._lending = Lending(now)

    def reply(
        self, offer: AllowanceOffer, now: float
    ) -> AllowanceReport | None:
        """Returns the reply to an offer; None if it is an old one."""
        if not self._lending.receive(offer, now):
            return None
        return AllowanceReport(
            self._instance,
            self._life,
            *offer,
            now,
            self._lending.lend(now),
            is_vote=True,
        )
