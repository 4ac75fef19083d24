"""Provides streams, timers, clock, randomness and metrics to controllers."""

from asyncio import AbstractEventLoop, CancelledError, Task, get_running_loop
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from bilberry_core.clock import MS_PER_S, Clock, RandomSource
from bilberry_core.dialing import dial
from bilberry_core.error import HandshakeError, StreamClosedError
from bilberry_core.handshake import HANDSHAKE_TRIPS, Purpose
from bilberry_core.keepalive import MAX_UNACKNOWLEDGED_MS
from bilberry_core.metric import Metrics
from bilberry_core.settings import Peer
from bilberry_core.stream import Credentials

#: Longest time to open a stream to a relay, in seconds: on a loaded link each
#: trip may take as long as the kernel waits for an acknowledgement.
DIAL_TIMEOUT_S = HANDSHAKE_TRIPS * MAX_UNACKNOWLEDGED_MS / MS_PER_S


class Link(Protocol):
    """The part of `bilberry_core.stream.Stream` that controllers use."""

    receiver: Callable[[Any], None]
    on_close: Callable[[], None]

    @property
    def is_open(self) -> bool:
        """Whether messages can be sent."""

    @property
    def is_writable(self) -> bool:
        """Whether the send buffer has room."""

    def send(self, sent: Any) -> None:
        """Sends a message; raises `StreamClosedError` once it is closed."""

    def send_encoded(self, encoded: bytes) -> None:
        """Sends a message that is already encoded."""

    def close(self) -> None:
        """Closes the stream once everything that was sent is written."""


class Dialer(Protocol):
    """A dialer of streams to other daemons."""

    def dial(
        self,
        peer: Peer,
        on_open: Callable[[Link], None],
        on_failure: Callable[[], None],
    ) -> None:
        """Opens a stream; calls `on_open` or `on_failure` when it is done."""

    def close(self) -> None:
        """Cancels pending dials."""


class Scheduler(Protocol):
    """A scheduler of callbacks; in production the event loop."""

    def call_later(self, delay: float, callback: Callable[[], None]) -> Any:
        """Calls `callback` after `delay` seconds."""


class Runtime(NamedTuple):
    """The external dependencies of a controller."""

    dialer: Dialer
    scheduler: Scheduler
    clock: Clock
    random: RandomSource
    metrics: Metrics


class StreamDialer:
    """A dialer of streams of `Purpose.SPREAD` over TCP."""

    def __init__(self, credentials: Credentials) -> None:
        """Authenticates with `credentials`."""
        self._credentials = credentials
        self._tasks: set[Task[None]] = set()

    def dial(
        self,
        peer: Peer,
        on_open: Callable[[Link], None],
        on_failure: Callable[[], None],
    ) -> None:
        """Opens a stream; calls `on_open` or `on_failure` when it is done."""
        task = get_running_loop().create_task(
            self._dial(peer, on_open, on_failure),
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancels pending dials."""
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
                timeout_s=DIAL_TIMEOUT_S,
            )
        except (OSError, HandshakeError):
            on_failure()
        except CancelledError:
            return
        else:
            on_open(stream)


class LoopScheduler:
    """A scheduler on the running event loop."""

    def call_later(self, delay: float, callback: Callable[[], None]) -> Any:
        """Calls `callback` after `delay` seconds."""
        loop: AbstractEventLoop = get_running_loop()
        return loop.call_later(delay, callback)


def open_runtime(
    credentials: Credentials,
    clock: Clock,
    random: RandomSource,
    metrics: Metrics,
) -> Runtime:
    """Returns the dependencies for a daemon that runs on an event loop."""
    return Runtime(
        StreamDialer(credentials),
        LoopScheduler(),
        clock,
        random,
        metrics,
    )


def send_if_open(link: Link, sent: Any) -> None:
    """Sends a message, or does nothing if the stream is closed."""
    try:
        link.send(sent)
    except StreamClosedError:
        return
