"""Tests of the text that commands print."""

from bilberry_core.board import Board
from bilberry_core.quota import QuotaStatus, QuotaUse
from bilberry_core.settings import ListenSettings, Role, Settings
from bilberry_operators.status import build_status
from bilberryctl.text import render_status
from testtools import TestCase

SETTINGS = Settings(
    'fleet',
    'a-1',
    'a',
    'region',
    frozenset((Role.REPLICA,)),
    ListenSettings(None),
    b'secret',
)


class StatusTextTest(TestCase):
    """The state of a fleet, as one daemon reports it."""

    def show(self, quotas: QuotaStatus | None) -> str:
        """Returns the text of a replica with these quotas."""
        board = Board()
        board.quotas.put(quotas)
        return render_status(build_status(SETTINGS, board, {}, 0))

    def test_leader_shows_what_organisations_use(self):
        """Each with its counts."""
        uses = (QuotaUse('acme', 120, 3, 7, 12), QuotaUse('other'))
        shown = self.show(QuotaStatus(4, 0.975, 62, uses))
        self.assertIn('quotas     term 4, 98% lent by 62 daemons', shown)
        self.assertIn(
            'acme  granted 120, returned 3, refused 7, held 12', shown
        )
        self.assertIn('other  granted 0', shown)

    def test_daemon_that_grants_nothing_shows_no_quotas(self):
        """Quotas are on the leader."""
        self.assertNotIn('quotas', self.show(None))
