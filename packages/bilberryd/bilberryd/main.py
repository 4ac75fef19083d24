"""The `bilberryd` command: runs a daemon or checks its settings.

Exit codes: 0 after a graceful stop, 1 after a failure at run time, 2 for
invalid settings.
"""

from asyncio import Runner
from os import environ
from sys import argv, exit, stderr, stdout

from bilberry_core import __version__
from bilberry_core.error import BilberryError
from bilberry_core.logs import start_logs
from bilberry_core.settings import Settings
from bilberry_core.settings_file import load_settings
from fire import Fire
from returns.result import Success
from uvloop import new_event_loop

from bilberryd.assembly import build_daemon
from bilberryd.collector import prepare_collector

_EXIT_FAILED = 1
_EXIT_SETTINGS = 2


class Commands:
    """bilberryd: the bilberryspread daemon of an instance.

    Its settings file selects the roles proxy, relay and replica.
    `bilberryd --version` prints the version.
    """

    def run(self, settings: str) -> None:
        """Runs the daemon until SIGTERM, then drains and stops.

        Args:
            settings: path of the YAML settings file of this instance.
        """
        loaded = _load(str(settings))
        start_logs(loaded.instance, loaded.log_level, loaded.log_file)
        # libuv must not use io_uring, regardless of its default.
        environ['UV_USE_IO_URING'] = '0'
        try:
            with Runner(loop_factory=new_event_loop) as runner:
                runner.run(_run(loaded))
        except (BilberryError, OSError) as error:
            stderr.write(f'bilberryd: {error}\n')
            exit(_EXIT_FAILED)

    def check(self, settings: str) -> None:
        """Checks a whole settings file and reports every problem.

        Args:
            settings: path of the YAML settings file to check.
        """
        loaded = _load(str(settings))
        roles = ', '.join(sorted(loaded.roles))
        stdout.write(f'settings of "{loaded.instance}" ({roles}) are valid\n')


def main() -> None:
    """Entry point of the command `bilberryd`."""
    if argv[1:] == ['--version']:
        stdout.write(f'bilberryd {__version__}\n')
        return
    Fire(Commands, name='bilberryd')


async def _run(settings: Settings) -> None:
    daemon = build_daemon(settings)
    prepare_collector()
    await daemon.run()


def _load(path: str) -> Settings:
    outcome = load_settings(path)
    if isinstance(outcome, Success):
        return outcome.unwrap()
    for problem in outcome.failure():
        stderr.write(f'{problem.describe()}\n')
    return exit(_EXIT_SETTINGS)


if __name__ == '__main__':
    main()
