"""Loads and validates the settings file of a daemon.

The file is checked as a whole before anything starts. The table `SETTINGS`
defines what it may contain. The secret and the token are read from the files
that it names, relative to the settings file.
"""

from enum import StrEnum
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

from bilberry_core.document import MAX_DOCUMENT_BYTES, load_document
from bilberry_core.problem import Problem, Report
from bilberry_core.scalar import (
    parse_address,
    parse_choice,
    parse_duration,
    parse_integer,
    parse_line,
    parse_name,
)
from bilberry_core.schema import ListOf, Option, Scalar, Section
from bilberry_core.settings import (
    ListenSettings,
    Peer,
    Role,
    RolloutSettings,
    Settings,
    TimingSettings,
)
from bilberry_core.settings_rules import check_rules, collect_facts
from bilberry_core.text_file import read_text_file

#: Shortest secret of a fleet and shortest token, in characters.
MIN_SECRET_LENGTH = 16
_MAX_SECRET_BYTES = 4096
_MAX_TIMING_MS = 3_600_000
_MAX_PERCENT = 100
_MAX_SLACK = 1_000_000
_PATH_FIELDS = ('data_folder', 'log_file')


class LogLevel(StrEnum):
    """The minimum level of logged lines."""

    DEBUG = 'DEBUG'
    INFO = 'INFO'
    WARNING = 'WARNING'
    ERROR = 'ERROR'


_NAME = Scalar(parse_name)
_ADDRESS = Scalar(parse_address)
_TEXT = Scalar(parse_line)
_TIMING = Scalar(parse_duration(1, _MAX_TIMING_MS))

_LISTEN = Section(
    ListenSettings,
    {
        'streams': Option('streams', _ADDRESS, required=True),
        'callers': Option('callers', _ADDRESS),
        'upstream': Option('upstream', _ADDRESS),
        'operators': Option('operators', _ADDRESS),
        'metrics': Option('metrics', _ADDRESS),
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
#: The section `timing`.
TIMINGS = Section(
    TimingSettings,
    {
        name.removesuffix('_ms'): Option(name, _TIMING)
        for name in TimingSettings._fields
    },
)

_ROLLOUTS = Section(
    RolloutSettings,
    {
        'exposed_percent': Option(
            'exposed_percent', Scalar(parse_integer(1, _MAX_PERCENT))
        ),
        'exposed_slack': Option(
            'exposed_slack', Scalar(parse_integer(0, _MAX_SLACK))
        ),
    },
)

#: The keys that a settings file may contain.
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
        'timing': Option('timing', TIMINGS),
        'rollouts': Option('rollouts', _ROLLOUTS),
    },
)


def load_settings(path: str) -> Result[Settings, tuple[Problem, ...]]:
    """Returns the settings in a file, or all of its problems."""
    text = read_text_file(Path(path), MAX_DOCUMENT_BYTES)
    if isinstance(text, Failure):
        return Failure((Problem(path, '', text.failure()),))
    return parse_settings(text.unwrap(), path)


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
    content = document.unwrap()
    fields = SETTINGS.read(content, '', report)
    if isinstance(content, dict):
        _check_key_rules(content, report)
        secrets = _read_secrets(content, Path(path).parent, report)
    if report.count:
        return Failure(report.problems)
    return Success(_build_settings(fields | secrets, Path(path).parent))


def _check_key_rules(content: dict[object, Any], report: Report) -> None:
    timing = TIMINGS.read(content.get('timing', {}), '', Report(''))
    check_rules(collect_facts(content, timing), report)


def _read_secrets(
    content: dict[object, Any],
    folder: Path,
    report: Report,
) -> dict[str, str]:
    return {
        field: _read_secret(folder / content[key], key, report)
        for field, key in (('secret', 'secret_file'), ('token', 'token_file'))
        if isinstance(content.get(key), str)
    }


def _build_settings(fields: dict[str, Any], folder: Path) -> Settings:
    fields |= fields.pop('log', {})
    for name in _PATH_FIELDS:
        if name in fields:
            fields[name] = str(folder / fields[name])
    fields['roles'] = frozenset(fields['roles'])
    fields['secret'] = fields['secret'].encode()
    return Settings(**fields)


def _read_secret(path: Path, key: str, report: Report) -> str:
    found = read_text_file(path, _MAX_SECRET_BYTES)
    if isinstance(found, Failure):
        report.add(key, f'{path}: {found.failure()}')
        return ''
    secret = found.unwrap().strip()
    if len(secret) < MIN_SECRET_LENGTH or not _is_printable_ascii(secret):
        report.add(
            key,
            f'{path}: expected {MIN_SECRET_LENGTH} or more printable ASCII'
            ' characters on one line',
        )
    return secret


def _is_printable_ascii(secret: str) -> bool:
    return secret.isascii() and secret.isprintable()
