"""Reads and validates the operator's configuration file."""

from pathlib import Path
from typing import NamedTuple

from bilberry_core.configuration import Configuration
from bilberry_core.configuration_file import parse_configuration
from bilberry_core.document import MAX_DOCUMENT_BYTES
from bilberry_core.organisation import compute_key_digest
from bilberry_core.text_file import read_text_file
from returns.result import Failure

from bilberryctl.exit_code import ExitCode
from bilberryctl.outcome import Outcome, fail, succeed


class LocalFile(NamedTuple):
    """A valid configuration file: its text and its configuration."""

    text: str
    configuration: Configuration


def read_configuration(path: str) -> LocalFile | Outcome:
    """Returns the file, or an outcome that lists every problem in it."""
    found = read_text_file(Path(path), MAX_DOCUMENT_BYTES)
    if isinstance(found, Failure):
        detail = f'{path}: {found.failure()}'
        return fail(ExitCode.REFUSED, 'unreadable_file', detail)
    text = found.unwrap()
    parsed = parse_configuration(text, path)
    if isinstance(parsed, Failure):
        problems = parsed.failure()
        lines = '\n'.join(problem.describe() for problem in problems)
        return fail(
            ExitCode.REFUSED,
            'invalid_configuration',
            f'{len(problems)} problems\n{lines}',
            problems=[problem._asdict() for problem in problems],
        )
    return LocalFile(text, parsed.unwrap())


async def validate_file(path: str) -> Outcome:
    """Checks a file without contacting a server."""
    local = read_configuration(path)
    if isinstance(local, Outcome):
        return local
    services = len(local.configuration.services)
    exceptions = len(local.configuration.exceptions)
    return succeed(
        {'file': path, 'services': services, 'exceptions': exceptions},
        f'{path}: valid, {services} services, {exceptions} exceptions',
    )


async def show_key_digest(path: str) -> Outcome:
    """Shows the digest of the key in a file, never the key."""
    found = read_text_file(Path(path), MAX_DOCUMENT_BYTES)
    if isinstance(found, Failure):
        detail = f'{path}: {found.failure()}'
        return fail(ExitCode.REFUSED, 'unreadable_file', detail)
    key = found.unwrap().strip()
    if not key or not key.isprintable() or ' ' in key:
        detail = f'{path}: expected one key on one line'
        return fail(ExitCode.REFUSED, 'invalid_key', detail)
    digest = compute_key_digest(key.encode())
    return succeed({'key_digest': digest}, digest)
