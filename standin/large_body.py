"""The large responses of a stand-in upstream, which callers can verify."""

from random import Random

#: Paths with a large response begin so.
LARGE_PATH = '/large/'
#: Length of a large body, in bytes; it crosses every buffer on its way.
LARGE_BYTES = 300_000
#: Paths of downloads begin so.
DOWNLOAD_PATH = '/download/'
#: Length of a download, in bytes; a daemon takes it whole from its upstream.
DOWNLOAD_BYTES = 90_000


def build_large_body(path: str) -> bytes:
    """Returns the response to a request for `path`, which is unlike others.

    A download is not made shorter by compression.
    """
    if path.startswith(DOWNLOAD_PATH):
        return Random(path).randbytes(DOWNLOAD_BYTES)
    piece = f'{path} '.encode()
    return (piece * (LARGE_BYTES // len(piece) + 1))[:LARGE_BYTES]
