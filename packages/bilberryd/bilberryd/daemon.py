"""Runs a daemon: the controllers of its roles with a shared blackboard.

`Daemon.run` returns after a graceful stop: by then the requests in flight have
ended and the daemon's endpoint has been announced as leaving.
"""

from asyncio import (
    FIRST_COMPLETED,
    CancelledError,
    Task,
    create_task,
    gather,
    get_running_loop,
    wait,
)
from collections.abc import Coroutine
from logging import getLogger
from signal import SIGHUP, SIGINT, SIGTERM
from typing import Protocol

from bilberry_core.board import Board, Phase
from bilberry_core.endpoint import Address
from bilberry_core.listener import StreamListener

_log = getLogger(__name__)


class Controller(Protocol):
    """A component of the daemon that reads and writes the blackboard."""

    async def run(self) -> None:
        """Runs until it is cancelled."""

    async def stop(self) -> None:
        """Releases its resources."""


class DrainingController(Controller, Protocol):
    """A controller that finishes requests before it stops."""

    async def drain(self) -> None:
        """Refuses new requests and waits until none is in flight."""


class Daemon:
    """The controllers of one instance, which run until a stop is requested."""

    def __init__(
        self,
        address: Address,
        board: Board,
        listener: StreamListener,
        controllers: tuple[Controller, ...],
        draining: tuple[DrainingController, ...],
    ) -> None:
        """Stores the components that `assembly.build_daemon` creates."""
        self._address = address
        self._board = board
        self._listener = listener
        self._controllers = controllers
        self._draining_controllers = draining

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then drains.

        If a controller fails, the daemon ends with the error of the
        controller.
        """
        loop = get_running_loop()
        for signal in (SIGTERM, SIGINT):
            loop.add_signal_handler(signal, self._board.stopping.set)
        loop.add_signal_handler(SIGHUP, _ignore_reload)
        address = await self._listener.listen(self._address)
        _log.info('daemon_started', extra={'streams': list(address)})
        tasks = [
            _start_task(controller.run()) for controller in self._controllers
        ]
        self._board.phase.put(Phase.SERVING)
        try:
            await self._serve(tasks)
        finally:
            await self._stop(tasks)

    async def _serve(self, tasks: list[Task[None]]) -> None:
        stopping = create_task(self._board.stopping.wait())
        done, _running = await wait(
            (stopping, *tasks),
            return_when=FIRST_COMPLETED,
        )
        stopping.cancel()
        for task in done - {stopping}:
            task.result()
        self._board.phase.put(Phase.LEAVING)
        _log.info('daemon_draining')
        await gather(
            *(controller.drain() for controller in self._draining_controllers)
        )

    async def _stop(self, tasks: list[Task[None]]) -> None:
        for controller in self._controllers:
            await controller.stop()
        for task in tasks:
            task.cancel()
        await gather(*tasks, return_exceptions=True)
        self._listener.close()
        self._board.phase.put(Phase.STOPPED)
        _log.info('daemon_stopped')


def _ignore_reload() -> None:
    """Logs that SIGHUP reloads nothing: settings are read at the start."""
    _log.info('reload_ignored', extra={'why': 'settings are read at the start'})


def _start_task(coroutine: Coroutine[None, None, None]) -> Task[None]:
    task = create_task(coroutine)
    task.add_done_callback(_log_failure)
    return task


def _log_failure(task: Task[None]) -> None:
    try:
        task.result()
    except CancelledError:
        return
    except Exception:
        _log.exception('controller_failed')
