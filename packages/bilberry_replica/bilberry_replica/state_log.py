"""Logs states of upstreams as changes of the replicated log.

They are logged without a base version: a replica of a release that knows none
refuses them as outdated, and goes on.
"""

from secrets import token_hex

from bilberry_core.acceptance import Accepted, Change, NotAccepted
from bilberry_core.announced_state import (
    AnnouncedState,
    AnnouncedStateTable,
    decode_states,
    encode_states,
)
from bilberry_core.error import ConfigurationError

#: In place of the base version of a change that concerns states.
STATE_BASE = -3
_AUTHOR = 'relay'
_CHANGE_ID_BYTES = 16


def build_state_change(states: tuple[AnnouncedState, ...]) -> Change:
    """Returns the change that logs states."""
    return Change(
        token_hex(_CHANGE_ID_BYTES),
        STATE_BASE,
        _AUTHOR,
        '',
        encode_states(states),
    )


def is_state_change(change: Change) -> bool:
    """Returns whether a change logs states of upstreams."""
    return change.base_version == STATE_BASE


class StateRegister:
    """The table of states, built by changes in log order."""

    def __init__(
        self, table: AnnouncedStateTable = AnnouncedStateTable()
    ) -> None:
        """Continues from `table`."""
        self._table = table

    @property
    def table(self) -> AnnouncedStateTable:
        """The states after the newest change."""
        return self._table

    def apply(self, change: Change) -> Accepted | NotAccepted:
        """Decides a committed change; logging a state again changes nothing."""
        try:
            states = decode_states(change.content)
        except ConfigurationError as error:
            return NotAccepted(str(error))
        self._table = self._table.add(states)
        return Accepted(self._table.number)
