"""Passes reports and answers between proxies and the granter of quotas.

The granter is on the leader of the replicas. A relay learns from its offers
where it is; it collects the reports of its proxies for a moment and passes them
on together.
"""

from typing import Any

from bilberry_core.board import (
    AttachedReport,
    Board,
    RelayedAnswers,
    RelayedReports,
)
from bilberry_core.messages.allowance import (
    AllowanceAnswer,
    AllowanceAnswers,
    AllowanceOffer,
    AllowanceReport,
    AllowanceReports,
)
from bilberry_core.messages.registry import encode_message

from bilberry_spread.mesh_set import MeshSet
from bilberry_spread.receivers import Attached
from bilberry_spread.runtime import Scheduler, send_if_open

#: Time for which reports are collected, in seconds.
COLLECT_S = 0.003


class AllowanceRoutes:
    """The way to the granter of one relay and the proxies attached to it."""

    def __init__(
        self,
        instance: str,
        board: Board,
        scheduler: Scheduler,
        mesh: MeshSet,
        attached: Attached,
    ) -> None:
        """Starts without a granter."""
        self._instance = instance
        self._board = board
        self._scheduler = scheduler
        self._mesh = mesh
        self._attached = attached
        self._granter = ''
        self._newest = AllowanceOffer(0, 0)
        self._reports: list[AllowanceReport] = []
        self._senders: dict[str, str] = {}

    def start(self) -> None:
        """Starts to watch the blackboard."""
        board = self._board
        board.granter_offer.watch(self._on_own_offer)
        board.granter_answers.watch(self._on_own_answers)
        board.allowance_report.watch(self._add_report)
        board.attached_report.watch(self._add_attached)

    def receive(self, peer: str, received: Any) -> None:
        """Handles what the granter at a peer says; ignores other messages."""
        if isinstance(received, AllowanceOffer):
            self._receive_offer(peer, received)
        elif isinstance(received, AllowanceAnswers):
            self._pass_on(received.answers)

    def _on_own_offer(self, offer: AllowanceOffer | None) -> None:
        if offer is None:
            return
        for relay in tuple(self._attached.relays.values()):
            relay.send_allowances(offer)
        self._receive_offer(self._instance, offer)

    def _receive_offer(self, granter: str, offer: AllowanceOffer) -> None:
        if offer <= self._newest:
            return
        self._newest = offer
        self._granter = granter
        encoded = encode_message(offer)
        for session in tuple(self._attached.sessions.values()):
            session.receiver.send_offer(encoded)
        self._board.allowance_offer.put(offer)

    def _on_own_answers(self, relayed: RelayedAnswers | None) -> None:
        if relayed is None:
            return
        if relayed.relay == self._instance:
            self._pass_on(relayed.answers)
            return
        relay = self._attached.relays.get(relayed.relay)
        if relay is not None:
            relay.send_allowances(AllowanceAnswers(relayed.answers))

    def _pass_on(self, answers: tuple[AllowanceAnswer, ...]) -> None:
        for answer in answers:
            sender = self._senders.get(answer.instance, self._instance)
            session = self._attached.sessions.get(sender)
            if sender == self._instance:
                self._board.allowance_answer.put(answer)
            elif session is not None:
                send_if_open(session.receiver.link, answer)

    def _add_attached(self, attached: AttachedReport | None) -> None:
        if attached is None:
            return
        # The answer goes back to who sent the newest report, if that was not
        # the daemon itself.
        sender = attached.sender or self._instance
        self._senders[attached.report.instance] = sender
        self._add_report(attached.report)

    def _add_report(self, report: AllowanceReport | None) -> None:
        if report is None:
            return
        if not self._reports:
            self._scheduler.call_later(COLLECT_S, self._send_reports)
        self._reports.append(report)

    def _send_reports(self) -> None:
        reports = tuple(self._reports)
        self._reports = []
        if self._granter == self._instance:
            self._board.relayed_reports.put(
                RelayedReports(self._instance, reports)
            )
            return
        granter = self._mesh.find(self._granter)
        if granter is not None:
            granter.send(AllowanceReports(reports))
