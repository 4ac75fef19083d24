"""Sends updates to another relay that subscribes to this one."""

from typing import Any

from bilberry_core.board import Suspect
from bilberry_core.messages.allowance import (
    AllowanceAnswers,
    AllowanceOffer,
)
from bilberry_core.messages.spread import (
    DepartureUpdate,
    RolloutReportUpdate,
    SuspectUpdate,
    VersionReport,
)
from bilberry_core.rollout import RolloutReport
from bilberry_core.upstream_notice import UpstreamIdentity

from bilberry_spread.reports import build_report
from bilberry_spread.runtime import Link, send_if_open
from bilberry_spread.suspects import SuspectKey
from bilberry_spread.updates import EndpointUpdates


class MeshReceiver:
    """A subscribed relay, and the updates not sent to it yet.

    It gets endpoints, departures, suspects and version reports of this relay's
    proxies.
    """

    def __init__(self, link: Link, instance: str) -> None:
        """Starts with a full update pending."""
        self.link = link
        self.instance = instance
        self._needs_full_update = True
        self._changed: set[str] = set()
        self._departures: set[UpstreamIdentity] = set()
        self._suspects: set[SuspectKey] = set()
        self._reported: dict[str, int] = {}

    def mark_endpoint(self, instance: str) -> None:
        """Marks an endpoint that this relay owns as changed."""
        self._changed.add(instance)

    def mark_departures(self, upstreams: frozenset[UpstreamIdentity]) -> None:
        """Marks departures of upstreams as not sent yet."""
        self._departures |= upstreams

    def mark_suspects(self, keys: set[SuspectKey]) -> None:
        """Marks suspects as not sent yet."""
        self._suspects |= keys

    def flush(
        self,
        updates: EndpointUpdates,
        suspects: dict[SuspectKey, Suspect],
    ) -> None:
        """Sends pending updates if the stream is writable."""
        if not self.link.is_writable:
            return
        if self._departures:
            self._send(DepartureUpdate(tuple(sorted(self._departures))))
            self._departures = set()
        if self._needs_full_update:
            self._needs_full_update = False
            self._changed.clear()
            self._send(updates.build_all_for_relay())
        if self._changed:
            changed = self._changed
            self._changed = set()
            self._send(updates.build_for_relay(changed))
        found = self._suspects & suspects.keys()
        self._suspects = set()
        if found:
            self._send(SuspectUpdate(tuple(suspects[key] for key in found)))

    def report(self, versions: dict[str, int]) -> None:
        """Sends the versions that changed since the last report."""
        if not self.link.is_writable:
            return
        report = build_report(self._reported, versions)
        if report is not None:
            self._reported = dict(versions)
            self._send(report)

    def report_rollouts(self, report: RolloutReport) -> None:
        """Sends what proxies of this relay saw of open roll-outs."""
        if self.link.is_writable:
            self._send(RolloutReportUpdate(report))

    def send_allowances(self, sent: AllowanceOffer | AllowanceAnswers) -> None:
        """Sends what the granter of quotas says."""
        if self.link.is_writable:
            self._send(sent)

    def send_heartbeat(self) -> None:
        """Sends an empty report, so that the stream is not silent."""
        if self.link.is_writable:
            self._send(VersionReport({}))

    def _send(self, sent: Any) -> None:
        send_if_open(self.link, sent)
