"""Quotas of organisations, and the daemons that hold shares of them.

Every quota is divided into equal shares, whatever the organisation. A daemon
that holds one spends it while it is out of touch, and lends it to the leader of
the replicas otherwise. Who holds one is an entry of the replicated log.
"""

from typing import Any, NamedTuple

from msgpack import packb, unpackb
from msgspec import ValidationError, convert

from bilberry_core.bounds import Number
from bilberry_core.error import ConfigurationError
from bilberry_core.organisation import Organisation

#: Time in which an unused rate always adds up, in seconds: the smallest burst.
MIN_BURST_S = 0.25


class ShareHolder(NamedTuple):
    """A daemon that holds one of `divisor` equal shares of every quota.

    In a step a divisor of 0 takes its share away.
    """

    instance: str
    divisor: Number


class HolderTable(NamedTuple):
    """The daemons that hold shares; `number` increases with each step."""

    number: Number = 0
    holders: tuple[ShareHolder, ...] = ()


class HolderStep(NamedTuple):
    """Changed holders, on top of the table with `number`."""

    number: Number
    holders: tuple[ShareHolder, ...]


class QuotaUse(NamedTuple):
    """What became of the tokens of one organisation in the leader's term.

    Requests that run use the tokens that were `granted` and not `returned`;
    `refused` are those that were over the quota. `held` are tokens that daemons
    may still spend.
    """

    organisation: str
    granted: int = 0
    returned: int = 0
    refused: int = 0
    held: int = 0


class QuotaStatus(NamedTuple):
    """The quotas as the leader grants them.

    `fraction` is the part of every quota that was lent to it, by `daemons`.
    """

    term: int
    fraction: float
    daemons: int
    uses: tuple[QuotaUse, ...]


def sum_shares(divisors: dict[str, int]) -> float:
    """Returns what holders hold together; 1 is a whole quota."""
    return sum(1 / divisor for divisor in divisors.values())


def compute_capacity(organisation: Organisation) -> float:
    """Returns the requests that an organisation may send at once."""
    return max(organisation.burst, organisation.rate * MIN_BURST_S, 1)


def encode_holder_step(step: HolderStep) -> bytes:
    """Encodes a step for the log."""
    return packb(step)


def decode_holder_step(encoded: bytes) -> HolderStep:
    """Decodes a step; raises `ConfigurationError`."""
    try:
        fields: Any = unpackb(encoded, use_list=False)
        return convert(fields, HolderStep)
    except (ValueError, ValidationError) as error:
        raise ConfigurationError(f'invalid holders: {error}') from error
