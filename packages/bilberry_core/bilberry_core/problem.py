"""Problems of user-written files, and reports that collect them.

A check does not stop at the first problem: a file is checked as a whole, and
all of its problems are reported together.
"""

from typing import NamedTuple

#: Maximum number of problems kept per file.
MAX_PROBLEMS = 100
_MAX_SHOWN_LENGTH = 80


class Problem(NamedTuple):
    """A problem of a file, and its location.

    `file`
        The file name as the user gave it.
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
    """A collector of the problems of one file."""

    def __init__(self, name: str) -> None:
        """Collects problems of the file called `name`."""
        self._name = name
        self._problems: list[Problem] = []
        self._count = 0

    @property
    def count(self) -> int:
        """The number of problems."""
        return self._count

    @property
    def problems(self) -> tuple[Problem, ...]:
        """The first `MAX_PROBLEMS` problems, and one that counts the rest."""
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
    """Returns the kind of a value, without its content."""
    if isinstance(found, str):
        return 'a text'
    if found is None or isinstance(found, (dict, list)):
        return shorten(found)
    return 'a single value'


def shorten(found: object) -> str:
    """Returns a value quoted and truncated to a readable length."""
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
