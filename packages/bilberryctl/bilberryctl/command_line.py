"""Parses a command line with `fire`.

Some defaults of `fire` are changed. Arguments stay strings: `fire` would
convert the change ID `1e5` to a number. Help is printed without a pager. A
command runs only after the whole command line was parsed.
"""

from typing import TextIO

from fire import Fire
from fire import core as fire_core
from fire import parser as fire_parser

from bilberryctl.commands import Action, Commands, Invocation, unpack_invocation
from bilberryctl.outcome import UsageError
from bilberryctl.session import CommonOptions

_NAME = 'bilberryctl'
_HELP = '--help'
_HELP_ARGUMENTS = ([], ['-h'], [_HELP], ['help'])


def parse_command(arguments: list[str]) -> tuple[CommonOptions, Action]:
    """Returns the common options and the action to run.

    Raises `UsageError`, or `SystemExit` after help or a usage message.
    """
    fire_core.Display = _display
    fire_parser.DefaultParseValue = str
    if arguments in _HELP_ARGUMENTS:
        Fire(Commands(), command=[_HELP], name=_NAME)
    parsed = Fire(
        Commands,
        command=arguments,
        name=_NAME,
        serialize=_print_nothing,
    )
    if isinstance(parsed, Invocation):
        return unpack_invocation(parsed)
    raise UsageError(f'expected a command, see {_NAME} {_HELP}')


def _display(lines: list[str], out: TextIO) -> None:
    print('\n'.join(lines), file=out)


def _print_nothing(_parsed: object) -> None:
    """Suppresses the output of `fire`; the session prints the outcome."""
