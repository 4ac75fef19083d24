"""Loads the settings file of a daemon, checked whole before anything starts.

The table `SETTINGS` says what the file may hold. The secret and the token are
read from the files that it names, relative to the settings file.
"""

from collections.abc import Callable
from enum import StrEnum
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

from bilberry_core.document import load_document
from bilberry_core.endpoint import Address
from bilberry_core.problem import Problem, Report
from bilberry_core.scalar import (
    parse_address,
    parse_choice,
    parse_duration,
    parse_line,
    parse_name,
)
from bilberry_core.schema import ListOf, Option, Scalar, Section
from bilberry_core.settings import (
    ListenSettings,
    Peer,
    Role,
    Settings,
    TimingSettings,
)

#: Shortest secret of a fleet and shortest token, in characters.
MIN_SECRET_LENGTH = 16
_MAX_SECRET_BYTES = 4096
_LONGEST_TIMING_MS = 3_600_000


class LogLevel(StrEnum):
    """The level from which on lines are logged."""

    DEBUG = 'DEBUG'
    INFO = 'INFO'
    WARNING = 'WARNING'
    ERROR = 'ERROR'


_NAME = Scalar(parse_name)
_ADDRESS = Scalar(parse_address)
_TEXT = Scalar(parse_line)
_TIMING = Scalar(parse_duration(1, _LONGEST_TIMING_MS))

_LISTEN = Section(
    ListenSettings,
    {
        'streams': Option('streams', _ADDRESS, required=True),
        'callers': Option('callers', _ADDRESS),
        'upstream': Option('upstream', _ADDRESS),
        'operators': Option('operators', _ADDRESS),
    },
)
_PEER = Section(
    Peer,
    {
        'instance': Option('instance', _NAME, required=True),
        'address': Option('address', _ADDRESS, required=True),
        'failure_domain': Option('failure_domain', _NAME, required=True),
    },
)
_LOG = Section(
    dict,
    {
        'file': Option('log_file', _TEXT),
        'level': Option('log_level', Scalar(parse_choice(LogLevel))),
    },
)
_TIMINGS = Section(
    TimingSettings,
    {
        name.removesuffix('_ms'): Option(name, _TIMING)
        for name in TimingSettings._fields
    },
)

#: Everything that a settings file may hold.
SETTINGS = Section(
    dict,
    {
        'fleet': Option('fleet', _NAME, required=True),
        'instance': Option('instance', _NAME, required=True),
        'failure_domain': Option('failure_domain', _NAME, required=True),
        'region': Option('region', _NAME, required=True),
        'roles': Option(
            'roles',
            ListOf(Scalar(parse_choice(Role))),
            required=True,
        ),
        'listen': Option('listen', _LISTEN, required=True),
        'secret_file': Option('secret', _TEXT, required=True),
        'token_file': Option('token', _TEXT),
        'data_folder': Option('data_folder', _TEXT),
        'replicas': Option('replicas', ListOf(_PEER)),
        'relays': Option('relays', ListOf(_PEER)),
        'statsd': Option('statsd', _ADDRESS),
        'log': Option('log', _LOG),
        'timing': Option('timing', _TIMINGS),
    },
)


def load_settings(path: str) -> Result[Settings, tuple[Problem, ...]]:
    """Returns the settings that a file holds, or everything wrong with it."""
    report = Report(path)
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, ValueError) as error:
        report.add('', f'expected a readable file: {error}')
        return Failure(report.problems)
    return parse_settings(text, path)


def parse_settings(
    text: str,
    path: str,
) -> Result[Settings, tuple[Problem, ...]]:
    """Returns the settings in `text`, the content of the file at `path`."""
    report = Report(path)
    document = load_document(text)
    if isinstance(document, Failure):
        report.add('', document.failure())
        return Failure(report.problems)
    fields = SETTINGS.read(document.unwrap(), '', report)
    if fields is not None:
        fields.update(fields.pop('log', {}))
        _check_together(fields, report)
        _read_files(fields, Path(path).parent, report)
    if report.problems:
        return Failure(report.problems)
    fields['roles'] = frozenset(fields['roles'])
    return Success(Settings(**fields))


def _check_together(fields: dict[str, Any], report: Report) -> None:
    for key, expected, is_met in _RULES:
        if not is_met(fields):
            report.add(key, f'expected {expected}')


def _read_files(fields: dict[str, Any], folder: Path, report: Report) -> None:
    if 'data_folder' in fields:
        fields['data_folder'] = str(folder / fields['data_folder'])
    if 'log_file' in fields:
        fields['log_file'] = str(folder / fields['log_file'])
    secret = _read_secret(folder / fields['secret'], 'secret_file', report)
    fields['secret'] = secret.encode()
    if 'token' in fields:
        token_file = folder / fields['token']
        fields['token'] = _read_secret(token_file, 'token_file', report)


def _read_secret(path: Path, key: str, report: Report) -> str:
    try:
        with path.open('rb') as opened:
            secret = opened.read(_MAX_SECRET_BYTES + 1)
    except OSError as error:
        report.add(key, f'expected a readable file: {error}')
        return ''
    text = secret.decode('ascii', errors='replace').strip()
    if len(secret) > _MAX_SECRET_BYTES or not text.isascii():
        report.add(key, f'expected at most {_MAX_SECRET_BYTES} ASCII bytes')
    elif len(text) < MIN_SECRET_LENGTH or not text.isprintable():
        report.add(
            key,
            f'expected a file with at least {MIN_SECRET_LENGTH} characters',
        )
    return text


def _has_role(fields: dict[str, Any], role: Role) -> bool:
    return role in fields['roles']


def _is_listed(fields: dict[str, Any], role: Role, key: str) -> bool:
    if not _has_role(fields, role):
        return True
    return any(
        peer.instance == fields['instance'] for peer in fields.get(key, ())
    )


def _listens(fields: dict[str, Any], address: Address | None) -> bool:
    return not _has_role(fields, Role.PROXY) or address is not None


def _differ(fields: dict[str, Any], key: str) -> bool:
    names = [peer.instance for peer in fields.get(key, ())]
    return len(names) == len(set(names))


_RULES: tuple[tuple[str, str, Callable[[dict[str, Any]], bool]], ...] = (
    ('roles', 'at least one role', lambda fields: bool(fields['roles'])),
    (
        'data_folder',
        'a folder, which role replica needs',
        lambda fields: (
            not _has_role(fields, Role.REPLICA) or 'data_folder' in fields
        ),
    ),
    (
        'listen.callers',
        'an address, which role proxy needs',
        lambda fields: _listens(fields, fields['listen'].callers),
    ),
    (
        'listen.upstream',
        'an address, which role proxy needs',
        lambda fields: _listens(fields, fields['listen'].upstream),
    ),
    (
        'replicas',
        'this instance among them, which has role replica',
        lambda fields: _is_listed(fields, Role.REPLICA, 'replicas'),
    ),
    (
        'replicas',
        'instances that differ',
        lambda fields: _differ(fields, 'replicas'),
    ),
    (
        'relays',
        'this instance among them, which has role relay',
        lambda fields: _is_listed(fields, Role.RELAY, 'relays'),
    ),
    (
        'relays',
        'instances that differ',
        lambda fields: _differ(fields, 'relays'),
    ),
)
