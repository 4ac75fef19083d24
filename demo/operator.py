"""Runs `bilberryctl` commands against a fleet, as an operator does."""

from pathlib import Path
from subprocess import run
from sys import executable
from typing import NamedTuple

from demo.fleet import Fleet


class Outcome(NamedTuple):
    """The exit code and the output of a command."""

    code: int
    output: str
    errors: str


class Operator:
    """An operator that runs `bilberryctl` against the replicas of a fleet."""

    def __init__(self, fleet: Fleet) -> None:
        """Collects the operators' addresses of all replicas of `fleet`."""
        self._token_file = str(fleet.token_file)
        self._servers = ','.join(
            f'127.0.0.1:{member.ports.operators}'
            for member in fleet.members.values()
            if 'replica' in member.plan.roles
        )

    def run(self, *arguments: str) -> Outcome:
        """Runs one command and returns its outcome."""
        command = [
            executable,
            '-m',
            'bilberryctl',
            *arguments,
            '--server',
            self._servers,
            '--token-file',
            self._token_file,
        ]
        completed = run(command, capture_output=True, text=True, check=False)
        return Outcome(completed.returncode, completed.stdout, completed.stderr)

    def apply(self, file: Path, note: str) -> Outcome:
        """Applies a configuration file.

        Raises `RuntimeError` if it is not accepted.
        """
        outcome = self.run('apply', str(file), '--note', note)
        if outcome.code:
            raise RuntimeError(f'apply {file}: {outcome.errors}')
        return outcome
