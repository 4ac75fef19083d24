"""Entry point of `bilberryctl`."""

import sys
from asyncio import run

from bilberry_core import __version__

from bilberryctl.command_line import parse_command
from bilberryctl.exit_code import ExitCode
from bilberryctl.outcome import UsageError
from bilberryctl.session import Session


def main() -> None:
    """Runs the command line of this process and exits with its code."""
    sys.exit(run_command(sys.argv[1:]))


def run_command(arguments: list[str]) -> int:
    """Runs one command and returns its exit code."""
    if arguments == ['--version']:
        print(f'bilberryctl {__version__}')
        return ExitCode.OK
    try:
        return _run(arguments)
    except UsageError as error:
        print(f'bilberryctl: {error}', file=sys.stderr)
        return ExitCode.USAGE
    except KeyboardInterrupt:
        print('bilberryctl: interrupted', file=sys.stderr)
        return ExitCode.UNKNOWN


def _run(arguments: list[str]) -> int:
    options, action = parse_command(arguments)
    session = Session.from_options(options)
    outcome = run(action(session))
    session.show(outcome)
    return outcome.code
