"""Puts what receivers report to the granter of quotas on the blackboard."""

from typing import NamedTuple

from bilberry_core.board import AttachedReport, Board, RelayedReports
from bilberry_core.messages.allowance import (
    AllowanceReport,
    AllowanceReports,
)


class ReportCells(NamedTuple):
    """The cells for reports of daemons that are attached to a relay."""

    board: Board

    def put(self, sender: str, report: AllowanceReport) -> None:
        """Publishes a report that an attached daemon has sent."""
        self.board.attached_report.put(AttachedReport(sender, report))

    def put_relayed(self, relay: str, relayed: AllowanceReports) -> None:
        """Publishes the reports that a relay passes to this replica."""
        reports = RelayedReports(relay, relayed.reports)
        self.board.relayed_reports.put(reports)
