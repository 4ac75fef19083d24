"""Connects a replica to its disk, its streams and the blackboard."""

from asyncio import Event, Task, create_task, timeout, wait
from contextlib import suppress
from logging import getLogger

from bilberry_core.acceptance import (
    Accepted,
    Change,
    HistoryEntry,
    NotAccepted,
    Refusal,
)
from bilberry_core.board import Board, ReplicaStatus
from bilberry_core.clock import Clock, RandomSource
from bilberry_core.configuration import AcceptedVersion
from bilberry_core.disk import Disk
from bilberry_core.error import BilberryError
from bilberry_core.listener import StreamListener
from bilberry_core.settings import Settings
from bilberry_core.stream import Credentials
from returns.result import Failure, Result, Success

from bilberry_replica.building import (
    ReplicaOptions,
    build_own_member,
    list_other_replicas,
    list_peer_addresses,
    open_driver,
)
from bilberry_replica.dispatch import Dispatch
from bilberry_replica.driver import Driver
from bilberry_replica.forwarding import Forwarding
from bilberry_replica.holder_log import HolderLog
from bilberry_replica.joining import Joining
from bilberry_replica.links import Links
from bilberry_replica.outcome import build_result
from bilberry_replica.publisher import Publisher, build_version
from bilberry_replica.reconfiguration import Reconfiguration
from bilberry_replica.rollout_log import RolloutLog

_log = getLogger(__name__)

_STOPPED = 'this replica has stopped: send the request to another one'


class ReplicaController:
    """A running replica that accepts changes until it is cancelled.

    Writes `accepted`, `replica`, `beacon` and `claim_epoch` of the board.
    """

    def __init__(
        self,
        settings: Settings,
        driver: Driver,
        board: Board,
        links: Links,
        options: ReplicaOptions,
    ) -> None:
        """Connects the parts that `from_settings` builds."""
        self._settings = settings
        self._driver = driver
        self._board = board
        self._links = links
        self._publisher = Publisher(driver.replica, board)
        driver.watchers += (self._publisher.publish, self._update_links)
        self._forwarding = Forwarding(driver, options.validate)
        self._reconfiguration = Reconfiguration(
            driver,
            self._forwarding.requests,
        )
        self._joining = Joining(
            driver,
            build_own_member(settings, driver.replica.node.store),
            list_other_replicas(settings),
            settings.founding,
        )
        self._stopping = Event()
        self._has_stopped = False

    @classmethod
    def from_settings(  # noqa: WPS211 - the daemon passes in every interface
        cls,
        settings: Settings,
        board: Board,
        listener: StreamListener,
        credentials: Credentials,
        clock: Clock,
        random: RandomSource,
        disk: Disk,
        options: ReplicaOptions = ReplicaOptions(),
    ) -> 'ReplicaController':
        """Opens the replica stored on the disk.

        Raises `JournalError` if the disk is damaged.
        """
        links = Links(credentials, random)
        driver = open_driver(settings, disk, clock, random, links, options)
        controller = cls(settings, driver, board, links, options)
        links.accept_from(listener, controller.build_dispatch().receive)
        return controller

    def build_dispatch(self) -> Dispatch:
        """Returns the dispatcher for messages of other replicas."""
        return Dispatch(
            self._driver,
            self._joining,
            self._forwarding,
            self._reconfiguration,
        )

    async def run(self) -> None:
        """Runs until it is cancelled or stopped.

        Raises `BilberryError` if this replica must not continue.
        """
        self._publisher.publish()
        self._update_links()
        timing = self._settings.timing
        tasks = [
            create_task(self._driver.wait_for_failure()),
            create_task(self._driver.sync_forever()),
            create_task(self._driver.tick_forever()),
            create_task(self._driver.beacon_forever(timing.beacon_ms)),
            create_task(self._joining.probe_forever()),
            create_task(self._stopping.wait()),
        ]
        try:
            done, _ = await wait(tasks, return_when='FIRST_COMPLETED')
            for task in done:
                task.result()
        except BilberryError as error:
            _log.critical('replica_stopped', extra={'cause': str(error)})
            raise
        finally:
            self._shut_down(tasks)

    async def stop(self) -> None:
        """Ends `run`; waits for the disk, for a limited time."""
        self._stopping.set()
        await self._driver.finish()

    @property
    def rollouts(self) -> RolloutLog:
        """The roll-outs in the log."""
        machine = self._driver.replica.machine
        return RolloutLog(self, lambda: machine.register.rollouts)

    @property
    def holders(self) -> HolderLog:
        """The holders of shares in the log."""
        return HolderLog(self)

    async def submit(
        self,
        change: Change,
        timeout_s: float,
    ) -> Result[Accepted, Refusal]:
        """Submits a change to the leader and returns its outcome."""
        if self._has_stopped:
            return Failure(NotAccepted(_STOPPED))
        decision = await self._forwarding.submit(change, timeout_s)
        _log.info(
            'change_decided',
            extra={
                'change_id': change.change_id,
                'base_version': change.base_version,
                'author': change.author,
                'outcome': type(decision).__name__,
            },
        )
        return build_result(change, decision)

    async def read_current(
        self,
        timeout_s: float,
    ) -> Result[AcceptedVersion | None, NotAccepted]:
        """Returns the newest accepted version, confirmed by a quorum."""
        if self._has_stopped:
            return Failure(NotAccepted(_STOPPED))
        with suppress(TimeoutError):
            async with timeout(timeout_s):
                index = await self._forwarding.confirm(timeout_s)
                if index is not None:
                    await self._wait_applied(index)
                    return Success(self._read_newest())
        return Failure(NotAccepted('no quorum confirmed the newest version'))

    def read_history(self, limit: int) -> tuple[HistoryEntry, ...]:
        """Returns the newest versions known to this replica, newest first."""
        return self._driver.replica.machine.register.read_history(limit)

    async def remove_replica(self, instance: str, timeout_s: float) -> bool:
        """Asks the leader to log the permanent removal of a replica.

        Returns whether the leader proposed it.
        """
        return await self._reconfiguration.remove(instance, timeout_s)

    async def end_handover(self, epoch: int, timeout_s: float) -> bool:
        """Asks the leader to log that the handover of an epoch has ended.

        Returns whether the leader proposed it.
        """
        return await self._reconfiguration.end_handover(epoch, timeout_s)

    def _shut_down(self, tasks: list[Task]) -> None:
        self._has_stopped = True
        for task in tasks:
            task.cancel()
        self._links.close()

    def _read_newest(self) -> AcceptedVersion | None:
        newest = self._driver.replica.machine.register.newest
        return None if newest is None else build_version(newest)

    def _update_links(self) -> None:
        membership = self._driver.replica.node.membership
        self._links.set_peers(list_peer_addresses(self._settings, membership))

    async def _wait_applied(self, index: int) -> None:
        def is_reached(status: ReplicaStatus | None) -> bool:
            return status is not None and status.commit >= index

        if self._driver.replica.machine.applied < index:
            await self._board.replica.wait_for(is_reached)
