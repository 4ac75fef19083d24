"""Messages between a proxy and the claim holders (numbers 70 to 89).

Holders also exchange them while claims are handed over. Each carries the claim
epoch of its sender: `epoch` is twice the number of the `ClaimEpoch`, plus one
once its handover has ended. `request` is a number that the sender chooses and
that the reply repeats. A `token` identifies one round of one attempt.
"""

from enum import IntEnum
from typing import NamedTuple

from bilberry_core.bounds import SignedNumber
from bilberry_core.claim import ClaimKey, StoredAnswer
from bilberry_core.messages.registry import message


class HolderPhase(IntEnum):
    """How complete a holder's knowledge of its own votes is."""

    #: Its data folder was empty: it may have lost votes.
    EMPTY = 0
    #: The fleet is new: no holder has voted yet.
    NEW_FLEET = 1
    #: It has a record of every vote that it gave.
    FULL = 2


class HolderStanding(NamedTuple):
    """Whether a holder's reply counts: only that of a `FULL` holder does.

    `store` is the generation of its data folder, and `stores` the known
    generations of the data folders of other holders.
    """

    phase: HolderPhase
    store: SignedNumber
    stores: dict[str, SignedNumber]


@message(70)
class ClaimVote(NamedTuple):
    """Asks for a holder's vote; a holder gives one vote per key."""

    request: SignedNumber
    epoch: SignedNumber
    claim: ClaimKey
    token: bytes
    fingerprint: bytes
    retention_s: SignedNumber


@message(71)
class ClaimQuery(NamedTuple):
    """Asks for a holder's state of a key."""

    request: SignedNumber
    epoch: SignedNumber
    claim: ClaimKey


@message(72)
class ClaimSettle(NamedTuple):
    """Stores the response of the request that the token was granted for."""

    request: SignedNumber
    epoch: SignedNumber
    claim: ClaimKey
    token: bytes
    fingerprint: bytes
    retention_s: SignedNumber
    answer: StoredAnswer


@message(73)
class ClaimWithdraw(NamedTuple):
    """Withdraws tokens whose request did not run and never will.

    Holders accept it in any epoch.
    """

    request: SignedNumber
    epoch: SignedNumber
    claim: ClaimKey
    tokens: tuple[bytes, ...]


@message(74)
class ClaimState(NamedTuple):
    """A holder's durable state of a key.

    `tokens` contains the token that it voted for, if any, or several tokens
    if it took over conflicting votes; it then votes for none. `withdrawn`
    contains the most recently withdrawn tokens. `is_dropped` is set if the
    response was too large to store.
    """

    request: SignedNumber
    epoch: SignedNumber
    standing: HolderStanding
    tokens: tuple[bytes, ...]
    fingerprint: bytes
    answer: StoredAnswer | None = None
    is_dropped: bool = False
    withdrawn: tuple[bytes, ...] = ()
    is_full_store: bool = False


@message(75)
class ClaimRefused(NamedTuple):
    """The holder is in another epoch, `epoch`, which is 0 if it knows none."""

    request: SignedNumber
    epoch: SignedNumber


@message(76)
class HolderProbe(NamedTuple):
    """Asks for a holder's standing and the store known for `instance`."""

    request: SignedNumber
    epoch: SignedNumber
    instance: str


@message(77)
class HolderStatus(NamedTuple):
    """Whether a holder's replies count and the claims were handed over."""

    request: SignedNumber
    epoch: SignedNumber
    standing: HolderStanding
    is_caught_up: bool


@message(78)
class ClaimPageRequest(NamedTuple):
    """Asks for a page of the claims whose encoded key is above `after`.

    The source first records durably that `instance` now has this store.
    """

    request: SignedNumber
    epoch: SignedNumber
    instance: str
    store: SignedNumber
    after: bytes


@message(79)
class ClaimPage(NamedTuple):
    """Encoded claims; `last` is the last key examined, empty at the end."""

    request: SignedNumber
    epoch: SignedNumber
    standing: HolderStanding
    records: tuple[bytes, ...]
    last: bytes


ClaimRequest = ClaimVote | ClaimQuery | ClaimSettle | ClaimWithdraw
HolderRequest = HolderProbe | ClaimPageRequest
HolderReply = ClaimState | ClaimRefused | HolderStatus | ClaimPage
