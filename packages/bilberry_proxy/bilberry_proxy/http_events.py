"""Batches of the events of an h11 connection, and how messages are encoded.

The events of one step are passed on together, so that a small message is
handled at once.
"""

from typing import NamedTuple

from h11 import (
    Connection,
    Data,
    EndOfMessage,
    InformationalResponse,
    Request,
    Response,
)

_CONTINUE = 100


class EventBatch(NamedTuple):
    """The available events of one message; `last` is set at its end."""

    start: Request | Response | None
    body: bytes
    last: bool

    @property
    def is_empty(self) -> bool:
        """Whether no event was available."""
        return self.start is None and not self.body and not self.last


def encode_message(
    connection: Connection,
    start: Request | Response | None,
    body: bytes,
    last: bool,
) -> bytes:
    """Returns the encoded bytes of a message or of a part of one.

    Raises `LocalProtocolError` if the part violates the framing.
    """
    parts = []
    if start is not None:
        parts.append(connection.send(start))
    if body:
        parts.append(connection.send(Data(data=body)))
    if last:
        parts.append(connection.send(EndOfMessage()))
    return b''.join(parts)


def encode_continue(connection: Connection) -> bytes:
    """Returns a `100 Continue` response if the peer waits for one."""
    if not connection.they_are_waiting_for_100_continue:
        return b''
    return connection.send(
        InformationalResponse(status_code=_CONTINUE, headers=[]),
    )
