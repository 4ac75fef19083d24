"""Claims: the durable record that a non-idempotent request runs at most once.

`Claims` is what the proxy needs of the claim holders. A request is claimed
before it is dispatched and settled when its outcome is known.
"""

from typing import NamedTuple, Protocol

#: Largest answer that is stored for resends, in bytes.
MAX_ANSWER_BYTES = 64 << 10


class ClaimKey(NamedTuple):
    """A service and the value of the request's `Idempotency-Key`."""

    service: str
    key: str


class Attempt(NamedTuple):
    """One try to claim a key; `attempt` is unique over the fleet.

    `fingerprint` is the digest of method, target and body: a resend must
    carry the same.
    """

    claim: ClaimKey
    attempt: bytes
    fingerprint: bytes
    retention_s: int


class StoredAnswer(NamedTuple):
    """The answer that resends of a claimed request get."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class Granted(NamedTuple):
    """This attempt, and no other, may dispatch the request."""


class Answered(NamedTuple):
    """The request ran before; this was its answer."""

    answer: StoredAnswer


class Taken(NamedTuple):
    """Another attempt holds the claim and gave no answer in time."""


class Mismatch(NamedTuple):
    """The key was used before for another request."""


class Unavailable(NamedTuple):
    """No majority of claim holders answered; nothing may be dispatched."""

    detail: str


ClaimOutcome = Granted | Answered | Taken | Mismatch | Unavailable


class Claims(Protocol):
    """Claims requests with the claim holders."""

    async def claim(self, attempt: Attempt, timeout_s: float) -> ClaimOutcome:
        """Claims a request, waiting for another attempt's answer."""

    async def settle(
        self,
        attempt: Attempt,
        answer: StoredAnswer,
        timeout_s: float,
    ) -> bool:
        """Stores the answer; False where no majority confirmed it."""

    async def release(self, attempt: Attempt, timeout_s: float) -> bool:
        """Frees a claim whose request was proven not run."""
