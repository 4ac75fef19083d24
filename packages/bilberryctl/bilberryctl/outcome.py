"""What a command gives back: an exit code, a document and a text."""

from typing import Any, NamedTuple

from bilberryctl.exit_code import ExitCode

Document = dict[str, Any]


class Outcome(NamedTuple):
    """The end of a command; `text` is `document` for a person."""

    code: ExitCode
    document: Document
    text: str


class UsageError(Exception):
    """An argument can't be understood."""


def succeed(document: Document, text: str) -> Outcome:
    """Returns the outcome of a command that is done."""
    return Outcome(ExitCode.OK, document, text)


def fail(code: ExitCode, name: str, detail: str, **extra: Any) -> Outcome:
    """Returns the outcome of a command that failed."""
    error = {'code': name, 'detail': detail, **extra}
    document = {'error': error, 'exit_code': int(code)}
    return Outcome(code, document, f'{name}: {detail}')
