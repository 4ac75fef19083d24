"""Claim holders in memory, for tests; they can be made unavailable."""

from asyncio import Event, wait_for

from bilberry_core.claim import (
    Answered,
    Attempt,
    ClaimOutcome,
    Granted,
    Mismatch,
    StoredAnswer,
    Taken,
    Unavailable,
)


class FakeClaims:
    """A consistent store of claims, shared by every proxy of a test."""

    def __init__(self) -> None:
        self.is_unavailable = False
        self.attempts: dict = {}
        self.answers: dict = {}
        self._changed = Event()

    async def claim(self, attempt: Attempt, timeout_s: float) -> ClaimOutcome:
        """Grants the first attempt; others wait for its response."""
        if self.is_unavailable:
            return Unavailable('no claim holder is reachable')
        first = self.attempts.setdefault(attempt.claim, attempt)
        if first is attempt:
            return Granted()
        if first.fingerprint != attempt.fingerprint:
            return Mismatch()
        try:
            return await wait_for(self._wait(attempt.claim), timeout_s)
        except TimeoutError:
            return Taken()

    async def settle(
        self, attempt: Attempt, answer: StoredAnswer, _timeout_s: float
    ) -> bool:
        """Stores a response."""
        self.answers[attempt.claim] = answer
        self._notify()
        return True

    async def release(self, attempt: Attempt, _timeout_s: float) -> bool:
        """Releases a claim."""
        del self.attempts[attempt.claim]
        self._notify()
        return True

    async def _wait(self, claim) -> Answered:
        while claim not in self.answers:
            await self._changed.wait()
        return Answered(self.answers[claim])

    def _notify(self) -> None:
        self._changed.set()
        self._changed = Event()
