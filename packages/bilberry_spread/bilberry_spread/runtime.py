"""The edges of the controllers: streams, timers, time, chance and metrics."""

from asyncio import AbstractEventLoop, CancelledError, Task, get_running_loop
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from bilberry_core.clock import Clock, RandomSource
from bilberry_core.dialing import dial
from bilberry_core.error import HandshakeError, StreamClosedError
from bilberry_core.handshake import Purpose
from bilberry_core.metric import Metrics, open_metrics
from bilberry_core.settings import Peer, Settings
from bilberry_core.stream import Credentials


class Link(Protocol):
    """The part of `bilberry_core.stream.Stream` that controllers use."""

    receiver: Callable[[Any], None]
    on_close: Callable[[], None]

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""

    @property
    def is_writable(self) -> bool:
        """Whether the other side keeps up with what was sent."""

    def send(self, sent: Any) -> None:
        """Sends a message; raises `StreamClosedError` after the end."""

    def send_encoded(self, encoded: bytes) -> None:
        """Sends a message that is encoded already."""

    def close(self) -> None:
        """Ends the stream after what was sent."""


class Dialer(Protocol):
    """Opens streams to other daemons."""

    def dial(
        self,
        peer: Peer,
        on_open: Callable[[Link], None],
        on_failure: Callable[[], None],
    ) -> None:
        """Opens a stream; calls one of the two when it is known."""

    def close(self) -> None:
        """Gives up what is being opened."""


class Scheduler(Protocol):
    """Calls back later; the event loop does."""

    def call_later(self, delay: float, callback: Callable[[], None]) -> Any:
        """Calls `callback` after `delay` seconds."""


class Runtime(NamedTuple):
    """Everything outside that a controller uses."""

    dialer: Dialer
    scheduler: Scheduler
    clock: Clock
    random: RandomSource
    metrics: Metrics


class StreamDialer:
    """Opens streams of purpose spread over TCP."""

    def __init__(self, credentials: Credentials) -> None:
        """Proves these credentials."""
        self._credentials = credentials
        self._tasks: set[Task[None]] = set()

    def dial(
        self,
        peer: Peer,
        on_open: Callable[[Link], None],
        on_failure: Callable[[], None],
    ) -> None:
        """Opens a stream; calls one of the two when it is known."""
        task = get_running_loop().create_task(
            self._dial(peer, on_open, on_failure),
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Gives up what is being opened."""
        for task in tuple(self._tasks):
            task.cancel()

    async def _dial(
        self,
        peer: Peer,
        on_open: Callable[[Link], None],
        on_failure: Callable[[], None],
    ) -> None:
        try:
            stream = await dial(
                self._credentials,
                peer.address,
                Purpose.SPREAD,
            )
        except (OSError, HandshakeError):
            on_failure()
        except CancelledError:
            return
        else:
            on_open(stream)


class LoopScheduler:
    """Calls back by the running event loop."""

    def call_later(self, delay: float, callback: Callable[[], None]) -> Any:
        """Calls `callback` after `delay` seconds."""
        loop: AbstractEventLoop = get_running_loop()
        return loop.call_later(delay, callback)


def open_runtime(
    settings: Settings,
    credentials: Credentials,
    clock: Clock,
    random: RandomSource,
) -> Runtime:
    """Returns the edges of a daemon."""
    return Runtime(
        StreamDialer(credentials),
        LoopScheduler(),
        clock,
        random,
        open_metrics(settings.statsd),
    )


def send_if_open(link: Link, sent: Any) -> None:
    """Sends a message; a stream that has ended takes nothing."""
    try:
        link.send(sent)
    except StreamClosedError:
        return
