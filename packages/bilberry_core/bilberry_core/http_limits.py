"""Limits of an HTTP message beside its body, for every reader of one."""

#: Interim responses before one response.
MAX_INTERIM_RESPONSES = 32
#: Header lines of one head, or of the trailers of a body.
MAX_HEADER_LINES = 4096
#: Chunks of a body of any size.
FREE_CHUNKS = 8192
#: Bytes of a body for each further chunk.
MEAN_CHUNK_BYTES = 16


def get_max_chunks(body_bytes: int) -> int:
    """Returns how many chunks a body of this size may have."""
    return FREE_CHUNKS + body_bytes // MEAN_CHUNK_BYTES
