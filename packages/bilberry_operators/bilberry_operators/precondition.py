"""Checks the token and headers that a change must have."""

from hmac import compare_digest
from http import HTTPStatus
from re import compile as compile_pattern
from typing import NamedTuple
from urllib.parse import unquote

from bilberry_core.http import HttpRequest

from bilberry_operators.answer import RefusedError

#: Maximum length of author and note, in characters.
MAX_TEXT_LENGTH = 500
_BASE_VERSION_PATTERN = compile_pattern('"([0-9]{1,15})"')
_CHANGE_ID_PATTERN = compile_pattern('[A-Za-z0-9._:-]{1,128}')
_BEARER = 'Bearer '


class Precondition(NamedTuple):
    """Base version, change ID, author and note of a change."""

    base_version: int
    change_id: str
    author: str
    note: str


def check_token(request: HttpRequest, token: str) -> None:
    """Raises `RefusedError` unless the request carries the bearer token."""
    if not token:
        raise RefusedError(
            HTTPStatus.FORBIDDEN,
            'changes_disabled',
            'this daemon accepts no changes: its settings have no token_file',
        )
    received = request.get_header(b'authorization')
    expected = f'{_BEARER}{token}'
    if not compare_digest(received.encode(), expected.encode()):
        raise RefusedError(
            HTTPStatus.UNAUTHORIZED,
            'unauthorized',
            'expected the operators\' token: "Authorization: Bearer ..."',
        )


def read_precondition(request: HttpRequest) -> Precondition:
    """Returns the precondition from the headers of a change.

    Raises `RefusedError` for a header that is missing or malformed.
    """
    return Precondition(
        base_version=_read_base_version(request.get_header(b'if-match')),
        change_id=_read_change_id(request.get_header(b'bilberry-change-id')),
        author=_read_text(request, b'bilberry-author'),
        note=_read_text(request, b'bilberry-note'),
    )


def _read_base_version(if_match: str) -> int:
    if not if_match:
        raise RefusedError(
            HTTPStatus.PRECONDITION_REQUIRED,
            'precondition_required',
            'expected If-Match with the base version, such as "12"',
        )
    match = _BASE_VERSION_PATTERN.fullmatch(if_match)
    if match is None:
        raise _build_header_error('If-Match', 'one quoted version such as "12"')
    return int(match[1])


def _read_change_id(change_id: str) -> str:
    if _CHANGE_ID_PATTERN.fullmatch(change_id):
        return change_id
    raise _build_header_error(
        'Bilberry-Change-Id',
        '1 to 128 letters, digits or . _ : -',
    )


def _read_text(request: HttpRequest, name: bytes) -> str:
    text = unquote(request.get_header(name), errors='replace').strip()
    if len(text) <= MAX_TEXT_LENGTH and text.isprintable():
        return text
    raise _build_header_error(
        name.decode(),
        f'at most {MAX_TEXT_LENGTH} printable characters, percent-encoded',
    )


def _build_header_error(name: str, expected: str) -> RefusedError:
    return RefusedError(
        HTTPStatus.BAD_REQUEST,
        'bad_request',
        f'{name}: expected {expected}',
    )
