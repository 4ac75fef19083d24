"""Cuts the bodies of long responses into slices."""

from bilberry_core.messages.call import ReplyChunk, ReplyStart

#: Smallest and largest part of a body that is sent as one message, in bytes.
MIN_SLICE_BYTES = 2 << 10
MAX_SLICE_BYTES = 8 << 10
_US_PER_S = 1_000_000

ReplyMessage = ReplyStart | ReplyChunk


def add_wait(message: ReplyMessage, waited_s: float) -> ReplyMessage:
    """Returns a message whose response has waited for the link.

    `waited_s` is in seconds; it counts like the wait for a slot.
    """
    if isinstance(message, ReplyChunk):
        return message
    waited_us = message.load.waited_us + int(waited_s * _US_PER_S)
    return message._replace(load=message.load._replace(waited_us=waited_us))


def cut_slice(
    message: ReplyMessage,
    size: int,
) -> tuple[ReplyMessage, ReplyChunk | None]:
    """Returns the first `size` bytes of a message, and the rest if any.

    The last slice ends the response if the message does.
    """
    body = message.body
    if len(body) <= size:
        return message, None
    rest = ReplyChunk(message.call, body[size:], message.last)
    return message._replace(body=body[:size], last=False), rest
