"""One open call on the stream to another daemon."""

from typing import Any, Protocol

from bilberry_core.messages.call import (
    NO_LOAD,
    CallCancel,
    CallChunk,
    CallFailed,
    CallProbe,
    CallStart,
    Credit,
)
from bilberry_core.verdict import Failure

from bilberry_proxy.call import AnswerReceiver


class CallOwner(Protocol):
    """The stream that a call is on."""

    def send(self, message: Any) -> None:
        """Sends a message, or drops it if the stream has ended."""

    def unregister(self, call: 'RemoteCall') -> bool:
        """Drops all further messages of a call; False if it had ended."""


class RemoteCall:
    """One call on a stream; implements `OpenCall` for its opener."""

    __slots__ = (
        '_buffered',
        '_owner',
        'answers',
        'answer_started',
        'start',
        'written',
    )

    def __init__(
        self,
        owner: CallOwner,
        start: CallStart,
        answers: AnswerReceiver,
    ) -> None:
        """Creates a call that `write` sends once the stream is open."""
        self.start = start
        self.answers = answers
        self.written = False
        self.answer_started = False
        self._owner = owner
        self._buffered: list[CallChunk] = []

    def send(self, body: bytes, last: bool) -> None:
        """Sends more of the request's body."""
        chunk = CallChunk(self.start.call, body, last)
        if self.written:
            self._owner.send(chunk)
        else:
            self._buffered.append(chunk)

    def grant(self, size: int) -> None:
        """Lets the other daemon send `size` further bytes of the response."""
        self._owner.send(Credit(self.start.call, size))

    def probe(self, silence_ms: int) -> None:
        """Asks whether the upstream has sent nothing for `silence_ms`."""
        if self.written:
            self._owner.send(CallProbe(self.start.call, silence_ms))

    def cancel(self) -> None:
        """Ends the call; nothing more is received from it."""
        if self._owner.unregister(self) and self.written:
            self._owner.send(CallCancel(self.start.call))

    def write(self) -> None:
        """Writes the call and the buffered part of its body."""
        self.written = True
        self._owner.send(self.start)
        for chunk in self._buffered:
            self._owner.send(chunk)
        self._buffered.clear()


def refuse_call(
    owner: CallOwner,
    start: CallStart,
    answers: AnswerReceiver,
    failure: Failure,
) -> RemoteCall:
    """Returns a call that has failed and was not sent."""
    call = RemoteCall(owner, start, answers)
    answers.fail(CallFailed(start.call, failure, NO_LOAD))
    return call
