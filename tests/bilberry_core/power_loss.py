"""A disk in memory whose unsynced writes arrive in part at a loss of power."""

from collections.abc import Iterator
from errno import EIO
from random import Random
from typing import NamedTuple

from hypothesis import strategies as st

from tests.bilberry_core.fake_disk import FakeDisk

#: Bytes that arrive together or not at all, at a multiple of this offset.
SECTOR_BYTES = 512


class Fate(NamedTuple):
    """What becomes of an unsynced write.

    `prefix`
        How many of its first bytes arrive; all for None.
    `lost_sectors`
        Each set bit is a sector of it that does not arrive.
    """

    prefix: int | None = None
    lost_sectors: int = 0


class Loss(NamedTuple):
    """A loss of power: the fates of unsynced writes, in order.

    `is_short`
        Whether the file ends where its last bytes are lost; else it has zeros.
    `takes_all`
        Whether nothing that is unsynced arrives.
    """

    fates: tuple[Fate, ...]
    is_short: bool = False
    takes_all: bool = False


PRESENT = Fate()
MISSING = Fate(0)
_TORN_BYTES = 4000
_SECTOR_SETS = 256
_TORN = st.builds(Fate, st.integers(1, _TORN_BYTES - 1)) | st.builds(
    Fate, st.none(), st.integers(1, _SECTOR_SETS - 1)
)
_FATES = st.sampled_from((PRESENT, MISSING)) | _TORN
LOSSES = st.builds(
    Loss, st.tuples(_FATES, _FATES, _FATES), st.booleans(), st.booleans()
)


def pick_loss(random: Random) -> Loss:
    """Picks a loss; one of four takes everything that is unsynced."""
    fates = tuple(
        random.choice(
            (
                PRESENT,
                MISSING,
                Fate(random.randrange(1, _TORN_BYTES)),
                Fate(lost_sectors=random.randrange(1, _SECTOR_SETS)),
            )
        )
        for _ in range(3)
    )
    takes_all = random.randrange(4) == 0
    return Loss(fates, random.choice((True, False)), takes_all)


class PowerLossDisk(FakeDisk):
    """Files whose unsynced writes are present, missing or torn after a loss.

    `refuses_syncs` makes every sync fail after the bytes were written.
    `write_bytes` is the most that one write takes; None for no limit.
    """

    def __init__(self) -> None:
        """Starts empty."""
        super().__init__()
        self.refuses_syncs = False
        self.write_bytes: int | None = None
        self._unsynced: dict[str, list[tuple[int, int]]] = {}

    def append(self, name: str, payload: bytes) -> None:
        """Appends bytes to a file, in as many writes as that takes."""
        limit = self.write_bytes or max(1, len(payload))
        for position in range(0, len(payload), limit):
            start = len(self.files.get(name, b''))
            try:
                super().append(name, payload[position : position + limit])
            finally:
                end = len(self.files.get(name, b''))
                self._unsynced.setdefault(name, []).append((start, end))

    def sync(self, name: str) -> None:
        """Makes a file durable."""
        if self.refuses_syncs:
            raise OSError(EIO, 'input/output error')
        super().sync(name)
        self._unsynced.pop(name, None)

    def replace(self, name: str, payload: bytes) -> None:
        """Replaces the content of a file, durably."""
        super().replace(name, payload)
        self._unsynced.pop(name, None)

    def truncate(self, name: str, size: int) -> None:
        """Cuts a file back to its first bytes, durably."""
        super().truncate(name, size)
        self._unsynced.pop(name, None)

    def lose_power(self, loss: Loss) -> None:
        """Leaves what a loss of power leaves of the unsynced writes."""
        for name, writes in self._unsynced.items():
            stored = self.files[name]
            fates = iter(loss.fates)
            end = writes[0][0]
            for start, write_end in writes:
                lost = list(_list_lost(start, write_end, next(fates, PRESENT)))
                for position in lost:
                    stored[position] = 0
                kept = set(range(start, write_end)).difference(lost)
                end = max(kept, default=end - 1) + 1
            if loss.takes_all:
                del stored[writes[0][0] :]
            elif loss.is_short:
                del stored[end:]
            self.synced[name] = len(stored)
        self._unsynced.clear()


def _list_lost(start: int, end: int, fate: Fate) -> Iterator[int]:
    """Yields the positions of the bytes of a write that don't arrive."""
    first_sector = start // SECTOR_BYTES
    for position in range(start, end):
        if fate.prefix is not None and position - start >= fate.prefix:
            yield position
        elif fate.lost_sectors >> (position // SECTOR_BYTES - first_sector) & 1:
            yield position
