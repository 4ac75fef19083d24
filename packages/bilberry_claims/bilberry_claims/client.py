"""Claim client of a proxy: claims requests with the current holders."""

from asyncio import CancelledError, wait
from collections import OrderedDict
from itertools import count
from logging import getLogger

from bilberry_core.board import Board
from bilberry_core.claim import (
    Attempt,
    ClaimOutcome,
    Granted,
    StoredAnswer,
    Unavailable,
)
from bilberry_core.clock import Clock, RandomSource
from bilberry_core.settings import Settings
from bilberry_core.stream import Credentials

from bilberry_claims.broadcast import Broadcast, TokenUpdate
from bilberry_claims.exchange import Exchange, Holders
from bilberry_claims.limit import MAX_KEY_BYTES
from bilberry_claims.process import ClaimProcess, ProcessDependencies

_log = getLogger(__name__)

#: Most broadcasts without a majority; beyond that the oldest is abandoned.
_MAX_BROADCASTS = 4096
#: Most grants kept for `settle` or `release`; beyond that the oldest is
#: dropped.
_MAX_GRANTED = 100_000


class ClaimClient:
    """Client that claims requests with the holders of the current epoch."""

    def __init__(
        self,
        board: Board,
        credentials: Credentials,
        clock: Clock,
        random: RandomSource,
    ) -> None:
        """Opens no stream before the first claim."""
        self._clock = clock
        self._holders = Holders(board, credentials)
        self._dependencies = ProcessDependencies(count(1).__next__, random)
        self._broadcasts: OrderedDict[Exchange, None] = OrderedDict()
        self._granted: OrderedDict[bytes, ClaimProcess] = OrderedDict()

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        board: Board,
        credentials: Credentials,
        clock: Clock,
        random: RandomSource,
    ) -> 'ClaimClient':
        """Returns the client of one daemon."""
        return cls(board, credentials, clock, random)

    async def claim(self, attempt: Attempt, timeout_s: float) -> ClaimOutcome:
        """Claims a request, or waits for the response to another attempt.

        Each call needs an attempt of its own. After any outcome but
        `Granted`, and after a cancellation, the attempt is never granted.
        """
        if len(attempt.claim.key.encode()) > MAX_KEY_BYTES:
            return Unavailable(
                f'the idempotency key is longer than {MAX_KEY_BYTES} bytes'
            )
        started = self._clock.now()
        process = ClaimProcess(attempt, self._dependencies)
        await self._decide(process, attempt, timeout_s)
        if isinstance(process.outcome, Granted):
            self._record_grant(attempt.attempt, process)
        _log.info(
            'claim_decided',
            extra={
                'service': attempt.claim.service,
                'attempt': attempt.attempt.hex(),
                'outcome': type(process.outcome).__name__,
                'took_s': self._clock.now() - started,
            },
        )
        return process.outcome

    async def settle(
        self,
        attempt: Attempt,
        answer: StoredAnswer,
        timeout_s: float,
    ) -> bool:
        """Stores the response; returns whether a majority confirmed it."""
        process = self._granted.pop(attempt.attempt, None)
        if process is None:
            return False
        update = TokenUpdate(attempt, (process.token,), answer)
        return await self._confirm(update, timeout_s)

    async def release(self, attempt: Attempt, timeout_s: float) -> bool:
        """Frees a claim whose request is known not to have run.

        Returns whether a majority confirmed it in time.
        """
        process = self._granted.pop(attempt.attempt, None)
        if process is None:
            return False
        tokens = (process.token, *process.withdrawn)
        return await self._confirm(TokenUpdate(attempt, tokens), timeout_s)

    async def stop(self) -> None:
        """Ends all exchanges and closes all streams."""
        self._holders.close()

    def _record_grant(self, attempt: bytes, process: ClaimProcess) -> None:
        self._granted[attempt] = process
        if len(self._granted) > _MAX_GRANTED:
            self._granted.popitem(last=False)

    async def _decide(
        self,
        process: ClaimProcess,
        attempt: Attempt,
        timeout_s: float,
    ) -> None:
        exchange = Exchange(self._holders, process)
        try:
            await wait([exchange.done], timeout=timeout_s)
        except CancelledError:
            exchange.apply(process.give_up('cancelled'))
            raise
        finally:
            self._finish_claim(exchange, process, attempt)

    def _finish_claim(
        self,
        exchange: Exchange,
        process: ClaimProcess,
        attempt: Attempt,
    ) -> None:
        """Ends the process; its tokens are withdrawn unless it was granted."""
        if process.outcome is None:
            detail = 'no majority of the claim holders replied in time'
            exchange.apply(process.give_up(detail))
        exchange.close()
        if process.withdrawn and not process.token:
            update = TokenUpdate(attempt, process.withdrawn)
            self._start_broadcast(Broadcast(update, self._dependencies))

    async def _confirm(self, update: TokenUpdate, timeout_s: float) -> bool:
        broadcast = Broadcast(update, self._dependencies)
        exchange = self._start_broadcast(broadcast)
        await wait([exchange.done], timeout=timeout_s)
        return broadcast.is_confirmed

    def _start_broadcast(self, broadcast: Broadcast) -> Exchange:
        """Starts a broadcast that continues after the caller has returned."""
        exchange = Exchange(self._holders, broadcast)
        self._broadcasts[exchange] = None
        exchange.done.add_done_callback(
            lambda _done: self._broadcasts.pop(exchange, None),
        )
        if len(self._broadcasts) > _MAX_BROADCASTS:
            oldest, _ = self._broadcasts.popitem(last=False)
            oldest.close()
        return exchange
