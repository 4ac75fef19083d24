"""The large responses of a stand-in upstream, which callers can verify."""

#: Paths with a large response begin so.
LARGE_PATH = '/large/'
#: Length of a large body, in bytes; it crosses every buffer on its way.
LARGE_BYTES = 300_000


def build_large_body(path: str) -> bytes:
    """Returns the response to a request for `path`, which is unlike others."""
    piece = f'{path} '.encode()
    return (piece * (LARGE_BYTES // len(piece) + 1))[:LARGE_BYTES]
