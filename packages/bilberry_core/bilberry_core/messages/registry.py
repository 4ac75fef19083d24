"""Finds a message type by its number, encodes and decodes messages.

An encoded message is a msgpack array: the number, then the fields in order.
"""

from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

from msgpack import packb, unpackb
from msgspec import ValidationError, convert

from bilberry_core.error import FrameError

Kind = TypeVar('Kind')

_types: dict[int, Any] = {}
_numbers: dict[Any, int] = {}


class UnknownMessage(NamedTuple):
    """A message of a newer protocol; receivers ignore it."""

    number: int


def message(number: int) -> Callable[[type[Kind]], type[Kind]]:
    """Registers a named tuple as the message with this number."""

    def register(kind: type[Kind]) -> type[Kind]:
        if number in _types:
            raise ValueError(f'message number {number} is taken')
        _types[number] = kind
        _numbers[kind] = number
        return kind

    return register


def encode_message(sent: Any) -> bytes:
    """Returns the encoding of a registered message."""
    return packb((_numbers[type(sent)], *sent))


def decode_message(encoded: bytes | memoryview) -> Any:
    """Returns the message that `encoded` holds.

    Raises `FrameError` for bytes that are no message. A number that is not
    known gives an `UnknownMessage`; fields beyond the known are ignored.
    """
    try:
        number, *fields = unpackb(encoded, use_list=False)
    except (ValueError, TypeError) as error:
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
