"""Launches a fleet of real daemons and stand-in upstreams on loopback.

The demonstration and the tests with real processes use it. Processes are ended
only by their process ID.
"""

from collections.abc import Iterable
from json import loads
from pathlib import Path
from resource import RLIMIT_FSIZE, prlimit
from signal import SIGCONT, SIGKILL, SIGTERM, Signals
from subprocess import Popen
from sys import executable
from time import monotonic, sleep
from typing import Any, NamedTuple
from urllib.error import URLError
from urllib.request import urlopen

from yaml import safe_dump

from demo.ports import pick_ports

_HOST = '127.0.0.1'
_POLL_S = 0.02
_STOP_TIMEOUT_S = 40.0


class Ports(NamedTuple):
    """The TCP ports of one instance on loopback.

    The stand-in upstream listens on `served`, the daemon on the other ports.
    """

    streams: int
    callers: int
    upstream: int
    operators: int
    served: int


class Plan(NamedTuple):
    """The failure domain, roles and upstream service of an instance."""

    instance: str
    failure_domain: str
    roles: tuple[str, ...]
    service: str


class Member(NamedTuple):
    """An instance of a fleet with its ports and its settings file."""

    plan: Plan
    ports: Ports
    settings: Path


class Fleet:
    """The processes of a fleet, addressed by the names of instances."""

    def __init__(self, folder: Path, members: Iterable[Member]) -> None:
        """Stores the members that `prepare_fleet` has written to `folder`."""
        self.folder = folder
        self.members = {member.plan.instance: member for member in members}
        self._daemons: dict[str, Popen] = {}
        self._upstreams: dict[str, Popen] = {}

    @property
    def token_file(self) -> Path:
        """The path of the file with the operators' bearer token."""
        return self.folder / 'token'

    def start_daemon(self, instance: str) -> None:
        """Starts the daemon of an instance."""
        command = [executable, '-m', *self.build_command(instance)]
        self._daemons[instance] = self._launch(instance, command)

    def build_command(self, instance: str) -> list[str]:
        """Returns the module that runs a daemon, and its arguments."""
        settings = str(self.members[instance].settings)
        return ['bilberryd', 'run', '--settings', settings]

    def start_upstream(self, instance: str, *options: str) -> None:
        """Starts the stand-in upstream beside an instance's daemon."""
        member = self.members[instance]
        daemon = f'{_HOST}:{member.ports.upstream}'
        command = [
            executable,
            '-m',
            'standin.upstream',
            '--daemon',
            daemon,
            '--service',
            member.plan.service,
            '--port',
            str(member.ports.served),
            '--record-file',
            f'{self.folder}/{instance}.runs',
            '--arrival-file',
            f'{self.folder}/{instance}.arrivals',
            '--upstream-id',
            instance,
            *options,
        ]
        self._upstreams[instance] = self._launch(f'{instance}.up', command)

    def start(self) -> None:
        """Starts every daemon and every upstream."""
        for instance in self.members:
            self.start_daemon(instance)
        for instance in self.members:
            self.start_upstream(instance)

    def kill_daemon(self, instance: str) -> None:
        """Kills a daemon with SIGKILL, as in a crash."""
        daemon = self._daemons.pop(instance)
        daemon.send_signal(SIGKILL)
        daemon.wait()

    def signal_daemon(self, instance: str, signal: Signals) -> None:
        """Sends a signal to a daemon, such as SIGSTOP to freeze it."""
        self._daemons[instance].send_signal(signal)

    def stop_daemon(self, instance: str) -> int:
        """Ends a daemon gracefully and returns its exit code."""
        return _terminate(self._daemons.pop(instance))

    def stop_upstream(self, instance: str) -> int:
        """Ends an upstream gracefully and returns its exit code."""
        return _terminate(self._upstreams.pop(instance))

    def kill_upstream(self, instance: str) -> None:
        """Kills an upstream with SIGKILL, as in a crash."""
        upstream = self._upstreams.pop(instance)
        upstream.send_signal(SIGKILL)
        upstream.wait()

    def close(self) -> None:
        """Kills every process that is still running."""
        running = [*self._upstreams.values(), *self._daemons.values()]
        for process in running:
            process.send_signal(SIGCONT)
            process.send_signal(SIGKILL)
        for process in running:
            process.wait()
        self._upstreams.clear()
        self._daemons.clear()

    def read_status(self, instance: str) -> dict[str, Any] | None:
        """Returns a daemon's status; None if it does not respond."""
        port = self.members[instance].ports.operators
        url = f'http://{_HOST}:{port}/v1/status'
        try:
            with urlopen(url, timeout=1) as answer:
                return loads(answer.read())
        except (URLError, OSError):
            return None

    def running_daemons(self) -> tuple[str, ...]:
        """Returns the instances whose daemon was started and not ended."""
        return tuple(self._daemons)

    def get_pid(self, instance: str) -> int:
        """Returns the process ID of an instance's daemon."""
        return self._daemons[instance].pid

    def limit_files(self, instance: str, size: int | None) -> None:
        """Makes a daemon's writes to files fail beyond `size`, as when full.

        None ends that.
        """
        pid = self.get_pid(instance)
        _, hard = prlimit(pid, RLIMIT_FSIZE)
        prlimit(pid, RLIMIT_FSIZE, (hard if size is None else size, hard))

    def _launch(self, name: str, command: list[str]) -> Popen:
        with (self.folder / f'{name}.log').open('ab') as log:
            return Popen(command, stdout=log, stderr=log)


