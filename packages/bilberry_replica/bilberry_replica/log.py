"""The log of a replica: the entries after a compacted base.

Indices start at 1. Entries at or below the base are covered by a snapshot and
have been compacted; only the term of the base itself is still known.
"""

from typing import NamedTuple

from bilberry_core.messages.replica import LogEntry, Membership


class Log(NamedTuple):
    """Entries `base + 1` to `last_index`, and the state at the base.

    `base_term` is the term of the entry at `base`, and `base_membership` the
    membership in force there.
    """

    base: int = 0
    base_term: int = 0
    base_membership: Membership = Membership()
    entries: tuple[LogEntry, ...] = ()

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def find_term(self, index: int) -> int | None:
        """Returns the term of an entry; None if it is not known."""
        if index == self.base:
            return self.base_term
        if self.base < index <= self.last_index:
            return self.entries[index - self.base - 1].term
        return None

    def list_entries(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Returns the entries from `first` to `last`, both included."""
        return self.entries[first - self.base - 1 : last - self.base]

    def put(self, first: int, entries: tuple[LogEntry, ...]) -> 'Log':
        """Replaces all entries from `first` on by `entries`."""
        kept = self.entries[: first - self.base - 1]
        return self._replace(entries=kept + entries)

    def compact(self, base: int) -> 'Log':
        """Drops the entries up to `base`."""
        if base <= self.base:
            return self
        return Log(
            base,
            self.find_term(base) or 0,
            self.find_membership(base),
            self.entries[base - self.base :],
        )

    def find_membership(self, index: int) -> Membership:
        """Returns the membership in force after entry `index`."""
        for entry in reversed(self.entries[: index - self.base]):
            if entry.membership is not None:
                return entry.membership
        return self.base_membership
