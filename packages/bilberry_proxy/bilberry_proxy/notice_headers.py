"""Reads the headers in which an upstream says something of itself.

A header that can't be read says nothing: it neither names a limit nor ends
one.
"""

from re import ASCII
from re import compile as compile_pattern
from typing import NamedTuple

from bilberry_core.upstream_notice import is_valid_rate_limit

from bilberry_proxy.dialect import HttpDialect
from bilberry_proxy.http_headers import Headers

_DECIMAL = compile_pattern(r'\d{1,12}(\.\d{0,12})?|\.\d{1,12}', ASCII)
_LEAVING_VALUES = {'0': False, '1': True}


class HeaderFault(NamedTuple):
    """A header that can't be read, and its value."""

    header: str
    text: str


class NoticeHeaders(NamedTuple):
    """What one response says of its upstream.

    `rate_limit` is in requests a second, None if the response names none.
    """

    rate_limit: float | None = None
    rate_limit_fault: HeaderFault | None = None
    is_leaving: bool = False
    leaving_fault: HeaderFault | None = None


def read_notice_headers(
    headers: Headers,
    dialect: HttpDialect,
) -> NoticeHeaders:
    """Returns what the headers of a response say of its upstream."""
    limits = _find_values(headers, dialect.rate_limit)
    leavings = _find_values(headers, dialect.leaving)
    if not limits and not leavings:
        return NoticeHeaders()
    rate_limit = _parse_rate_limit(limits)
    leaving = _parse_leaving(leavings)
    return NoticeHeaders(
        rate_limit,
        _describe_fault(dialect.rate_limit, limits, rate_limit),
        bool(leaving),
        _describe_fault(dialect.leaving, leavings, leaving),
    )


def _find_values(headers: Headers, name: bytes) -> set[str]:
    if not name:
        return set()
    return {
        element.strip()
        for known, text in headers
        if known == name
        for element in text.decode('latin-1').split(',')
    }


def _parse_rate_limit(values: set[str]) -> float | None:
    """Returns the one valid limit; None without one, or with several."""
    if len(values) != 1:
        return None
    text = next(iter(values))
    if _DECIMAL.fullmatch(text) is None:
        return None
    rate_limit = float(text)
    return rate_limit if is_valid_rate_limit(rate_limit) else None


def _parse_leaving(values: set[str]) -> bool | None:
    if len(values) != 1:
        return None
    return _LEAVING_VALUES.get(next(iter(values)))


def _describe_fault(
    name: bytes,
    values: set[str],
    parsed: float | bool | None,
) -> HeaderFault | None:
    if not values or parsed is not None:
        return None
    return HeaderFault(name.decode(), ', '.join(sorted(values)))
