"""The holders of shares that committed steps build on every replica.

Steps are logged as changes without a base version: a replica of a release that
knows none refuses them as outdated, and goes on.
"""

from secrets import token_hex

from bilberry_core.acceptance import Accepted, Change, Conflict, NotAccepted
from bilberry_core.error import ConfigurationError
from bilberry_core.quota import (
    HolderStep,
    HolderTable,
    ShareHolder,
    decode_holder_step,
    encode_holder_step,
)

#: In place of the base version of a change that concerns holders.
HOLDER_BASE = -2
_AUTHOR = 'leader'
_CHANGE_ID_BYTES = 16


def build_holder_change(step: HolderStep) -> Change:
    """Returns the change that logs a step."""
    return Change(
        token_hex(_CHANGE_ID_BYTES),
        HOLDER_BASE,
        _AUTHOR,
        '',
        encode_holder_step(step),
    )


def is_holder_change(change: Change) -> bool:
    """Returns whether a change is a step of the holders."""
    return change.base_version == HOLDER_BASE


class HolderRegister:
    """The table of holders, built by steps in log order."""

    def __init__(self, table: HolderTable = HolderTable()) -> None:
        """Continues from `table`."""
        self._table = table

    @property
    def table(self) -> HolderTable:
        """The holders after the newest step."""
        return self._table

    def apply(self, change: Change) -> Accepted | Conflict | NotAccepted:
        """Decides a committed step."""
        try:
            step = decode_holder_step(change.content)
        except ConfigurationError as error:
            return NotAccepted(str(error))
        if step.number != self._table.number:
            return Conflict(HOLDER_BASE, ())
        self._table = apply_step(self._table, step)
        return Accepted(self._table.number)


def apply_step(table: HolderTable, step: HolderStep) -> HolderTable:
    """Returns the holders after a step."""
    divisors = {**dict(table.holders), **dict(step.holders)}
    holders = tuple(
        ShareHolder(instance, divisor)
        for instance, divisor in sorted(divisors.items())
        if divisor
    )
    return HolderTable(table.number + 1, holders)
