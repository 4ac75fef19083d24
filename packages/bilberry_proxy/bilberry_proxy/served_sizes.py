"""Knows the usual size of responses of the upstream beside this daemon.

A proxy that was just started knows no sizes, and sends none with its calls. The
daemon beside the upstream has seen the responses to others, by the host and the
first segment of the path.
"""

from bilberry_core.messages.call import CallStart, ReplyStart

from bilberry_proxy.http_headers import find_header
from bilberry_proxy.response_size import ResponseSizes, parse_length

#: Hosts and first segments that are remembered; the oldest one is dropped.
MAX_KEYS = 512
_HOST = b'host'

SizeKey = tuple[str, str]


class ServedSizes:
    """The usual sizes of the responses of one upstream."""

    def __init__(self) -> None:
        """Starts without observations."""
        self._sizes = ResponseSizes(MAX_KEYS)

    def estimate(self, start: CallStart) -> int:
        """Returns the usual size of the response to a call, if long, else 0.

        In bytes; what the caller's daemon knows goes first.
        """
        return start.response_bytes or self._sizes.estimate(build_key(start))

    def record(self, key: SizeKey, reply: ReplyStart) -> None:
        """Records the size that the response to a call of this key names."""
        length = parse_length(reply.headers)
        if length is not None:
            self._sizes.update(key, length)


def build_key(start: CallStart) -> SizeKey:
    """Returns the host and the first segment of the path of a call."""
    host = find_header(start.headers, _HOST)
    path = start.target.partition(b'?')[0]
    segment = path.lstrip(b'/').partition(b'/')[0]
    return host.decode('latin-1'), segment.decode('latin-1')
