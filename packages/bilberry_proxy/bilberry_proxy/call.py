"""Interfaces of a call, whether it crosses a stream or stays in process.

A `CallTarget` opens calls. The opener receives the response through its
`AnswerReceiver` and controls the call through the `OpenCall`.
"""

from typing import Protocol

from bilberry_core.messages.call import (
    CallFailed,
    CallStart,
    ReplyChunk,
    ReplyStart,
    SlotRefused,
    SlotRequest,
)

#: Bytes of one body that may be sent before credit is granted.
WINDOW_BYTES = 256 << 10
#: Credits are granted in steps of at least this size, in bytes.
CREDIT_STEP_BYTES = WINDOW_BYTES >> 2


class AnswerReceiver(Protocol):
    """A receiver of the response to one call.

    The response ends with `fail` or with the last chunk.
    """

    def start_reply(self, reply: ReplyStart) -> None:
        """Receives the start of the response."""

    def continue_reply(self, chunk: ReplyChunk) -> None:
        """Receives more of the response body."""

    def fail(self, failed: CallFailed) -> None:
        """Receives the failure that ends the call."""

    def report_alive(self, alive: bool) -> None:
        """Receives the outcome of a probe: whether the upstream responds."""

    def credit(self, size: int) -> None:
        """Receives credit for `size` further bytes of the request body."""


class OpenCall(Protocol):
    """An open call, as seen by its opener, which controls it."""

    def send(self, body: bytes, last: bool) -> None:
        """Sends more of the request's body."""

    def grant(self, size: int) -> None:
        """Lets the other side send `size` further bytes of the response."""

    def probe(self, silence_ms: int) -> None:
        """Asks whether the upstream has sent nothing for `silence_ms`.

        The outcome goes to `report_alive`; if none comes, the daemon beside
        the upstream doesn't respond either.
        """

    def cancel(self) -> None:
        """Ends the call; nothing more is received from it."""


class SlotReceiver(Protocol):
    """A receiver of the slot that was requested, or of the refusal."""

    def offer_slot(self) -> None:
        """Receives a slot, which is kept for a short time."""

    def refuse_slot(self, refused: SlotRefused) -> None:
        """Receives the refusal; no slot follows."""


class SlotReservation(Protocol):
    """A requested slot, as seen by the requester."""

    def take(self, start: CallStart, answers: AnswerReceiver) -> OpenCall:
        """Sends the request to the slot that was offered."""

    def cancel(self) -> None:
        """Gives up the slot, or the wait for it; nothing more is received."""


class CallTarget(Protocol):
    """A target that opens calls to the upstream beside one daemon."""

    def open(self, start: CallStart, answers: AnswerReceiver) -> OpenCall:
        """Opens a call; a refusal may reach `answers` before this returns.

        The target assigns its own number to the call.
        """

    def reserve(
        self,
        request: SlotRequest,
        receiver: SlotReceiver,
    ) -> SlotReservation:
        """Requests a slot; a reply may reach `receiver` before this returns.

        The target assigns its own number to the request.
        """
