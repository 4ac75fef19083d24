"""Configures Hypothesis and marks tests that are known to fail.

Hypothesis is derandomized, so that it tests the same examples in every run. A
test listed in KNOWN-RED.txt runs and is reported, but does not fail the run.
"""

from pathlib import Path

from hypothesis import settings
from pytest import Item, mark

_KNOWN_RED = Path(__file__).parent.parent / 'KNOWN-RED.txt'

settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    database=None,
)
settings.load_profile('ci')


def pytest_collection_modifyitems(items: list[Item]) -> None:
    """Marks the tests that KNOWN-RED.txt lists as expected to fail."""
    known = _read_known_red()
    for item in items:
        path = item.path.relative_to(_KNOWN_RED.parent).as_posix()
        reason = known.get((path, item.name))
        if reason is not None:
            item.add_marker(mark.xfail(reason=reason, strict=False))


def _read_known_red() -> dict[tuple[str, str], str]:
    known = {}
    for line in _KNOWN_RED.read_text().splitlines():
        test, _, reason = line.partition(';')
        path, _, name = test.partition(' ')
        known[path, name.strip()] = reason.strip()
    return known
