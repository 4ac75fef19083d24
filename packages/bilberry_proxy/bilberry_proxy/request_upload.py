"""The body of a call's request on its way to the upstream, by credits."""

from bilberry_proxy.call import CREDIT_STEP_BYTES, AnswerReceiver
from bilberry_proxy.upstream_connection import UpstreamConnection


class RequestUpload:
    """Holds the body until there is a connection, then passes it on."""

    def __init__(self, answers: AnswerReceiver, uncredited: int) -> None:
        """Credits the opener for `uncredited` bytes sent with the start."""
        self._answers = answers
        self._uncredited = uncredited
        self._buffered: list[tuple[bytes, bool]] = []
        self._connection: UpstreamConnection | None = None

    def send(self, body: bytes, last: bool) -> None:
        """Sends more of the body, or holds it."""
        if self._connection is None:
            self._buffered.append((body, last))
            return
        self._connection.send(body, last)
        self._uncredited += len(body)
        if not last:
            self.credit()

    def begin(self, connection: UpstreamConnection, last: bool) -> None:
        """Sends what was held; `last` where the start was the whole request."""
        self._connection = connection
        held = self._buffered
        self._buffered = []
        for body, is_end in held:
            self.send(body, is_end)
        if not last:
            self.credit()

    def credit(self) -> None:
        """Lets the opener send more, where the upstream keeps up."""
        connection = self._connection
        if connection is None or not connection.is_writable:
            return
        if self._uncredited >= CREDIT_STEP_BYTES:
            size = self._uncredited
            self._uncredited = 0
            self._answers.credit(size)

    def clear(self) -> None:
        """Forgets what is held."""
        self._buffered.clear()
