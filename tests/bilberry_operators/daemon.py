"""Serves the operators' interface on loopback, with a fake acceptor."""

from asyncio import create_task
from contextlib import asynccontextmanager

from bilberry_core.board import Board
from bilberry_core.endpoint import Address
from bilberry_core.settings import ListenSettings, Peer, Role, Settings
from bilberry_operators.controller import OperatorsController

TOKEN = 'operators-token-0123456789'
SECRET = b'fleet-secret-0123456789'
ANY_PORT = Address('127.0.0.1', 0)
SETTINGS = Settings(
    fleet='coldline',
    instance='van-1',
    failure_domain='a',
    region='west',
    roles=frozenset((Role.PROXY,)),
    listen=ListenSettings(ANY_PORT, operators=ANY_PORT),
    secret=SECRET,
    token=TOKEN,
    replicas=(Peer('van-7', Address('127.0.0.7', 7000), 'b'),),
)


class FakeClock:
    """A clock that tests advance."""

    def __init__(self) -> None:
        self.seconds = 100.0

    def now(self) -> float:
        """Returns the current time in seconds."""
        return self.seconds

    def wall_ms(self) -> int:
        """Returns the current time in milliseconds."""
        return int(self.seconds * 1000)


def build_controller(
    acceptor,
    board=None,
    settings=SETTINGS,
    clock=None,
    **dependencies,
):
    """Returns the controller of the operators' interface."""
    return OperatorsController.from_settings(
        settings,
        board or Board(),
        acceptor,
        clock or FakeClock(),
        **dependencies,
    )


@asynccontextmanager
async def start_daemon(acceptor, **parts):
    """Serves the operators' interface and yields the bound address."""
    controller = build_controller(acceptor, **parts)
    running = create_task(controller.run())
    try:
        yield await controller.bound.wait_for(bool)
    finally:
        await controller.stop()
        await running
