"""Parses a command line by `fire`, without its surprises.

Every argument stays the text that was typed: `fire` would read the change ID
`1e5` as a number. Help is printed and no pager is started. Nothing runs
before the whole line is understood.
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
    """Returns what to run and the common options.

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
    """Leaves all output to the session."""
