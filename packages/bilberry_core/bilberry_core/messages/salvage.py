"""Refuses single records of a message, so that the others are kept.

A relay passes on the records of many daemons. One odd record must not keep
the others from their receivers.
"""

from itertools import zip_longest
from typing import Any, NamedTuple, get_type_hints

from msgspec import ValidationError, convert


class RecordField(NamedTuple):
    """A field with a list of records.

    `beside` names a field with one value for each of them, if there is one.
    """

    name: str
    beside: str = ''


class RefusedRecords(NamedTuple):
    """Records of a message that were refused, and what is wrong with one."""

    kind: str
    count: int
    cause: str


class Salvage:
    """The record fields of one type of message; `is_record` without any."""

    def __init__(self, kind: Any, fields: tuple[RecordField, ...]) -> None:
        """Reads the types of the records from those of the fields."""
        hints = get_type_hints(kind, include_extras=True)
        self._kind = kind
        self._fields = fields
        self._types = {
            name: hints[name].__args__[0]
            for field in fields
            for name in field
            if name
        }

    @property
    def is_record(self) -> bool:
        """Whether the message as a whole is one record."""
        return not self._fields

    def drop_invalid(self, values: list[Any]) -> RefusedRecords:
        """Removes the invalid records from the fields of a message."""
        faults = [
            fault
            for field in self._fields
            for fault in self._drop(values, field)
            if fault
        ]
        return RefusedRecords(
            self._kind.__name__,
            len(faults),
            faults[0] if faults else '',
        )

    def _drop(self, values: list[Any], field: RecordField) -> list[str]:
        """Removes the invalid records of a field; returns all faults."""
        faults = self._find_faults(values, field.name)
        beside = self._find_faults(values, field.beside)
        merged = [
            fault or other
            for fault, other in zip_longest(faults, beside, fillvalue='')
        ][: len(faults)]
        self._keep_valid(values, field.name, merged)
        self._keep_valid(values, field.beside, merged)
        return merged

    def _find_faults(self, values: list[Any], name: str) -> list[str]:
        index = self._find_list(values, name)
        if index is None:
            return []
        return [_find_fault(item, self._types[name]) for item in values[index]]

    def _keep_valid(
        self, values: list[Any], name: str, faults: list[str]
    ) -> None:
        index = self._find_list(values, name)
        if index is not None:
            pairs = zip(values[index], faults, strict=False)
            values[index] = tuple(item for item, fault in pairs if not fault)

    def _find_list(self, values: list[Any], name: str) -> int | None:
        """Returns the index of a field that holds a list, None without one."""
        if not name:
            return None
        index = self._kind._fields.index(name)
        is_list = index < len(values) and isinstance(values[index], tuple)
        return index if is_list else None


def _find_fault(item: Any, item_type: Any) -> str:
    """Returns what is wrong with a record; empty if nothing is."""
    try:
        convert(item, item_type)
    except ValidationError as error:
        return str(error)
    return ''
