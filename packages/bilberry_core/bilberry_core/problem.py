"""A problem of a file that a person wrote, and a report that gathers them.

Nothing stops at the first problem: a file is checked whole, and everything
that is wrong with it is told at once.
"""

from typing import NamedTuple

#: Most problems kept of one file.
MAX_PROBLEMS = 100
_MAX_SHOWN_LENGTH = 80


class Problem(NamedTuple):
    """What is wrong, and where.

    `file`
        The file as it was named by whoever asked for it.
    `key`
        The key's path, such as `listen.callers`; empty for the whole file.
    `detail`
        What was expected and what was found.
    """

    file: str
    key: str
    detail: str

    def describe(self) -> str:
        """Returns the problem as one line."""
        where = f'{self.file}: {self.key}' if self.key else self.file
        return f'{where}: {self.detail}'


class Report:
    """Gathers every problem of one file."""

    def __init__(self, name: str) -> None:
        """Starts empty, for the file called `name`."""
        self._name = name
        self._problems: list[Problem] = []
        self._count = 0

    @property
    def count(self) -> int:
        """How many problems there are."""
        return self._count

    @property
    def problems(self) -> tuple[Problem, ...]:
        """The problems, of which the first `MAX_PROBLEMS` are kept."""
        further = self._count - len(self._problems)
        if not further:
            return tuple(self._problems)
        rest = Problem(self._name, '', f'{further} further problems')
        return (*self._problems, rest)

    def add(self, key: str, detail: str) -> None:
        """Adds a problem of one key."""
        self._count += 1
        if len(self._problems) < MAX_PROBLEMS:
            self._problems.append(Problem(self._name, key, detail))


def describe_type(found: object) -> str:
    """Returns what kind of value was found, without its content."""
    if isinstance(found, str):
        return 'a text'
    if found is None or isinstance(found, (dict, list)):
        return shorten(found)
    return 'a single value'


def shorten(found: object) -> str:
    """Returns what was found, quoted and cut to a readable length."""
    if isinstance(found, dict):
        return 'a mapping'
    if isinstance(found, list):
        return 'a list'
    if found is None:
        return 'nothing'
    shown = repr(found) if isinstance(found, str) else str(found)
    if len(shown) > _MAX_SHOWN_LENGTH:
        return f'{shown[:_MAX_SHOWN_LENGTH]}...'
    return shown
