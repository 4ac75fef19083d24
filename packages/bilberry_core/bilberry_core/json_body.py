"""Decodes JSON that another process sent."""

from collections import Counter
from json import loads
from typing import Any, TypeVar

from msgspec.json import decode

Body = TypeVar('Body')


def decode_json(encoded: bytes, kind: type[Body]) -> Body:
    """Returns the value that `encoded` contains.

    Raises `ValueError` for whatever is no JSON text of this type, is nested
    too deep, or names a key of an object twice.
    """
    text = encoded.decode()
    try:
        body = decode(text, type=kind)
        loads(text, object_pairs_hook=_check_keys)
    except RecursionError as error:
        raise ValueError('JSON is nested too deep') from error
    return body


def _check_keys(pairs: list[tuple[str, Any]]) -> None:
    if len(dict(pairs)) < len(pairs):
        keys = Counter(key for key, _value in pairs)
        raise ValueError(f'the key "{keys.most_common(1)[0][0]}" is repeated')
