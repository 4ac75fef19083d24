"""The outcome of a command: an exit code, a document and a text."""

from typing import Any, NamedTuple

from bilberryctl.exit_code import ExitCode

Document = dict[str, Any]


class Outcome(NamedTuple):
    """The outcome of a command.

    `document` is printed for `--output json`, `text` for `--output text`.
    """

    code: ExitCode
    document: Document
    text: str


class UsageError(Exception):
    """An invalid command line."""


def succeed(document: Document, text: str) -> Outcome:
    """Returns the outcome of a command that succeeded."""
    return Outcome(ExitCode.OK, document, text)


def fail(code: ExitCode, name: str, detail: str, **extra: Any) -> Outcome:
    """Returns the outcome of a command that failed.

    `name` is the stable error code, `extra` are further members of the error.
    """
    error = {'code': name, 'detail': detail, **extra}
    document = {'error': error, 'exit_code': int(code)}
    return Outcome(code, document, f'{name}: {detail}')
