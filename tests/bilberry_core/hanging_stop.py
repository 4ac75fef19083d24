"""A process that ends while the disk of its journal hangs."""

from asyncio import create_task, run, to_thread
from logging import basicConfig
from threading import Event

from bilberry_core.journal import Journal

from tests.bilberry_core.fake_disk import FakeDisk


async def stop_while_the_disk_hangs() -> None:
    """Begins a sync that never ends, and stops."""
    begun = Event()

    def hang(_name: str) -> None:
        begun.set()
        Event().wait()

    disk = FakeDisk()
    disk.before_sync = hang
    journal, _records = Journal.open(disk, 'log')
    journal.append(b'never acknowledged')
    syncing = create_task(journal.sync())
    await to_thread(begun.wait)
    await journal.finish()
    syncing.cancel()


if __name__ == '__main__':
    basicConfig()
    run(stop_while_the_disk_hangs())
