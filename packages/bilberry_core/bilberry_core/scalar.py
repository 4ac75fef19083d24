"""Functions that parse single values of settings and configurations.

Each returns the parsed value, or a message that names the expected and the
actual value.
"""

from collections.abc import Callable
from enum import StrEnum
from ipaddress import ip_address
from re import Pattern
from re import compile as compile_pattern
from typing import Any

from returns.result import Failure, Result, Success

from bilberry_core.endpoint import Address
from bilberry_core.organisation import KEY_DIGEST_BYTES
from bilberry_core.problem import shorten
from bilberry_core.unit import parse_duration_ms

#: Highest TCP port.
MAX_PORT = 65535
#: Longest line of free text, in characters.
MAX_LINE_LENGTH = 500
#: Highest rate, in requests a second.
MAX_RATE = 1_000_000_000
_MAX_HOST_LENGTH = 253
_NAME = compile_pattern(r'[a-z0-9]([a-z0-9_.-]{0,61}[a-z0-9])?')
_HOST = compile_pattern(
    r'[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?'
    r'(\.[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?)*',
)
_METHOD = compile_pattern("[A-Z][A-Z0-9!#$%&'*+.^_`|~-]{0,31}")
_PATH_PREFIX = compile_pattern(r'(/[!-~]{0,499})?')
_PERCENT = compile_pattern('([0-9]{1,3})%')
_DIGEST = compile_pattern(f'[0-9a-f]{{{2 * KEY_DIGEST_BYTES}}}')
_PORT = compile_pattern('[0-9]{1,5}')
_MAX_PERCENT = 100

ParseFunction = Callable[[Any], Result[Any, str]]


def parse_name(found: object) -> Result[str, str]:
    """Returns the name of a service, an instance, an exception or similar."""
    expected = 'a name of 1 to 63 characters a-z 0-9 . _ -'
    return _match(_NAME, found, expected)


def parse_host(found: object) -> Result[str, str]:
    """Returns a host name in lower case."""
    expected = 'a host name in lower case such as callouts.example'
    host = _match(_HOST, found, expected)
    if len(str(found)) > _MAX_HOST_LENGTH:
        return _fail(expected, found)
    return host


def parse_method(found: object) -> Result[str, str]:
    """Returns an HTTP method."""
    return _match(_METHOD, found, 'an HTTP method such as GET')


def parse_path_prefix(found: object) -> Result[str, str]:
    """Returns a path prefix, which may be empty."""
    return _match(_PATH_PREFIX, found, 'a path prefix such as /open')


def parse_percent(found: object) -> Result[int, str]:
    """Returns a percentage between 0% and 100%."""
    expected = 'a percentage between 0% and 100%'
    text = _match(_PERCENT, found, expected)
    percent = text.map(lambda matched: int(matched[:-1]))
    if percent.value_or(0) > _MAX_PERCENT:
        return _fail(expected, found)
    return percent


def parse_digest(found: object) -> Result[str, str]:
    """Returns the digest of a key."""
    digits = 2 * KEY_DIGEST_BYTES
    if isinstance(found, str) and _DIGEST.fullmatch(found):
        return Success(found)
    # The text is not shown: it may be the key itself.
    return Failure(f'expected a digest of {digits} characters 0-9 a-f')


def parse_rate(found: object) -> Result[float, str]:
    """Returns a rate that is not negative."""
    is_number = isinstance(found, int | float) and not isinstance(found, bool)
    if is_number and 0 <= found <= MAX_RATE:
        return Success(float(found))
    return _fail(f'a number between 0 and {MAX_RATE}', found)


def parse_line(found: object) -> Result[str, str]:
    """Returns a non-blank line without surrounding whitespace."""
    if not isinstance(found, str) or not found.strip():
        return _fail('a text that is not blank', found)
    text = found.strip()
    if len(text) > MAX_LINE_LENGTH or not text.isprintable():
        expected = f'one line of at most {MAX_LINE_LENGTH} printable characters'
        return _fail(expected, found)
    return Success(text)


def parse_address(found: object) -> Result[Address, str]:
    """Returns an IP address and a TCP port, such as `127.0.0.1:7000`."""
    expected = f'an IP address and a port up to {MAX_PORT} such as 10.0.0.1:70'
    host, colon, port = str(found).rpartition(':')
    if not isinstance(found, str) or not colon:
        return _fail(expected, found)
    if not _PORT.fullmatch(port) or int(port) > MAX_PORT:
        return _fail(expected, found)
    try:
        address = ip_address(host.removeprefix('[').removesuffix(']'))
    except ValueError:
        return _fail(expected, found)
    return Success(Address(str(address), int(port)))


def parse_integer(low: int, high: int) -> ParseFunction:
    """Returns a function that parses integers in [low, high]."""

    def parse(found: object) -> Result[int, str]:
        is_integer = isinstance(found, int) and not isinstance(found, bool)
        if is_integer and low <= found <= high:
            return Success(found)
        return _fail(f'a whole number between {low} and {high}', found)

    return parse


def parse_boolean(found: object) -> Result[bool, str]:
    """Returns true or false."""
    if isinstance(found, bool):
        return Success(found)
    return _fail('true or false', found)


def parse_choice(choices: type[StrEnum]) -> ParseFunction:
    """Returns a function that parses the members of an enumeration."""
    named = ', '.join(choices)

    def parse(found: object) -> Result[StrEnum, str]:
        if isinstance(found, str) and found in set(choices):
            return Success(choices(found))
        return _fail(f'one of: {named}', found)

    return parse


def parse_duration(
    low_ms: int, high_ms: int, unit_ms: int = 1
) -> ParseFunction:
    """Returns a function that parses durations into units of `unit_ms`."""
    bounds = f'{render_duration(low_ms)} and {render_duration(high_ms)}'

    def parse(found: object) -> Result[int, str]:
        expected = f'a duration such as 250ms or 7s between {bounds}'
        duration = parse_duration_ms(found) if isinstance(found, str) else None
        if not isinstance(duration, Success):
            return _fail(expected, found)
        duration_ms = duration.unwrap()
        if not low_ms <= duration_ms <= high_ms or duration_ms % unit_ms:
            return _fail(expected, found)
        return Success(duration_ms // unit_ms)

    return parse


def render_duration(duration_ms: int) -> str:
    """Returns a duration as text, in the largest unit that divides it."""
    for name, unit_ms in (('h', 3_600_000), ('m', 60_000), ('s', 1000)):
        if duration_ms and duration_ms % unit_ms == 0:
            return f'{duration_ms // unit_ms}{name}'
    return f'{duration_ms}ms'


def _match(
    pattern: Pattern[str],
    found: object,
    expected: str,
) -> Result[str, str]:
    if isinstance(found, str) and pattern.fullmatch(found):
        return Success(found)
    return _fail(expected, found)


def _fail(expected: str, found: object) -> Result[Any, str]:
    return Failure(f'expected {expected}, got {shorten(found)}')
