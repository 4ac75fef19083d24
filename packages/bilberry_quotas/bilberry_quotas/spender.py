"""Spends allowances on one daemon.

In touch, the daemon lends its share of the quotas to the leader, and requests
take tokens that the leader grants. Out of touch, it spends its own share, once
what it lent and what it was granted can't be used any more.
"""

from logging import getLogger

from bilberry_core.allowance import Token, TokenRefusal, TokenWaiter
from bilberry_core.clock import MS_PER_S, RandomSource
from bilberry_core.messages.allowance import (
    AllowanceAnswer,
    AllowanceOffer,
    AllowanceReport,
)
from bilberry_core.organisation import Organisation

from bilberry_quotas.lending import Lending
from bilberry_quotas.purse import Purse
from bilberry_quotas.timing import OFFER_S, RETURN_S, TOKEN_S

_log = getLogger(__name__)

#: Length of the number that tells the starts of a process apart, in bits.
LIFE_BITS = 48
#: Time without an offer after which requests without a token are refused at
#: once, in seconds. Before, the next leader is probably being elected.
PATIENCE_S = 3.0
#: Time after which a caller may come back that was refused out of touch, in
#: seconds; up to twice as long, so that callers don't come together.
COME_BACK_S = 0.5


class Spender:
    """The tokens of one daemon, and its share of the quotas."""

    def __init__(
        self,
        instance: str,
        life: int,
        window_s: float,
        random: RandomSource,
        now: float,
    ) -> None:
        """Starts out of touch.

        `life` tells the starts of the process apart. Quotas hold for each
        window of `window_s` seconds.
        """
        self.lending = Lending(now)
        self._instance = instance
        self._life = life
        self._window_s = window_s
        self._random = random
        self._is_own = False
        self._purses: dict[str, Purse] = {}
        self._measured_at = now

    @property
    def has_news(self) -> bool:
        """Whether the leader is to be told of some organisation soon."""
        return any(purse.has_news for purse in self._purses.values())

    @property
    def held(self) -> int:
        """Tokens at hand, of all organisations."""
        return sum(purse.held for purse in self._purses.values())

    @property
    def waiting(self) -> int:
        """Requests that wait for a token."""
        return sum(len(purse.line) for purse in self._purses.values())

    def ask(
        self,
        organisation: Organisation,
        waiter: TokenWaiter,
        now: float,
        *,
        is_late: bool = False,
    ) -> bool:
        """Gives a token, lets the request wait, or refuses it.

        Returns whether there was no token at hand.
        """
        purse = self._find_purse(organisation, now)
        purse.count_need()
        if purse.take(now):
            waiter.on_token(
                Token(organisation.name, self.lending.offer.term, now)
            )
            return False
        purse.line.add(waiter, now, is_late=is_late)
        if not self.lending.is_in_touch(now):
            self._serve_own(purse, now)
        return True

    def leave(self, organisation: Organisation, waiter: TokenWaiter) -> None:
        """Takes back a request that waits."""
        purse = self._purses.get(organisation.name)
        if purse is not None:
            purse.line.leave(waiter)

    def give_back(self, token: Token, now: float) -> None:
        """Takes back the token of a request that did not run."""
        purse = self._purses.get(token.organisation)
        if purse is None or token.given_at < purse.since:
            return
        if now - token.given_at > RETURN_S:
            return
        if token.term is None:
            purse.own.give_back()
        elif token.term == self.lending.offer.term:
            purse.give_back()

    def receive_offer(self, offer: AllowanceOffer, now: float) -> bool:
        """Follows an offer; returns whether it is to be replied to."""
        before = self.lending.offer
        if not self.lending.receive(offer, now):
            return False
        if offer.term > before.term:
            for purse in self._purses.values():
                purse.restart_term()
        self._measure_demand(now)
        return True

    def receive_answer(self, answer: AllowanceAnswer, now: float) -> None:
        """Hands out what the leader of this term granted."""
        if (answer.life, answer.term) != (self._life, self.lending.offer.term):
            return
        if answer.asked_at > now:
            _log.warning(
                'allowance_answer_refused', extra={'term': answer.term}
            )
            return
        self.lending.confirm(answer.divisor, answer.asked_at)
        granted_at = min(answer.asked_at + answer.waited_ms / MS_PER_S, now)
        until = granted_at + TOKEN_S
        for grant in answer.grants:
            purse = self._purses.get(grant.organisation)
            if purse is not None:
                purse.put(grant.granted, until)
                self._hand_out(purse, now)
                purse.refuse(grant.refused, grant.retry_after_ms)

    def build_report(self, now: float) -> AllowanceReport | None:
        """Returns the reply to the newest offer; None without one."""
        lending = self.lending
        if not lending.offer.term:
            return None
        lends = lending.lend(now)
        self._is_own = self._is_own and not lends
        asks = [purse.build_ask(now) for purse in self._purses.values()]
        return AllowanceReport(
            self._instance,
            self._life,
            *lending.offer,
            now,
            lends,
            lending.divisor,
            tuple(ask for ask in asks if ask is not None),
            lending.is_leaving,
        )

    def repeat_asks(self) -> None:
        """Asks again for all who wait, as the way to the leader is new."""
        for purse in self._purses.values():
            purse.line.repeat()

    def tick(self, now: float) -> None:
        """Drops old tokens; out of touch, serves requests that wait."""
        is_in_touch = self.lending.is_in_touch(now)
        for purse in self._purses.values():
            purse.expire(now)
            if is_in_touch:
                purse.refuse_overdue(now)
            elif len(purse.line):
                self._serve_own(purse, now)

    def drop_absent(self, names: set[str]) -> None:
        """Forgets organisations that have no quota any more."""
        for name in self._purses.keys() - names:
            purse = self._purses.pop(name)
            for waiter in purse.line.pop_all():
                waiter.on_token(Token(name, None))

    def _find_purse(self, organisation: Organisation, now: float) -> Purse:
        purse = self._purses.get(organisation.name)
        if purse is None:
            purse = Purse(organisation, self._window_s, now)
            self._purses[organisation.name] = purse
        purse.organisation = organisation
        return purse

    def _serve_own(self, purse: Purse, now: float) -> None:
        """Serves who waits of the own share; refuses the others in the end."""
        if not self._is_own:
            self._is_own = True
            for each in self._purses.values():
                each.own.restart(now)
        while len(purse.line) and self.lending.has_share(now):
            divisor = self.lending.divisor
            if not purse.own.take(purse.organisation, divisor, now):
                break
            waiter = purse.line.pop_first()
            waiter.on_token(Token(purse.organisation.name, None, now))
        if self.lending.measure_silence(now) >= PATIENCE_S:
            self._refuse_waiting(purse)

    def _refuse_waiting(self, purse: Purse) -> None:
        for waiter in purse.line.pop_all():
            after_s = COME_BACK_S * (1 + self._random.random())
            waiter.on_token_refused(
                TokenRefusal(False, int(after_s * MS_PER_S))
            )

    def _hand_out(self, purse: Purse, now: float) -> None:
        while len(purse.line) and purse.take(now):
            waiter = purse.line.pop_first()
            waiter.on_token(
                Token(purse.organisation.name, self.lending.offer.term, now)
            )

    def _measure_demand(self, now: float) -> None:
        seconds = now - self._measured_at
        if seconds < OFFER_S / 2:
            return
        self._measured_at = now
        for purse in self._purses.values():
            purse.measure_demand(seconds)
