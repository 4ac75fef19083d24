"""Registers message types by number, encodes and decodes messages.

An encoded message is a msgpack array: the number, then the fields in order.
A long one is compressed. Its first byte shows that, because no array starts
with the first byte of a zlib stream.
"""

from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar
from zlib import decompressobj
from zlib import error as ZlibError

from msgpack import packb, unpackb
from msgspec import ValidationError, convert

from bilberry_core.error import FrameError
from bilberry_core.messages.compression import compress_message

MessageType = TypeVar('MessageType')

#: Maximum length of a decompressed message, in bytes.
MAX_EXPANDED_BYTES = 16 << 20
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
            raise ValueError(f'message number {number} is already registered')
        _types[number] = kind
        _numbers[kind] = number
        return kind

    return register


def encode_message(sent: Any) -> bytes:
    """Returns the encoding of a registered message, compressed if long."""
    return compress_message(pack_message(sent))


def pack_message(sent: Any) -> bytes:
    """Returns the encoding of a registered message, not compressed."""
    return packb((_numbers[type(sent)], *sent))


def decode_message(encoded: bytes | memoryview) -> Any:
    """Returns the message that `encoded` contains.

    Raises `FrameError` for bytes that are not a message. An unknown number
    gives an `UnknownMessage`; additional unknown fields are ignored.
    """
    try:
        encoded = _decompress(encoded)
        number, *fields = unpackb(encoded, use_list=False)
    except (ValueError, TypeError, ZlibError) as error:
        raise FrameError(f'invalid message: {error}') from error
    if not isinstance(number, int):
        raise FrameError('a message must begin with its number')
    kind = _types.get(number)
    if kind is None:
        return UnknownMessage(number)
    try:
        return convert(fields[: len(kind._fields)], kind)
    except ValidationError as error:
        raise FrameError(f'invalid message {kind.__name__}: {error}') from error


def _decompress(encoded: bytes | memoryview) -> bytes | memoryview:
    if not encoded or encoded[0] != _ZLIB_FIRST_BYTE:
        return encoded
    decompressor = decompressobj()
    expanded = decompressor.decompress(encoded, MAX_EXPANDED_BYTES)
    if not decompressor.eof:
        raise ValueError(f'decompresses to over {MAX_EXPANDED_BYTES} bytes')
    return expanded
