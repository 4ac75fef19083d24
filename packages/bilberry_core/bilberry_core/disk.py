"""Access to the data folder of an instance, behind a protocol.

Appended bytes are durable only after a sync. `SystemDisk` locks its folder, so
that no second process uses it, and records the name of its fleet in it.
"""

from collections.abc import Iterator
from contextlib import contextmanager, suppress
from fcntl import LOCK_EX, LOCK_NB, flock
from logging import getLogger
from os import (
    O_APPEND,
    O_CREAT,
    O_RDONLY,
    O_RDWR,
    O_WRONLY,
    fstat,
    fsync,
    ftruncate,
)
from os import close as close_descriptor
from os import open as open_descriptor
from os import write as write_descriptor
from pathlib import Path
from typing import Protocol

from bilberry_core.error import JournalError

_log = getLogger(__name__)

_LOCK_NAME = 'lock'
_FLEET_NAME = 'fleet'
_NEW_SUFFIX = '.new'
_FILE_MODE = 0o600
_FOLDER_MODE = 0o700


class Disk(Protocol):
    """The files of a folder, by name; each method may raise `OSError`."""

    def append(self, name: str, payload: bytes) -> None:
        """Appends bytes to a file, which is created if needed."""

    def sync(self, name: str) -> None:
        """Makes everything appended to a file durable."""

    def read(self, name: str) -> bytes:
        """Returns the content of a file; empty if it does not exist."""

    def replace(self, name: str, payload: bytes) -> None:
        """Replaces the content of a file, durably and atomically."""

    def truncate(self, name: str, size: int) -> None:
        """Cuts a file back to its first bytes, durably, and syncs them.

        Raises `JournalError` if the file has fewer.
        """

    def list(self) -> tuple[str, ...]:
        """Returns the names of all files, sorted."""

    def remove(self, name: str) -> None:
        """Removes a file, durably."""

    def close(self) -> None:
        """Releases the folder for another process."""


