"""Finds a message type by its number, encodes and decodes messages.

An encoded message is a msgpack array: the number, then the fields in order.
A long one is compressed, which its first byte tells: a zlib stream begins with
a byte that begins no array.
"""

from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar
from zlib import compress, decompressobj
from zlib import error as ZlibError

from msgpack import packb, unpackb
from msgspec import ValidationError, convert

from bilberry_core.error import FrameError

MessageType = TypeVar('MessageType')

#: Length from which on a message is compressed, in bytes.
COMPRESS_BYTES = 1024
#: Longest message that a compressed one may expand to, in bytes.
MAX_EXPANDED_BYTES = 16 << 20
_COMPRESS_LEVEL = 1
_ZLIB_FIRST_BYTE = 0x78

_types: dict[int, Any] = {}
_numbers: dict[Any, int] = {}


class UnknownMessage(NamedTuple):
    """A message of a newer protocol; receivers ignore it."""

    number: int


def message(number: int) -> Callable[[type[MessageType]], type[MessageType]]:
    """Registers a named tuple as the message with this number."""

    def register(kind: type[MessageType]) -> type[MessageType]:
        if number in _types:
            raise ValueError(f'message number {number} is taken')
        _types[number] = kind
        _numbers[kind] = number
        return kind

    return register


def encode_message(sent: Any) -> bytes:
    """Returns the encoding of a registered message."""
    encoded = packb((_numbers[type(sent)], *sent))
    if len(encoded) < COMPRESS_BYTES:
        return encoded
    return compress(encoded, _COMPRESS_LEVEL)


def decode_message(encoded: bytes | memoryview) -> Any:
    """Returns the message that `encoded` holds.

    Raises `FrameError` for bytes that are no message. A number that is not
    known gives an `UnknownMessage`; fields beyond the known are ignored.
    """
    try:
        encoded = _decompress(encoded)
        number, *fields = unpackb(encoded, use_list=False)
    except (ValueError, TypeError, ZlibError) as error:
        raise FrameError(f'no message: {error}') from error
    if not isinstance(number, int):
        raise FrameError('a message must begin with its number')
    kind = _types.get(number)
    if kind is None:
        return UnknownMessage(number)
    try:
        return convert(fields[: len(kind._fields)], kind)
    except ValidationError as error:
        raise FrameError(f'message {kind.__name__}: {error}') from error


def _decompress(encoded: bytes | memoryview) -> bytes | memoryview:
    if not encoded or encoded[0] != _ZLIB_FIRST_BYTE:
        return encoded
    decompressor = decompressobj()
    expanded = decompressor.decompress(encoded, MAX_EXPANDED_BYTES)
    if not decompressor.eof:
        raise ValueError(f'expands to over {MAX_EXPANDED_BYTES} bytes')
    return expanded
