"""The file in which a stand-in upstream records arrivals and its own words.

Each line is a JSON object with the monotonic time in seconds, the start of the
upstream, and either the ID of a request that arrived or the headers that all
further responses get.
"""

from json import dumps, loads
from pathlib import Path
from time import monotonic
from typing import NamedTuple


class ArrivalLine(NamedTuple):
    """One line: a request that arrived, or headers that hold from then on."""

    at: float
    start: str
    request: str = ''
    said: dict[str, str] | None = None


class ArrivalFile:
    """Appends lines at once, so that a kill does not lose them."""

    def __init__(self, path: str, start: str) -> None:
        """Opens the file for appending; writes nothing if `path` is empty."""
        self._file = Path(path).open('ab', 0) if path else None
        self._start = start

    def record(self, request: str) -> None:
        """Records that a request arrived."""
        self._write(ArrivalLine(monotonic(), self._start, request))

    def say(self, said: dict[str, str]) -> None:
        """Records the headers of all further responses."""
        self._write(ArrivalLine(monotonic(), self._start, said=said))

    def _write(self, line: ArrivalLine) -> None:
        if self._file:
            self._file.write(f'{dumps(line._asdict())}\n'.encode())


def read_arrivals(folder: Path) -> list[ArrivalLine]:
    """Returns the lines of all files in a folder, in the order of time."""
    lines = [
        ArrivalLine(**loads(line))
        for path in folder.glob('*.arrivals')
        for line in path.read_text().splitlines()
    ]
    return sorted(lines, key=lambda line: line.at)
