"""Runs claim processes and broadcasts on the event loop.

`Holders` keeps a link to each holder and passes each reply to the exchange
that sent the request. An `Exchange` sends the messages of a state machine,
runs its timer and passes on new epochs.
"""

from asyncio import Future, TimerHandle, get_running_loop
from collections.abc import Iterable
from typing import Any, Protocol

from bilberry_core.board import Board, ClaimEpoch
from bilberry_core.messages.claim import ClaimRefused, ClaimState
from bilberry_core.stream import Credentials

from bilberry_claims.link import HolderLinks
from bilberry_claims.process import OutgoingMessage
from bilberry_claims.quorum import list_members


class StateMachine(Protocol):
    """A claim process or a broadcast, without sockets and timers."""

    request: int
    wait_s: float

    def begin(self, epoch: ClaimEpoch) -> tuple[OutgoingMessage, ...]:
        """Starts over in this epoch and returns the messages to send."""

    def receive(
        self,
        instance: str,
        reply: ClaimState | ClaimRefused,
    ) -> tuple[OutgoingMessage, ...]:
        """Handles a holder's reply."""

    def tick(self) -> tuple[OutgoingMessage, ...]:
        """Handles the timer, which fires `wait_s` seconds after it is set."""

    def is_ended(self) -> bool:
        """Returns whether the exchange may be closed."""


class Holders:
    """The links to all holders and the exchanges that await replies."""

    def __init__(self, board: Board, credentials: Credentials) -> None:
        """Opens the stream to a holder with the first message to it."""
        self.board = board
        self._links = HolderLinks(credentials, self._receive)
        self._exchanges: dict[int, 'Exchange'] = {}

    def send(self, sends: Iterable[OutgoingMessage]) -> None:
        """Sends each message to its holder, if an address of it is known."""
        members = list_members(self.board.claim_epoch.value)
        for instance, message in sends:
            self._links.send(instance, members.get(instance), message)

    def expect(self, request: int, exchange: 'Exchange') -> None:
        """Passes replies to this request to the exchange."""
        self._exchanges[request] = exchange

    def forget(self, request: int) -> None:
        """Ignores replies to this request."""
        self._exchanges.pop(request, None)

    def close(self) -> None:
        """Closes all exchanges and streams."""
        for exchange in tuple(self._exchanges.values()):
            exchange.close()
        self._links.close()

    def _receive(self, instance: str, reply: Any) -> None:
        if not isinstance(reply, (ClaimState, ClaimRefused)):
            return
        exchange = self._exchanges.get(reply.request)
        if exchange is not None:
            exchange.receive(instance, reply)


class Exchange:
    """One process or broadcast on the event loop.

    `done` is resolved once the state machine has ended or the exchange was
    closed.
    """

    def __init__(self, holders: Holders, machine: StateMachine) -> None:
        """Starts in the current epoch, or as soon as one is known."""
        self.done: Future[None] = get_running_loop().create_future()
        self._holders = holders
        self._machine = machine
        self._request = 0
        self._timer: TimerHandle | None = None
        cell = holders.board.claim_epoch
        self._unwatch = cell.watch(self._begin)
        self._begin(cell.value)

    def receive(self, instance: str, reply: ClaimState | ClaimRefused) -> None:
        """Handles a holder's reply."""
        wait_s = self._machine.wait_s
        request = self._machine.request
        self.apply(self._machine.receive(instance, reply))
        if (wait_s, request) != (
            self._machine.wait_s,
            self._machine.request,
        ):
            self._restart_timer()

    def apply(self, sends: tuple[OutgoingMessage, ...]) -> None:
        """Sends messages; closes the exchange if the state machine ended."""
        self._holders.send(sends)
        if self._machine.is_ended():
            self.close()
        elif self._machine.request != self._request:
            self._holders.forget(self._request)
            self._request = self._machine.request
            self._holders.expect(self._request, self)

    def close(self) -> None:
        """Stops the timer and resolves `done`; later replies are ignored."""
        if self.done.done():
            return
        self.done.set_result(None)
        self._unwatch()
        self._holders.forget(self._request)
        if self._timer is not None:
            self._timer.cancel()

    def _begin(self, epoch: ClaimEpoch | None) -> None:
        if epoch is None or self.done.done():
            return
        self.apply(self._machine.begin(epoch))
        self._restart_timer()

    def _tick(self) -> None:
        self.apply(self._machine.tick())
        self._restart_timer()

    def _restart_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if not self.done.done():
            self._timer = get_running_loop().call_later(
                self._machine.wait_s,
                self._tick,
            )
