"""Cuts the bodies of long responses into slices."""

from bilberry_core.messages.call import ReplyChunk, ReplyStart

#: Smallest and largest part of a body that is sent as one message, in bytes.
MIN_SLICE_BYTES = 2 << 10
MAX_SLICE_BYTES = 8 << 10

ReplyMessage = ReplyStart | ReplyChunk


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
