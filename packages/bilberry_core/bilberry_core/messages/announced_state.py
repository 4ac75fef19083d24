"""Messages about states of upstreams that are to be kept (number 47)."""

from typing import NamedTuple

from bilberry_core.announced_state import AnnouncedState
from bilberry_core.messages.registry import message
from bilberry_core.messages.salvage import RecordField


@message(47, records=(RecordField('states'),))
class AnnouncedStateUpdate(NamedTuple):
    """States of upstreams: a daemon asks a relay to have them kept.

    The relay answers with those that are kept, and tells those that were kept
    before of an upstream that a daemon announces.
    """

    states: tuple[AnnouncedState, ...]
