"""One HTTP/1.1 connection of a caller, by h11.

Requests are answered in the order in which they came. Those that may be
repeated are begun before the answers ahead of them are complete; any other
waits for its turn, since the connection may end with an answer ahead of it.
A caller that hangs up cancels its requests.
"""

from asyncio import Protocol, Transport
from collections.abc import Callable

from h11 import RemoteProtocolError, Request

from bilberry_proxy.caller_turn import CallerTurn, TurnQueue
from bilberry_proxy.exchange import Exchange
from bilberry_proxy.http_events import EventBatch

#: Bytes of later requests that a caller may send ahead.
MAX_AHEAD_BYTES = 64 << 10
#: Requests of one connection that are under way at once.
MAX_TURNS = 8
#: Longest time without a whole request head, in seconds.
MAX_IDLE_S = 60.0


class CallerConnection(Protocol):
    """Serves the requests of one caller's connection."""

    def __init__(
        self,
        build_exchange: Callable[[CallerTurn], Exchange],
        connections: set['CallerConnection'],
        may_overtake: Callable[[Request], bool] = lambda _start: False,
    ) -> None:
        """Takes its place in `connections` while it is open.

        `may_overtake` tells whether a request may begin before those ahead of
        it are answered.
        """
        self.is_writable = True
        self.is_draining = False
        self._build_exchange = build_exchange
        self._connections = connections
        self._may_overtake = may_overtake
        self._transport: Transport | None = None
        self._turns = TurnQueue()
        self._reading_events = False
        self._idle_since: float | None = None

    # The event loop's side.

    def connection_made(self, transport: Transport) -> None:
        """Called by the event loop."""
        self._transport = transport
        self._connections.add(self)
        self._append_turn(b'')

    def data_received(self, received: bytes) -> None:
        """Called by the event loop."""
        if self._turns:
            self._turns[-1].receive(received)
            self._read_events()

    def pause_writing(self) -> None:
        """Called by the event loop when the caller reads too slowly."""
        self.is_writable = False

    def resume_writing(self) -> None:
        """Called by the event loop when the caller has caught up."""
        self.is_writable = True
        for exchange in self._turns.exchanges:
            exchange.resume_answer()

    def connection_lost(self, _error: Exception | None) -> None:
        """Called by the event loop."""
        self._transport = None
        self._connections.discard(self)
        self._turns.cancel()

    def expire_idle(self, now: float) -> None:
        """Ends the connection where no request has come for long.

        `now` is monotonic time, in seconds.
        """
        if self._turns.exchanges or self._idle_since is None:
            self._idle_since = now
        elif now - self._idle_since > MAX_IDLE_S and self._transport:
            self._transport.close()

    # The side of the turns.

    def is_closing_after(self, turn: CallerTurn) -> bool:
        """Whether the connection ends with the answer of this turn."""
        if not self.is_draining:
            return False
        behind = self._turns[-1]
        return turn is behind or (
            behind.exchange is None and not behind.is_read
        )

    def write(self, raw: bytes) -> None:
        """Sends bytes to the caller."""
        if self._transport is not None:
            self._transport.write(raw)

    def finish(self, turn: CallerTurn) -> None:
        """Goes on with the next turn once the first is answered."""
        while self._turns and self._turns[0].is_answered:
            if not self._shift():
                return
        self._read_events()

    def cut(self) -> None:
        """Ends the connection at once, so that an answer is seen to be cut."""
        if self._transport is not None:
            self._transport.abort()
        self._turns.cancel()

    def control_reading(self, wanted: bool) -> None:
        """Reads more of the caller's bytes, or waits with that."""
        if self._transport is None:
            return
        if wanted:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def _shift(self) -> bool:
        """Drops the first turn; False where the connection ends with it."""
        answered = self._turns.popleft()
        closes = self.is_draining and not self._turns
        if closes or not answered.is_reusable:
            self._turns.cancel()
            if self._transport is not None:
                self._transport.close()
            return False
        if not self._turns:
            self._append_turn(answered.trailing)
        else:
            self._turns[0].become_head()
        self.control_reading(wanted=True)
        return True

    def _append_turn(self, received: bytes) -> None:
        turn = CallerTurn(self, received)
        if not self._turns:
            turn.become_head()
        self._turns.append(turn)

    def _read_events(self) -> None:
        if self._reading_events or self._transport is None:
            return
        self._reading_events = True
        try:
            while self._turns and self._read_turn(self._turns[-1]):
                """Reads on while there is something at hand."""
        except RemoteProtocolError as error:
            self.is_draining = True
            self._turns[-1].refuse(error)
        finally:
            self._reading_events = False
        if self._turns and len(self._turns[-1].trailing) > MAX_AHEAD_BYTES:
            self.control_reading(wanted=False)

    def _read_turn(self, turn: CallerTurn) -> bool:
        """Reads the newest request; tells whether there may be more."""
        if turn.start is not None:
            return self._begin(turn, turn.start)
        if turn.is_read:
            return self._read_ahead(turn)
        batch = turn.read()
        if batch.is_empty:
            return False
        if batch.start is not None:
            return self._begin(turn, batch)
        turn.feed(batch)
        return turn.is_read

    def _read_ahead(self, turn: CallerTurn) -> bool:
        if len(self._turns) >= MAX_TURNS or not turn.trailing:
            return False
        self._append_turn(turn.trailing)
        return True

    def _begin(self, turn: CallerTurn, batch: EventBatch) -> bool:
        """Begins an exchange; False where the request waits for its turn."""
        is_first = turn is self._turns[0]
        turn.start = batch
        if not is_first and not self._may_overtake(batch.start):
            return False
        turn.start = None
        self._idle_since = None
        turn.begin(self._build_exchange(turn), batch)
        return True
