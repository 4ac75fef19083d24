"""States that upstreams announced and that bind once they are acknowledged.

An upstream that drains or has left gets no new request, whichever process
forgets it and whichever announcement from before arrives late. So these states
are entries of the replicated log.
"""

from typing import Any, NamedTuple, Self

from msgpack import packb, unpackb
from msgspec import ValidationError, convert

from bilberry_core.bounds import Number
from bilberry_core.endpoint import EndpointState
from bilberry_core.error import ConfigurationError
from bilberry_core.upstream_notice import UpstreamIdentity

#: Maximum number of states in a table; the oldest are dropped first.
MAX_STATES = 4096


class AnnouncedState(NamedTuple):
    """The state of a start of an upstream, as of one announcement.

    `sequence` is the number of that announcement. It is 0 for the departure of
    an upstream whose start was not known: it binds every start up to the one
    that is named. A state of ready takes an earlier drain back.
    """

    upstream: UpstreamIdentity
    sequence: Number
    state: EndpointState

    @property
    def is_gone(self) -> bool:
        """Whether the upstream has left."""
        return self.state is EndpointState.GONE

    @property
    def starts_unknown(self) -> bool:
        """Whether it binds every start up to the one that is named."""
        return self.is_gone and not self.sequence

    def binds(self, sequence: int) -> bool:
        """Returns whether it holds in spite of the announcement `sequence`."""
        if self.state is EndpointState.DRAINING:
            return sequence <= self.sequence
        return self.is_gone


class AnnouncedStateTable(NamedTuple):
    """The newest state of each upstream, by its ID, oldest change first.

    `number` increases with each change.
    """

    number: Number = 0
    states: dict[str, AnnouncedState] = {}

    def find(self, upstream: UpstreamIdentity) -> AnnouncedState | None:
        """Returns the state of a start, None if none binds it.

        A start before the newest one has left. Nothing binds an upstream that
        names no start.
        """
        known = self.states.get(upstream.upstream_id)
        if known is None or not upstream.started_ms:
            return None
        if upstream.started_ms > known.upstream.started_ms:
            return None
        if upstream.started_ms < known.upstream.started_ms:
            return AnnouncedState(upstream, 0, EndpointState.GONE)
        return known

    def covers(self, announced: AnnouncedState) -> bool:
        """Returns whether adding the state would change nothing."""
        known = self.states.get(announced.upstream.upstream_id)
        return merge_states(known, announced) is known

    def add(self, announced: tuple[AnnouncedState, ...]) -> Self:
        """Returns the table with further states; itself if it covers them."""
        states = dict(self.states)
        for one in announced:
            upstream_id = one.upstream.upstream_id
            known = states.get(upstream_id)
            merged = merge_states(known, one)
            if merged is not known:
                states.pop(upstream_id, None)
                states[upstream_id] = merged
        if states == self.states:
            return self
        while len(states) > MAX_STATES:
            states.pop(next(iter(states)))
        return self._replace(number=self.number + 1, states=states)


def merge_states(
    known: AnnouncedState | None, announced: AnnouncedState
) -> AnnouncedState:
    """Returns the state that holds after both; `known` if that is the same."""
    if known is None:
        return announced
    known_ms = known.upstream.started_ms
    if announced.upstream.started_ms != known_ms:
        is_later = announced.upstream.started_ms > known_ms
        return announced if is_later else known
    if known.is_gone:
        return known
    if announced.is_gone:
        sequence = max(known.sequence, announced.sequence)
        return announced._replace(sequence=sequence)
    return announced if announced.sequence > known.sequence else known


def encode_states(states: tuple[AnnouncedState, ...]) -> bytes:
    """Encodes states for the log."""
    return packb(states)


def decode_states(encoded: bytes) -> tuple[AnnouncedState, ...]:
    """Decodes states; raises `ConfigurationError`."""
    try:
        fields: Any = unpackb(encoded, use_list=False)
        return convert(fields, tuple[AnnouncedState, ...])
    except (ValueError, ValidationError) as error:
        raise ConfigurationError(f'invalid states: {error}') from error