def prepare_fleet(folder: Path, plans: Iterable[Plan]) -> Fleet:
    """Writes the settings of every instance and returns the fleet."""
    plans = tuple(plans)
    folder.mkdir(parents=True, exist_ok=True)
    (folder / 'secret').write_text('the-secret-of-a-loopback-fleet')
    (folder / 'token').write_text('the-token-of-a-loopback-fleet')
    ports = _pick_ports(len(plans))
    members = [
        Member(plan, ports[index], folder / f'{plan.instance}.yaml')
        for index, plan in enumerate(plans)
    ]
    for member in members:
        document = _build_settings(folder, member, members)
        member.settings.write_text(safe_dump(document, sort_keys=False))
    return Fleet(folder, members)


def wait_until(condition, timeout_s: float, description: str) -> float:
    """Polls until `condition()` is true; returns the elapsed seconds.

    Raises `TimeoutError` with `description` after `timeout_s` seconds.
    """
    start = monotonic()
    while not condition():
        if monotonic() - start > timeout_s:
            raise TimeoutError(f'timed out after {timeout_s} s: {description}')
        sleep(_POLL_S)
    return monotonic() - start


def _build_settings(
    folder: Path, member: Member, members: list[Member]
) -> dict:
    plan = member.plan
    ports = member.ports
    document = {
        'fleet': 'demo',
        'instance': plan.instance,
        'failure_domain': plan.failure_domain,
        'region': 'local',
        'roles': list(plan.roles),
        'listen': {
            name: f'{_HOST}:{port}'
            for name, port in ports._asdict().items()
            if name != 'served'
        },
        'secret_file': 'secret',
        'token_file': 'token',
        'replicas': _list_peers('replica', members),
        'relays': _list_peers('relay', members),
        'log': {'level': 'INFO', 'file': f'{folder}/{plan.instance}.json'},
    }
    if 'replica' in plan.roles:
        document['data_folder'] = f'{folder}/data-{plan.instance}'
    return document


def _list_peers(role: str, members: list[Member]) -> list[dict[str, str]]:
    return [
        {
            'instance': member.plan.instance,
            'address': f'{_HOST}:{member.ports.streams}',
            'failure_domain': member.plan.failure_domain,
        }
        for member in members
        if role in member.plan.roles
    ]


def _pick_ports(count: int) -> list[Ports]:
    per_instance = len(Ports._fields)
    numbers = pick_ports(count * per_instance)
    starts = range(0, len(numbers), per_instance)
    return [Ports(*numbers[at : at + per_instance]) for at in starts]


def _terminate(process: Popen) -> int:
    process.send_signal(SIGTERM)
    return process.wait(_STOP_TIMEOUT_S)
