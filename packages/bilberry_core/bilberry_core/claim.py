"""Types for claims, which make non-idempotent requests run at most once.

A claim is a durable record of a request. A request is claimed before it is
dispatched and settled when its outcome is known. `Claims` is the interface
that the proxy uses.
"""

from typing import NamedTuple, Protocol

#: Largest response that is stored for resends, in bytes.
MAX_ANSWER_BYTES = 64 << 10


class ClaimKey(NamedTuple):
    """A service and the value of the request's `Idempotency-Key`."""

    service: str
    key: str


class Attempt(NamedTuple):
    """An attempt to claim a key; `attempt` is unique in the fleet.

    `fingerprint` is the digest of method, target and body: a resend must
    carry the same.
    """

    claim: ClaimKey
    attempt: bytes
    fingerprint: bytes
    retention_s: int


class StoredAnswer(NamedTuple):
    """The response that resends of a claimed request receive."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class Granted(NamedTuple):
    """This attempt, and no other, may dispatch the request."""


class Answered(NamedTuple):
    """The request has already run; `answer` is its response."""

    answer: StoredAnswer


class Taken(NamedTuple):
    """Another attempt holds the claim and was not settled in time."""


class Mismatch(NamedTuple):
    """The key was used before for another request."""


class Unavailable(NamedTuple):
    """No majority of claim holders replied; nothing may be dispatched."""

    detail: str


ClaimOutcome = Granted | Answered | Taken | Mismatch | Unavailable


class Claims(Protocol):
    """The interface for claiming requests with the claim holders."""

    async def claim(self, attempt: Attempt, timeout_s: float) -> ClaimOutcome:
        """Claims a request; waits for the response of an earlier attempt."""

    async def settle(
        self,
        attempt: Attempt,
        answer: StoredAnswer,
        timeout_s: float,
    ) -> bool:
        """Stores the response; returns False if no majority confirmed it."""

    async def release(self, attempt: Attempt, timeout_s: float) -> bool:
        """Releases a claim whose request provably did not run."""