class SystemDisk:
    """A data folder in the file system of this machine."""

    def __init__(self, folder: Path, lock: int) -> None:
        """Uses a folder; `lock` is the descriptor of its locked lock file."""
        self._folder = folder
        self._lock = lock
        self._descriptors: dict[str, int] = {}
        self._unmarked_fleet = ''
        self._is_settled = False

    @classmethod
    def open(cls, folder: str, fleet: str) -> 'SystemDisk':
        """Locks a folder, which is created if needed, for this process.

        A new folder on a full disk is marked with its fleet by the first
        write that succeeds. Raises `JournalError` if the folder is in use,
        belongs to another fleet or can't be created.
        """
        path = Path(folder)
        try:
            disk = cls(path, _lock_folder(path))
        except OSError as error:
            raise JournalError(f'data folder "{folder}": {error}') from error
        try:
            disk._check_fleet(fleet)
        except (JournalError, OSError) as error:
            disk.close()
            raise JournalError(f'data folder "{folder}": {error}') from error
        return disk

    def append(self, name: str, payload: bytes) -> None:
        """Appends bytes to a file, which is created if needed."""
        self._settle_folder()
        descriptor = self._descriptors.get(name)
        if descriptor is None:
            descriptor = self._open_to_append(name)
        _write_all(descriptor, payload)

    def sync(self, name: str) -> None:
        """Makes everything appended to a file durable."""
        descriptor = self._descriptors.get(name)
        if descriptor is not None:
            fsync(descriptor)

    def read(self, name: str) -> bytes:
        """Returns the content of a file; empty if it does not exist."""
        with suppress(FileNotFoundError):
            return (self._folder / name).read_bytes()
        return b''

    def replace(self, name: str, payload: bytes) -> None:
        """Replaces the content of a file, durably and atomically."""
        self._settle_folder()
        self._replace_file(name, payload)

    def truncate(self, name: str, size: int) -> None:
        """Cuts a file back to its first bytes, durably, and syncs them.

        Opens the file anew, as a descriptor may forget that a sync failed.
        Raises `JournalError` if the file has fewer bytes.
        """
        self._settle_folder()
        self._close_file(name)
        with _open_file(self._folder / name, O_WRONLY) as descriptor:
            stored = fstat(descriptor).st_size
            if stored < size:
                raise JournalError(
                    f'file "{name}" has {stored} bytes instead of {size}: '
                    + 'synced records were lost',
                )
            if stored > size:
                ftruncate(descriptor, size)
            fsync(descriptor)

    def list(self) -> tuple[str, ...]:
        """Returns the names of all files, sorted."""
        names = {
            entry.name
            for entry in self._folder.iterdir()
            if not entry.name.endswith(_NEW_SUFFIX)
        }
        return tuple(sorted(names - {_LOCK_NAME, _FLEET_NAME}))

    def remove(self, name: str) -> None:
        """Removes a file, durably."""
        self._close_file(name)
        (self._folder / name).unlink(missing_ok=True)
        self._sync_folder()

    def close(self) -> None:
        """Releases the folder for another process."""
        for name in tuple(self._descriptors):
            self._close_file(name)
        close_descriptor(self._lock)

    def _replace_file(self, name: str, payload: bytes) -> None:
        self._close_file(name)
        new_file = self._folder / (name + _NEW_SUFFIX)
        new_file.unlink(missing_ok=True)
        try:
            _write_file(new_file, payload)
        except OSError:
            # A part of it would take up the room that is left.
            with suppress(OSError):
                new_file.unlink(missing_ok=True)
            raise
        new_file.rename(self._folder / name)
        self._sync_folder()

    def _check_fleet(self, fleet: str) -> None:
        self._remove_leftovers()
        stored_fleet = self.read(_FLEET_NAME).decode(errors='replace')
        if not stored_fleet and not self.list():
            self._unmarked_fleet = fleet
            self._try_to_mark_folder()
            return
        if stored_fleet != fleet:
            raise JournalError(
                f'it belongs to fleet "{stored_fleet}", not "{fleet}": '
                + 'set another data folder',
            )

    def _remove_leftovers(self) -> None:
        """Removes replacements that were never finished."""
        try:
            for leftover in self._folder.glob(f'*{_NEW_SUFFIX}'):
                leftover.unlink()
        except OSError as error:
            _log.warning('leftover_kept', extra={'cause': str(error)})

    def _try_to_mark_folder(self) -> None:
        try:
            self._settle_folder()
        except OSError as error:
            _log.critical('folder_unmarked', extra={'cause': str(error)})

    def _settle_folder(self) -> None:
        """Makes the folder and its names durable before the first write.

        Records the fleet in a new folder. What a killed process renamed or
        created may not be synced yet.
        """
        if self._is_settled:
            return
        if self._unmarked_fleet:
            _sync_parents(self._folder)
            self._replace_file(_FLEET_NAME, self._unmarked_fleet.encode())
            self._unmarked_fleet = ''
        else:
            self._sync_folder()
        self._is_settled = True

    def _open_to_append(self, name: str) -> int:
        descriptor = open_descriptor(
            self._folder / name,
            O_WRONLY | O_CREAT | O_APPEND,
            _FILE_MODE,
        )
        self._descriptors[name] = descriptor
        self._sync_folder()
        return descriptor

    def _close_file(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            close_descriptor(descriptor)

    def _sync_folder(self) -> None:
        _sync_path(self._folder)


def _lock_folder(folder: Path) -> int:
    folder.mkdir(mode=_FOLDER_MODE, parents=True, exist_ok=True)
    descriptor = open_descriptor(
        folder / _LOCK_NAME,
        O_RDWR | O_CREAT,
        _FILE_MODE,
    )
    try:
        flock(descriptor, LOCK_EX | LOCK_NB)
    except BlockingIOError as error:
        close_descriptor(descriptor)
        raise JournalError(
            f'data folder "{folder}" is in use by another process: '
            + 'stop that process or set another data folder',
        ) from error
    return descriptor


def _sync_path(path: Path) -> None:
    with _open_file(path, O_RDONLY) as descriptor:
        fsync(descriptor)


def _sync_parents(folder: Path) -> None:
    """Syncs the folders above one, as far as they may be read."""
    for parent in folder.resolve().parents:
        try:
            _sync_path(parent)
        except PermissionError as error:
            _log.warning('folder_unsynced', extra={'cause': str(error)})
            return


def _write_file(path: Path, payload: bytes) -> None:
    with _open_file(path, O_WRONLY | O_CREAT) as descriptor:
        _write_all(descriptor, payload)
        fsync(descriptor)


def _write_all(descriptor: int, payload: bytes) -> None:
    remaining = memoryview(payload)
    while remaining:
        remaining = remaining[write_descriptor(descriptor, remaining) :]


@contextmanager
def _open_file(path: Path, flags: int) -> Iterator[int]:
    descriptor = open_descriptor(path, flags, _FILE_MODE)
    try:
        yield descriptor
    finally:
        close_descriptor(descriptor)
