"""Readers that validate a document and convert it to typed values.

A table of readers defines what a file may contain. A reader reports each
problem with its key and continues, so that all are reported at once; after a
problem it returns None.
"""

from collections.abc import Callable, Mapping
from re import compile as compile_pattern
from typing import Any, NamedTuple, Protocol

from returns.result import Failure, Result

from bilberry_core.problem import Report, describe_type, shorten

_PLAIN_KEY = compile_pattern('[!-~]{1,63}')


class Reader(Protocol):
    """A reader of one part of a document."""

    def read(self, found: object, key: str, report: Report) -> Any:
        """Returns the typed value, or None after reporting problems."""


class Scalar(NamedTuple):
    """A reader of a single value, which `parse` checks and converts."""

    parse: Callable[[Any], Result[Any, str]]

    def read(self, found: object, key: str, report: Report) -> Any:
        """Returns the parsed value."""
        parsed = self.parse(found)
        if isinstance(parsed, Failure):
            report.add(key, parsed.failure())
            return None
        return parsed.unwrap()


class ListOf(NamedTuple):
    """A reader of a list without duplicate items."""

    item: Reader

    def read(self, found: object, key: str, report: Report) -> Any:
        """Returns the items as a tuple."""
        if not isinstance(found, list):
            report.add(key, f'expected a list, got {describe_type(found)}')
            return None
        items = [
            self.item.read(value, f'{key}[{index}]', report)
            for index, value in enumerate(found)
        ]
        seen = set()
        for index, value in enumerate(items):
            if value is not None and value in seen:
                report.add(f'{key}[{index}]', 'expected unique items')
            seen.add(value)
        return tuple(items)


class MapOf(NamedTuple):
    """A reader of a mapping from names to values of one kind."""

    name: Scalar
    value: Reader

    def read(self, found: object, key: str, report: Report) -> Any:
        """Returns a dict, sorted by name."""
        if not isinstance(found, dict):
            report.add(key, f'expected a mapping, got {describe_type(found)}')
            return None
        entries = {}
        for name, value in found.items():
            path = join_key(key, name)
            parsed = self.name.read(name, path, report)
            entry = self.value.read(value, path, report)
            if parsed is not None:
                entries[parsed] = entry
        return dict(sorted(entries.items()))


class Option(NamedTuple):
    """A key of a section.

    `field`
        Name of the field that it fills.
    `reader`
        The reader of its value.
    `required`
        Whether the key must be present; the field of an absent optional key
        keeps its default.
    """

    field: str
    reader: Reader
    required: bool = False


class Section(NamedTuple):
    """A reader that builds a record from a mapping with fixed keys."""

    build: Callable[..., Any]
    options: Mapping[str, Option]

    def read(self, found: object, key: str, report: Report) -> Any:
        """Returns the record."""
        if not isinstance(found, dict):
            report.add(key, f'expected a mapping, got {describe_type(found)}')
            return None
        before = report.count
        self._check_unknown_keys(found, key, report)
        fields = {}
        for name, option in self.options.items():
            path = join_key(key, name)
            if name in found:
                fields[option.field] = option.reader.read(
                    found[name],
                    path,
                    report,
                )
            elif option.required:
                report.add(path, 'expected a value, the key is missing')
        if report.count > before:
            return None
        return self.build(**fields)

    def _check_unknown_keys(
        self, found: dict, key: str, report: Report
    ) -> None:
        known = ', '.join(self.options)
        for name in found:
            if name not in self.options:
                report.add(
                    join_key(key, name),
                    f'unknown key, expected one of: {known}',
                )


def join_key(key: str, name: object) -> str:
    """Returns the path of key `name` inside `key`, as one line."""
    is_plain = isinstance(name, str) and _PLAIN_KEY.fullmatch(name)
    shown = name if is_plain else shorten(name)
    return f'{key}.{shown}' if key else str(shown)
