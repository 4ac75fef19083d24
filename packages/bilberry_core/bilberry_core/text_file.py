"""Reads small text files named by users, with a size limit.

Only regular files are read: opening a named pipe would wait for a writer.
"""

from pathlib import Path

from returns.result import Failure, Result, Success


def read_text_file(path: Path, max_bytes: int) -> Result[str, str]:
    """Returns the text of a UTF-8 file, or why it can't be used."""
    try:
        if not path.is_file():
            return Failure('expected a regular file, found none')
        with path.open('rb') as opened:
            encoded = opened.read(max_bytes + 1)
    except (OSError, ValueError) as error:
        return Failure(f'expected a readable file: {_describe_error(error)}')
    if len(encoded) > max_bytes:
        return Failure(f'expected a file of at most {max_bytes} bytes')
    try:
        return Success(encoded.decode())
    except UnicodeDecodeError as error:
        return Failure(
            f'expected UTF-8, found an invalid byte at {error.start}'
        )


def _describe_error(error: Exception) -> str:
    return getattr(error, 'strerror', None) or str(error)
