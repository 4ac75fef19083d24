"""Cuts the bodies of long responses into slices."""

from collections import deque

from bilberry_core.messages.call import ReplyChunk, ReplyStart

#: Longest part of a body that is sent as one message, in bytes.
SLICE_BYTES = 8 << 10

ReplyMessage = ReplyStart | ReplyChunk


def cut_start(reply: ReplyStart) -> deque[ReplyMessage]:
    """Returns the slices of a response that exceeds one."""
    first = reply._replace(body=reply.body[:SLICE_BYTES], last=False)
    rest = ReplyChunk(reply.call, reply.body[SLICE_BYTES:], reply.last)
    return deque((first, *cut_chunk(rest)))


def cut_chunk(chunk: ReplyChunk) -> list[ReplyChunk]:
    """Returns the slices of a chunk; the last ends the response if it does.

    A chunk that fits in a slice is returned as it is.
    """
    body = chunk.body
    if len(body) <= SLICE_BYTES:
        return [chunk]
    slices = [
        chunk._replace(body=body[start : start + SLICE_BYTES], last=False)
        for start in range(0, len(body), SLICE_BYTES)
    ]
    slices[-1] = slices[-1]._replace(last=chunk.last)
    return slices
