"""Keeps the receivers attached to a relay: proxies and other relays.

Proxies are admitted at a bounded rate, relays and replicas always.
"""

from functools import partial
from logging import getLogger
from typing import Any, NamedTuple

from bilberry_core.clock import MS_PER_S
from bilberry_core.endpoint import Endpoint
from bilberry_core.messages.allowance import AllowanceReports
from bilberry_core.messages.spread import Busy, Subscribe
from bilberry_core.settings import Settings

from bilberry_spread.admission import JoinAdmission
from bilberry_spread.content import Content
from bilberry_spread.directory import RelayDirectory
from bilberry_spread.mesh_receiver import MeshReceiver
from bilberry_spread.receiver import Receiver, StandbyPace
from bilberry_spread.report_cells import ReportCells
from bilberry_spread.rollout_reports import RolloutReports
from bilberry_spread.runtime import Link, Runtime, send_if_open
from bilberry_spread.session import Reports, Session, SessionListener
from bilberry_spread.suspects import SuspectKey

_log = getLogger(__name__)

#: Silence after which a receiver is dropped, in lease durations.
SILENT_LEASES = 3


class Attached(NamedTuple):
    """The sessions of receivers, and the subscribed relays, by instance."""

    sessions: dict[str, Session]
    relays: dict[str, MeshReceiver]


class ReceiverSet:
    """The attached receivers, by instance."""

    def __init__(
        self,
        settings: Settings,
        directory: RelayDirectory,
        listener: SessionListener,
        runtime: Runtime,
        allowance_reports: ReportCells,
    ) -> None:
        """Reports joins and messages of receivers to `listener`."""
        self._settings = settings
        self._directory = directory
        self._listener = listener
        self._runtime = runtime
        self._pace = StandbyPace.from_timing(settings.timing)
        self.rollout_reports = RolloutReports()
        self._reports = Reports(self.rollout_reports, allowance_reports)
        self._admission = JoinAdmission(runtime.clock.now())
        self._sessions: dict[str, Session] = {}
        self._relays: dict[str, MeshReceiver] = {}
        self._peers = {
            peer.instance for peer in (*settings.relays, *settings.replicas)
        }

    @property
    def versions(self) -> dict[str, int]:
        """The running versions that receivers reported, by instance."""
        versions: dict[str, int] = {}
        for session in self._sessions.values():
            versions.update(session.versions)
        return versions

    @property
    def blocked(self) -> int:
        """Receivers whose stream takes no more bytes now."""
        return sum(
            not session.receiver.link.is_writable
            for session in self._sessions.values()
        )

    @property
    def relays(self) -> tuple[MeshReceiver, ...]:
        """The relays that subscribe to the records that this one owns."""
        return tuple(self._relays.values())

    @property
    def attached(self) -> Attached:
        """All receivers, for messages to single ones."""
        return Attached(self._sessions, self._relays)

    def accept(self, link: Link) -> None:
        """Accepts a stream, whose first message must be a `Subscribe`."""
        link.receiver = partial(self._join, link)

    def mark_endpoint(self, endpoint: Endpoint, *, is_local: bool) -> None:
        """Marks an endpoint as changed, for the receivers that want it.

        With `is_local` it is also sent to the subscribed relays.
        """
        for session in self._sessions.values():
            session.receiver.mark_endpoint(
                endpoint.service,
                endpoint.instance,
            )
        if is_local:
            for relay in self._relays.values():
                relay.mark_endpoint(endpoint.instance)

    def mark_suspects(self, keys: set[SuspectKey], *, is_local: bool) -> None:
        """Marks suspects as not sent yet; with `is_local` also to relays."""
        for session in self._sessions.values():
            session.receiver.mark_suspects(keys)
        if is_local:
            for relay in self._relays.values():
                relay.mark_suspects(keys)

    def mark_complete(self) -> None:
        """Schedules the missing complete updates of services."""
        for session in self._sessions.values():
            session.receiver.mark_complete()

    def flush(self, content: Content) -> None:
        """Sends pending updates to every receiver."""
        content.updates.clear()
        now = self._runtime.clock.now()
        for session in tuple(self._sessions.values()):
            session.receiver.flush(content, now)
        for relay in self.relays:
            relay.flush(content.updates, content.suspects)

    def drop_silent(self) -> None:
        """Closes streams that have been silent for `SILENT_LEASES` leases."""
        silence_s = SILENT_LEASES * self._settings.timing.lease_ms / MS_PER_S
        oldest = self._runtime.clock.now() - silence_s
        for session in tuple(self._sessions.values()):
            if session.heard < oldest:
                session.receiver.link.close()

    def stop(self) -> None:
        """Closes every stream."""
        for session in tuple(self._sessions.values()):
            session.receiver.link.close()
        for relay in self.relays:
            relay.link.close()

    def _join(self, link: Link, received: Any) -> None:
        if not isinstance(received, Subscribe):
            link.close()
        elif received.every_service:
            self._admit_relay(link, received)
        else:
            self._admit_receiver(link, received)

    def _admit_relay(self, link: Link, subscribe: Subscribe) -> None:
        before = self._relays.get(subscribe.instance)
        relay = MeshReceiver(link, subscribe.instance)
        relay.mark_departures(
            self._directory.departures.find_kept(self._runtime.clock.now()),
        )
        self._relays[subscribe.instance] = relay
        link.receiver = partial(self._hear_relay, relay)
        link.on_close = partial(self._remove_relay, relay)
        if before is not None:
            before.link.close()
        self._listener.on_joined(relay)

    def _admit_receiver(self, link: Link, subscribe: Subscribe) -> None:
        instance = subscribe.instance
        if instance not in self._peers:
            wait_ms = self._admission.admit(self._runtime.clock.now())
            if wait_ms:
                self._runtime.metrics.incr('spread.joins_refused')
                _refuse(link, instance, wait_ms)
                return
        before = self._sessions.get(instance)
        session = Session(
            Receiver(link, subscribe, self._pace),
            self._directory,
            self._listener,
            self._runtime,
            self._reports,
        )
        self._sessions[instance] = session
        link.receiver = session.receive
        link.on_close = partial(self._remove_session, session)
        if before is not None:
            before.receiver.link.close()
        _log.info(
            'receiver_joined',
            extra={'receiver': instance, 'version': subscribe.version},
        )
        self._listener.on_joined(session.receiver)

    def _remove_session(self, session: Session) -> None:
        instance = session.receiver.instance
        if self._sessions.get(instance) is session:
            self._sessions.pop(instance)
            self._listener.on_versions_changed()

    def _remove_relay(self, relay: MeshReceiver) -> None:
        if self._relays.get(relay.instance) is relay:
            self._relays.pop(relay.instance)
            self._listener.on_relay_left(relay.instance)

    def _hear_relay(self, relay: MeshReceiver, received: Any) -> None:
        if isinstance(received, AllowanceReports):
            self._reports.allowances.put_relayed(relay.instance, received)
        else:
            self._listener.on_relay_heard(relay.instance)


def _refuse(link: Link, instance: str, wait_ms: int) -> None:
    _log.info(
        'join_refused',
        extra={'receiver': instance, 'retry_after_ms': wait_ms},
    )
    send_if_open(link, Busy(wait_ms))
    link.close()
