"""Puts what receivers report to the granter of quotas on the blackboard."""

from typing import NamedTuple

from bilberry_core.board import Board, RelayedReports
from bilberry_core.messages.allowance import (
    AllowanceReport,
    AllowanceReports,
)


class ReportCells(NamedTuple):
    """The cells for reports of daemons that are attached to a relay."""

    board: Board

    def put(self, report: AllowanceReport) -> None:
        """Publishes the report of an attached daemon."""
        self.board.attached_report.put(report)

    def put_relayed(self, relay: str, relayed: AllowanceReports) -> None:
        """Publishes the reports that a relay passes to this replica."""
        reports = RelayedReports(relay, relayed.reports)
        self.board.relayed_reports.put(reports)
