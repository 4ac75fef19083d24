"""Starts the processes of a bench and ends them by process ID."""

from json import loads
from os import environ
from subprocess import PIPE, Popen
from sys import executable
from typing import Self

from bilberry_core.endpoint import Address


class BenchProcess:
    """A process of a bench; its first line of output is its address."""

    def __init__(self, *arguments: str) -> None:
        """Runs a module with arguments; waits for its first line.

        The name of the module is the first argument.
        """
        self.name = ''
        self.addresses: dict[str, list] = {}
        self.process = Popen(
            [executable, '-m', *arguments],
            stdin=PIPE,
            stdout=PIPE,
            env=dict(environ),
            text=True,
        )
        self.first_line = self.process.stdout.readline().strip()

    @property
    def address(self) -> Address:
        """The address on the first line, written as `host:port`."""
        host, _, port = self.first_line.rpartition(':')
        return Address(host, int(port))

    def read_json(self) -> dict:
        """Returns the next line of output, decoded from JSON."""
        return loads(self.process.stdout.readline())

    def write_line(self, line: str) -> None:
        """Writes a line to the standard input of the process."""
        self.process.stdin.write(f'{line}\n')
        self.process.stdin.flush()

    def cpu_s(self) -> float:
        """Returns the processor time used so far, in seconds."""
        with open(f'/proc/{self.process.pid}/stat') as stat:
            fields = stat.read().rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / 100

    def memory_mb(self) -> float:
        """Returns the resident memory, in MiB."""
        with open(f'/proc/{self.process.pid}/status') as status:
            for line in status:
                if line.startswith('VmRSS'):
                    return int(line.split()[1]) / 1024
        return 0

    def end(self) -> None:
        """Kills the process if it still runs, and waits for its exit."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def __enter__(self) -> Self:
        """Returns itself."""
        return self

    def __exit__(self, *_details) -> None:
        """Ends the process."""
        self.end()
