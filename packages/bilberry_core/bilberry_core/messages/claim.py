"""Messages between a proxy and the claim holders (numbers 70 to 89).

Also between holders while claims are handed over. Each carries the claim
epoch that its sender acts in: `epoch` is twice the number of the
`ClaimEpoch`, and one more once its handover has ended. `request` is a number
that the sender picks and that the reply repeats. A `token` names one round of
one attempt.
"""

from enum import IntEnum
from typing import NamedTuple

from bilberry_core.claim import ClaimKey, StoredAnswer
from bilberry_core.messages.registry import message


class HolderPhase(IntEnum):
    """How much a holder's silence about a key means."""

    #: Its folder was empty: it may have lost votes.
    EMPTY = 0
    #: The fleet is new: no holder has voted yet.
    NEW_FLEET = 1
    #: It remembers every vote that it gave.
    FULL = 2


class Standing(NamedTuple):
    """What a holder's reply counts for: only a full one's does.

    `store` is the generation of its data folder, and `stores` the
    generations of others' that it knows.
    """

    phase: HolderPhase
    store: int
    stores: dict[str, int]


@message(70)
class ClaimVote(NamedTuple):
    """Asks for a holder's vote; a holder gives one for each key."""

    request: int
    epoch: int
    claim: ClaimKey
    token: bytes
    fingerprint: bytes
    retention_s: int


@message(71)
class ClaimQuery(NamedTuple):
    """Asks what a holder knows of a key."""

    request: int
    epoch: int
    claim: ClaimKey


@message(72)
class ClaimSettle(NamedTuple):
    """Stores the answer of the request that the token was granted for."""

    request: int
    epoch: int
    claim: ClaimKey
    token: bytes
    fingerprint: bytes
    retention_s: int
    answer: StoredAnswer


@message(73)
class ClaimWithdraw(NamedTuple):
    """The request was not run, and never will be, by these tokens.

    Holders take it in any epoch.
    """

    request: int
    epoch: int
    claim: ClaimKey
    tokens: tuple[bytes, ...]


@message(74)
class ClaimState(NamedTuple):
    """What a holder has durably about a key.

    `tokens` is the one that it voted for, none, or several where it took
    over conflicting votes and gives its own to nobody. `withdrawn` are the
    newest tokens withdrawn. `is_dropped` where there was an answer too large
    to store.
    """

    request: int
    epoch: int
    standing: Standing
    tokens: tuple[bytes, ...]
    fingerprint: bytes
    answer: StoredAnswer | None = None
    is_dropped: bool = False
    withdrawn: tuple[bytes, ...] = ()
    is_full_store: bool = False


@message(75)
class ClaimRefused(NamedTuple):
    """The holder acts in another epoch, `epoch`; 0 where it knows none."""

    request: int
    epoch: int


@message(76)
class HolderProbe(NamedTuple):
    """Asks for a holder's standing and the store known for `instance`."""

    request: int
    epoch: int
    instance: str


@message(77)
class HolderStatus(NamedTuple):
    """A holder's standing, and whether claims were handed over to it."""

    request: int
    epoch: int
    standing: Standing
    is_caught_up: bool


@message(78)
class ClaimPull(NamedTuple):
    """Asks for a page of the claims whose encoded key is above `after`.

    The source first notes durably that `instance` now has this store.
    """

    request: int
    epoch: int
    instance: str
    store: int
    after: bytes


@message(79)
class ClaimPage(NamedTuple):
    """Encoded claims; `last` is the last key looked at, empty at the end."""

    request: int
    epoch: int
    standing: Standing
    records: tuple[bytes, ...]
    last: bytes


ClaimRequest = ClaimVote | ClaimQuery | ClaimSettle | ClaimWithdraw
HolderRequest = HolderProbe | ClaimPull
HolderReply = ClaimState | ClaimRefused | HolderStatus | ClaimPage
