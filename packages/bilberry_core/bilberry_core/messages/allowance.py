"""Messages by which allowances of quotas are asked for and granted (80 to 89).

They pass between the leader of the replicas and the proxies, by way of the
relay that a proxy is attached to.
"""

from typing import NamedTuple

from bilberry_core.bounds import Number, Seconds, SignedNumber
from bilberry_core.messages.registry import message
from bilberry_core.messages.salvage import RecordField


@message(80)
class AllowanceOffer(NamedTuple):
    """The leader asks every daemon to lend it its share of the quotas.

    `stamp` is the leader's time, in seconds, and means nothing elsewhere.
    """

    term: SignedNumber
    stamp: Seconds


class AllowanceAsk(NamedTuple):
    """What a daemon needs of the quota of one organisation.

    `wanted` are new requests that wait for a token each, `spare` tokens it
    would hold ready besides. `settled` counts all tokens of this term that it
    has spent or has no use for, in the order in which they were granted, and
    `returned` those of them that it did not spend.
    """

    organisation: str
    wanted: Number = 0
    spare: Number = 0
    settled: Number = 0
    returned: Number = 0


@message(81)
class AllowanceReport(NamedTuple):
    """A daemon's reply to the offer with `term` and `stamp`.

    `life` tells the starts of its process apart. `asked_at` is its own time, in
    seconds, which the answer repeats. `lends` says that it spends nothing of
    its share for now, and `divisor` which share it takes for its own; 0 for
    none. `leaves` says that it will spend nothing any more. A report that
    `is_vote` comes from a replica, which holds no share: it lends the leader
    its vote on what no daemon holds.
    """

    instance: str
    life: Number
    term: SignedNumber
    stamp: Seconds
    asked_at: Seconds
    lends: bool
    divisor: Number = 0
    asks: tuple[AllowanceAsk, ...] = ()
    leaves: bool = False
    is_vote: bool = False


@message(82, records=(RecordField('reports'),))
class AllowanceReports(NamedTuple):
    """The reports that a relay passes on to the leader."""

    reports: tuple[AllowanceReport, ...]


class AllowanceGrant(NamedTuple):
    """What the leader grants of the quota of one organisation.

    Of the wanted tokens `refused` are not to be had now; the first of them may
    be asked for again after `retry_after_ms`.
    """

    organisation: str
    granted: Number = 0
    refused: Number = 0
    retry_after_ms: Number = 0


@message(83)
class AllowanceAnswer(NamedTuple):
    """The leader's answer to a report of an instance.

    `life` and `asked_at` are those of the report; `divisor` is the share that
    the instance may spend while it is out of touch, 0 for none. The grants
    waited `waited_ms` for tokens.
    """

    instance: str
    life: Number
    term: SignedNumber
    asked_at: Seconds
    divisor: Number
    grants: tuple[AllowanceGrant, ...] = ()
    waited_ms: Number = 0


@message(85)
class AllowanceFollow(NamedTuple):
    """Asks a daemon to pass on offers, reports and answers for a while."""


@message(84, records=(RecordField('answers'),))
class AllowanceAnswers(NamedTuple):
    """The answers that a relay passes on to its proxies."""

    answers: tuple[AllowanceAnswer, ...]
