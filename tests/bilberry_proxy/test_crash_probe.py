"""Tests of the crash probe: an exiting upstream must count as gone."""

from asyncio import Event, create_task, get_running_loop, run
from socket import create_server

from bilberry_core.endpoint import Address
from bilberry_proxy.crash_probe import has_exited
from testtools import TestCase

_LONG_S = 10.0
_SHORT_S = 0.01


class CrashProbeTest(TestCase):
    """Probes of upstreams that have exited, are exiting, or run."""

    def test_refused_connection_means_gone(self):
        """If nothing listens on the address, the process has ended."""

        async def scenario() -> bool:
            listener = create_server(('127.0.0.1', 0))
            address = Address(*listener.getsockname())
            listener.close()
            return await has_exited(address, _LONG_S)

        self.assertTrue(run(scenario()))

    def test_process_ends_after_it_accepted_the_connection(self):
        """A process that exits after the kernel accepted a connection is gone.

        The connection is closed with the listener and proves nothing.
        """

        async def scenario() -> bool:
            listener = create_server(('127.0.0.1', 0))
            address = Address(*listener.getsockname())
            pending = Event()
            loop = get_running_loop()
            loop.add_reader(listener, pending.set)
            probe = create_task(has_exited(address, _LONG_S))
            await pending.wait()
            loop.remove_reader(listener)
            listener.close()
            return await probe

        self.assertTrue(run(scenario()))

    def test_running_upstream_is_not_gone(self):
        """An upstream that keeps the connection open is running."""

        async def scenario() -> bool:
            listener = create_server(('127.0.0.1', 0))
            address = Address(*listener.getsockname())
            with listener:
                return await has_exited(address, _SHORT_S)

        self.assertFalse(run(scenario()))

    def test_upstream_that_closes_connections_is_not_gone(self):
        """A process that closes connections but still listens is running."""

        async def scenario() -> bool:
            listener = create_server(('127.0.0.1', 0))
            address = Address(*listener.getsockname())
            loop = get_running_loop()
            loop.add_reader(listener, lambda: listener.accept()[0].close())
            try:
                return await has_exited(address, _LONG_S)
            finally:
                loop.remove_reader(listener)
                listener.close()

        self.assertFalse(run(scenario()))
