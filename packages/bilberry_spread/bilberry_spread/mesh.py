"""Keeps the stream of a relay to each other relay.

Each relay subscribes to every other relay and receives the records that the
other relay owns: the endpoints of the proxies attached there. No relay
forwards records that it received from another relay, so a record reaches every
relay directly.
"""

from collections.abc import Callable
from functools import partial
from logging import getLogger
from typing import Any

from bilberry_core.clock import MS_PER_S
from bilberry_core.messages.spread import Subscribe, VersionReport
from bilberry_core.settings import Peer, Settings

from bilberry_spread.backoff import Backoff
from bilberry_spread.runtime import Link, Runtime, send_if_open

_log = getLogger(__name__)

#: Silence after which a relay is dialed again, in lease renewal intervals.
SILENT_RENEWALS = 3
#: Most dials of one relay at the same time.
MAX_DIALS = 2


class MeshPeer:
    """One other relay, dialed again whenever its stream ends.

    `is_synced` says whether the relay has sent all its endpoints on the
    current stream.
    """

    def __init__(
        self,
        peer: Peer,
        settings: Settings,
        runtime: Runtime,
        receive: Callable[[Peer, Any], None],
    ) -> None:
        """Passes each message to `receive`."""
        self.peer = peer
        self.is_synced = False
        self._settings = settings
        self._runtime = runtime
        self._receive = receive
        self._backoff = Backoff(runtime.random)
        self._link: Link | None = None
        self._last_received = runtime.clock.now()
        self._next_dial: float | None = self._last_received
        self._dials = 0

    @property
    def is_open(self) -> bool:
        """Whether a stream to the relay is open."""
        return self._link is not None

    def tick(self) -> None:
        """Dials if a dial is due; closes the stream if it is silent."""
        now = self._runtime.clock.now()
        renew_s = self._settings.timing.renew_ms / MS_PER_S
        if self._link is not None:
            if now - self._last_received > SILENT_RENEWALS * renew_s:
                self._link.close()
                self._on_close(self._link)
        elif self._next_dial is not None and now >= self._next_dial:
            self._dial()

    def ask_to_dial(self) -> None:
        """Asks the relay to dial this one, on the stream to it."""
        if self._link is not None:
            send_if_open(self._link, VersionReport({}))

    def send(self, sent: Any) -> None:
        """Sends a message on the stream to the relay, if it is open."""
        if self._link is not None:
            send_if_open(self._link, sent)

    def redial_now(self) -> None:
        """Dials without delay; called when the relay is heard of again.

        A dial that is under way may have begun while the relay was down, and
        may then only time out.
        """
        if self._link is None and self._dials < MAX_DIALS:
            self._dial()

    def stop(self) -> None:
        """Closes the stream and dials no more."""
        self._next_dial = None
        if self._link is not None:
            self._link.close()

    def _dial(self) -> None:
        self._next_dial = None
        self._dials += 1
        self._runtime.dialer.dial(
            self.peer,
            self._on_open,
            self._on_dial_failure,
        )

    def _on_open(self, link: Link) -> None:
        self._dials -= 1
        if self._link is not None:
            link.close()
            return
        now = self._runtime.clock.now()
        self.is_synced = False
        self._link = link
        self._last_received = now
        link.receiver = partial(self._on_message, link)
        link.on_close = partial(self._on_close, link)
        settings = self._settings
        subscribe = Subscribe(
            settings.instance,
            settings.failure_domain,
            0,
            b'',
            every_service=True,
        )
        send_if_open(link, subscribe)
        if not link.is_open:
            self._on_close(link)

    def _on_message(self, link: Link, received: Any) -> None:
        if link is not self._link:
            return
        self._last_received = self._runtime.clock.now()
        self._backoff.reset()
        self._receive(self.peer, received)

    def _on_close(self, link: Link) -> None:
        if link is not self._link:
            return
        self._link = None
        _log.info('relay_lost', extra={'relay': self.peer.instance})
        self._schedule_dial()

    def _on_dial_failure(self) -> None:
        self._dials -= 1
        if self._link is None and not self._dials:
            self._schedule_dial()

    def _schedule_dial(self) -> None:
        now = self._runtime.clock.now()
        self._next_dial = now + self._backoff.next_delay()
