"""Tests orders and steps of roll-outs in the replicated register."""

from bilberry_core.acceptance import Accepted, Conflict, NotAccepted
from bilberry_core.messages.replica import LoggedChange
from bilberry_core.rollout import (
    RolloutChange,
    RolloutOrder,
    RolloutState,
    RolloutStep,
)
from bilberry_replica.register import Register
from bilberry_replica.rollout_register import (
    RESEND_MS,
    ROLLOUT_BASE,
    build_rollout_change,
)
from msgpack import packb, unpackb
from testtools import TestCase

ORDER = RolloutOrder('callouts', 'v2', 12_000)
STARTED_MS = 1_000_000


class RolloutRegisterTest(TestCase):
    """The table that orders and steps build."""

    def setUp(self) -> None:
        """Starts with an empty register."""
        super().setUp()
        self.register = Register()

    def apply(self, change: RolloutChange, accepted_ms: int = STARTED_MS):
        """Applies an order or a step."""
        logged = build_rollout_change('c', 'operator', change)
        return self.register.apply(1, LoggedChange(logged, accepted_ms))

    def test_order_starts_without_a_share(self):
        """The old version alone gets requests until a step says otherwise."""
        self.assertEqual(Accepted(1), self.apply(ORDER))
        rollout = self.register.rollouts.find('callouts')
        self.assertEqual(
            (RolloutState.RUNNING, 0), (rollout.state, rollout.share_ppm)
        )
        self.assertEqual(STARTED_MS, rollout.started_ms)

    def test_resent_order_is_accepted_again(self):
        """Also shortly after its end, when the acknowledgement was lost."""
        self.apply(ORDER)
        self.assertEqual(Accepted(1, resent=True), self.apply(ORDER))
        self.apply(RolloutStep('callouts', 1, RolloutState.ROLLED_BACK))
        again = self.apply(ORDER, STARTED_MS + RESEND_MS - 1)
        self.assertEqual(Accepted(2, resent=True), again)
        state = self.register.rollouts.find('callouts').state
        self.assertIs(RolloutState.ROLLED_BACK, state)

    def test_same_order_later_starts_anew(self):
        """An operator may try a version again."""
        self.apply(ORDER)
        self.apply(RolloutStep('callouts', 1, RolloutState.ROLLED_BACK))
        again = self.apply(ORDER, STARTED_MS + RESEND_MS)
        self.assertEqual(Accepted(3), again)

    def test_second_order_while_one_is_open_is_a_conflict(self):
        """Another service is not concerned."""
        self.apply(ORDER)
        other = self.apply(ORDER._replace(version='v3'))
        self.assertEqual(Conflict(ROLLOUT_BASE, ()), other)
        self.assertIsInstance(
            self.apply(ORDER._replace(service='bookings')), Accepted
        )

    def test_step_of_an_outdated_leader_changes_nothing(self):
        """It decided on a state that another step has replaced."""
        self.apply(ORDER)
        self.apply(RolloutStep('callouts', 1, RolloutState.ROLLED_BACK))
        for number in (1, 2):
            late = RolloutStep('callouts', number, RolloutState.COMPLETED)
            self.assertEqual(Conflict(ROLLOUT_BASE, ()), self.apply(late))

    def test_rollouts_outlive_a_snapshot(self):
        """With every field."""
        self.apply(ORDER)
        self.apply(RolloutStep('callouts', 1, RolloutState.RUNNING, 20_000, 3))
        copied = Register.decode(self.register.encode())
        self.assertEqual(self.register.rollouts, copied.rollouts)

    def test_register_without_rollouts_is_encoded_as_before(self):
        """A replica of an earlier release decodes it."""
        self.assertEqual(3, len(unpackb(self.register.encode())))
        self.apply(ORDER)
        self.assertEqual(4, len(unpackb(self.register.encode())))

    def test_damaged_order_is_refused(self):
        """It changes nothing."""
        change = build_rollout_change('c', 'operator', ORDER)
        for content in (b'', b'\xc1', packb((7, 'a')), packb((0, 'a'))):
            damaged = LoggedChange(change._replace(content=content), 1)
            self.assertIsInstance(self.register.apply(1, damaged), NotAccepted)
        self.assertEqual(0, self.register.rollouts.number)
