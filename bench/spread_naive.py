"""The naive baseline: every proxy polls the source for the whole state."""

from asyncio import Event, sleep, wait_for

from bilberry_core.board import Board
from bilberry_core.dialing import dial
from bilberry_core.handshake import Purpose
from bilberry_core.listener import StreamListener
from bilberry_core.messages.spread import (
    ConfigurationSnapshot,
    EndpointAnnouncement,
    EndpointUpdate,
    VersionReport,
)
from bilberry_core.settings import Settings
from bilberry_core.stream import Credentials, Stream
from bilberry_spread.delta import build_snapshot_message, read_snapshot_message

#: Pause between two polls of a proxy, in seconds.
POLL_S = 1.0


class NaiveSource:
    """A source that responds to each poll with the whole state."""

    def __init__(self, board: Board, listener: StreamListener) -> None:
        """Registers with the listener, and so accepts polls at once."""
        self._board = board
        listener.handle(Purpose.SPREAD, self._accept)

    async def run(self) -> None:
        """Waits until the daemon stops; polls are served by callbacks."""
        await self._board.stopping.wait()

    def _accept(self, stream: Stream) -> None:
        stream.receiver = lambda received: self._receive(stream, received)

    def _receive(self, stream: Stream, received) -> None:
        known = self._board.endpoints.value
        if isinstance(received, EndpointAnnouncement):
            endpoint = received.endpoint
            self._board.endpoints.put({**known, endpoint.instance: endpoint})
            return
        accepted = self._board.accepted.value
        if accepted is not None:
            stream.send(build_snapshot_message(accepted))
        stream.send(EndpointUpdate(tuple(known.values())))


class NaiveProxy:
    """A proxy that polls for the whole state."""

    def __init__(
        self,
        settings: Settings,
        board: Board,
        credentials: Credentials,
    ) -> None:
        """Uses the first replica of the settings as the source."""
        self._peer = settings.replicas[0]
        self._board = board
        self._credentials = credentials
        self._answered = Event()

    async def run(self) -> None:
        """Polls until the daemon stops."""
        stream = await dial(
            self._credentials,
            self._peer.address,
            Purpose.SPREAD,
        )
        stream.receiver = self._receive
        self._board.own_endpoint.watch(
            lambda endpoint: stream.send(EndpointAnnouncement(endpoint)),
        )
        stream.send(EndpointAnnouncement(self._board.own_endpoint.value))
        while not self._board.stopping.is_set():
            self._answered.clear()
            stream.send(VersionReport({}))
            await wait_for(self._answered.wait(), 60)
            await sleep(POLL_S)

    def _receive(self, received) -> None:
        if isinstance(received, ConfigurationSnapshot):
            self._receive_snapshot(received)
        elif isinstance(received, EndpointUpdate):
            endpoints = {one.instance: one for one in received.endpoints}
            if endpoints != self._board.endpoints.value:
                self._board.endpoints.put(endpoints)
            self._answered.set()

    def _receive_snapshot(self, received: ConfigurationSnapshot) -> None:
        known = self._board.accepted.value
        if known is None or known.version < received.version:
            self._board.accepted.put(read_snapshot_message(received).unwrap())
