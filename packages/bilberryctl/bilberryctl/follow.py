"""Follows one request through the log lines of several processes."""

from collections.abc import Iterable, Iterator
from pathlib import Path
from sys import stdin
from typing import Any

from msgspec import DecodeError
from msgspec.json import decode

from bilberryctl.exit_code import ExitCode
from bilberryctl.outcome import Outcome, fail, succeed

Line = dict[str, Any]

_STANDARD_INPUT = '-'
_HEADER_FIELDS = frozenset(
    ('time', 'level', 'module', 'event', 'instance', 'request')
)


async def follow_request(request: str, paths: tuple[str, ...]) -> Outcome:
    """Shows every log line of a request, ordered by time."""
    found: list[Line] = []
    for path in paths or (_STANDARD_INPUT,):
        try:
            found += find_lines(request, _read_lines(path))
        except (OSError, UnicodeDecodeError) as error:
            return fail(ExitCode.REFUSED, 'unreadable_file', f'{path}: {error}')
    if not found:
        detail = f'no log line of request "{request}"'
        return fail(ExitCode.REFUSED, 'unknown_request', detail)
    found.sort(key=lambda line: str(line.get('time', '')))
    return succeed(
        {'request': request, 'lines': found},
        '\n'.join(map(describe_line, found)),
    )


def find_lines(request: str, lines: Iterable[str]) -> Iterator[Line]:
    """Yields the log lines whose field `request` equals `request`.

    A line may have a prefix before its JSON object. Lines without a JSON
    object are skipped.
    """
    for text in lines:
        if request not in text:
            continue
        try:
            line = decode(text[text.find('{') :])
        except DecodeError:
            continue
        if isinstance(line, dict) and line.get('request') == request:
            yield line


def describe_line(line: Line) -> str:
    """Returns a log line as text."""
    shown = ', '.join(
        f'{name}: {_format_field(field)}'
        for name, field in line.items()
        if name not in _HEADER_FIELDS and field not in ('', [], None)
    )
    head = f'{line.get("time")} {line.get("instance")} {line.get("event")}'
    return f'{head}\n    {shown}'


def _format_field(field: object) -> str:
    if isinstance(field, list):
        return ' -> '.join(map(str, field))
    return str(field)


def _read_lines(path: str) -> Iterator[str]:
    if path == _STANDARD_INPUT:
        yield from stdin
        return
    with Path(path).open(encoding='utf-8', errors='replace') as lines:
        yield from lines
