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
from bilberry_core.messages.salvage import (
    RecordField,
    RefusedRecords,
    Salvage,
)

MessageType = TypeVar('MessageType')

#: Maximum length of a decompressed message, in bytes.
MAX_EXPANDED_BYTES = 16 << 20
_ZLIB_FIRST_BYTE = 0x78

_types: dict[int, Any] = {}
_numbers: dict[Any, int] = {}
_salvages: dict[Any, Salvage] = {}


class UnknownMessage(NamedTuple):
    """A message of a newer protocol; receivers ignore it."""

    number: int


class RefusedMessage(NamedTuple):
    """A message whose only record is invalid; its stream stays open."""

    number: int


def message(
    number: int,
    records: tuple[RecordField, ...] = (),
    *,
    is_record: bool = False,
) -> Callable[[type[MessageType]], type[MessageType]]:
    """Registers a named tuple as the message with this number.

    Invalid records in the fields `records` are refused alone. With `is_record`
    an invalid message is refused alone: it becomes a `RefusedMessage`.
    """

    def register(kind: type[MessageType]) -> type[MessageType]:
        if number in _types:
            raise ValueError(f'message number {number} is already registered')
        _types[number] = kind
        _numbers[kind] = number
        if records or is_record:
            _salvages[kind] = Salvage(kind, records)
        return kind

    return register


def get_numbers() -> frozenset[int]:
    """Returns the numbers of the messages that are registered."""
    return frozenset(_types)


def encode_message(sent: Any) -> bytes:
    """Returns the encoding of a registered message, compressed if long."""
    return compress_message(pack_message(sent))


def pack_message(sent: Any) -> bytes:
    """Returns the encoding of a registered message, not compressed."""
    return packb((_numbers[type(sent)], *sent))


def decode_message(
    encoded: bytes | memoryview,
    on_refused: Callable[[RefusedRecords], None] = lambda _refused: None,
) -> Any:
    """Returns the message that `encoded` contains.

    Raises `FrameError` for bytes that are not a message. An unknown number
    gives an `UnknownMessage`; additional unknown fields are ignored. Invalid
    records are left out, if the others can be used, and told to `on_refused`.
    """
    number, fields = _unpack(encoded)
    kind = _types.get(number)
    if kind is None:
        return UnknownMessage(number)
    known = fields[: len(kind._fields)]
    try:
        return convert(known, kind)
    except ValidationError as error:
        if kind not in _salvages:
            raise _build_error(kind, error) from error
        return _salvage(known, kind, error, on_refused)


def _salvage(
    fields: list[Any],
    kind: Any,
    error: ValidationError,
    on_refused: Callable[[RefusedRecords], None],
) -> Any:
    """Returns the message without its invalid records."""
    salvage = _salvages[kind]
    if salvage.is_record:
        on_refused(RefusedRecords(kind.__name__, 1, str(error)))
        return RefusedMessage(_numbers[kind])
    refused = salvage.drop_invalid(fields)
    try:
        salvaged = convert(fields, kind)
    except ValidationError as still:
        raise _build_error(kind, still) from still
    on_refused(refused)
    return salvaged


def _build_error(kind: Any, error: ValidationError) -> FrameError:
    return FrameError(f'invalid message {kind.__name__}: {error}')


def _unpack(encoded: bytes | memoryview) -> tuple[int, list[Any]]:
    try:
        number, *fields = unpackb(_decompress(encoded), use_list=False)
    except (ValueError, TypeError, ZlibError) as error:
        raise FrameError(f'invalid message: {error}') from error
    if not isinstance(number, int):
        raise FrameError('a message must begin with its number')
    return number, fields


def _decompress(encoded: bytes | memoryview) -> bytes | memoryview:
    if not encoded or encoded[0] != _ZLIB_FIRST_BYTE:
        return encoded
    decompressor = decompressobj()
    expanded = decompressor.decompress(encoded, MAX_EXPANDED_BYTES)
    if not decompressor.eof:
        raise ValueError(f'decompresses to over {MAX_EXPANDED_BYTES} bytes')
    return expanded
