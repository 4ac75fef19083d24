"""Sends the body of a call's request to the upstream, under flow control."""

from bilberry_proxy.call import CREDIT_STEP_BYTES, AnswerReceiver
from bilberry_proxy.upstream_connection import UpstreamConnection


class RequestUpload:
    """A request body that is buffered until there is a connection."""

    def __init__(self, answers: AnswerReceiver, uncredited: int) -> None:
        """Creates an upload without a connection.

        `uncredited` bytes are sent with the start; credit for them follows.
        """
        self._answers = answers
        self._uncredited = uncredited
        self._buffered: list[tuple[bytes, bool]] = []
        self._connection: UpstreamConnection | None = None

    def send(self, body: bytes, last: bool) -> None:
        """Sends more of the body, or buffers it."""
        if self._connection is None:
            self._buffered.append((body, last))
            return
        self._connection.send(body, last)
        self._uncredited += len(body)
        if not last:
            self.credit()

    def begin(self, connection: UpstreamConnection, last: bool) -> None:
        """Sends the buffered body.

        `last` means that the start contained the whole request.
        """
        self._connection = connection
        buffered = self._buffered
        self._buffered = []
        for body, is_end in buffered:
            self.send(body, is_end)
        if not last:
            self.credit()

    def credit(self) -> None:
        """Grants the opener credit if the connection is writable.

        Credit is granted in steps of at least `CREDIT_STEP_BYTES`.
        """
        connection = self._connection
        if connection is None or not connection.is_writable:
            return
        if self._uncredited >= CREDIT_STEP_BYTES:
            size = self._uncredited
            self._uncredited = 0
            self._answers.credit(size)

    def clear(self) -> None:
        """Drops the buffered body."""
        self._buffered.clear()
