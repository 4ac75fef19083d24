"""Tests of the holders of shares in the replicated log."""

from bilberry_core.acceptance import Accepted, Conflict, NotAccepted
from bilberry_core.messages.replica import LoggedChange
from bilberry_core.quota import HolderStep, HolderTable, ShareHolder
from bilberry_replica.holder_register import (
    HOLDER_BASE,
    build_holder_change,
)
from bilberry_replica.register import Register
from msgpack import unpackb
from testtools import TestCase

FIRST = (ShareHolder('a', 16), ShareHolder('b', 16))


def apply(register: Register, number: int, *holders: ShareHolder):
    """Applies a step on top of the table with a number."""
    change = build_holder_change(HolderStep(number, holders))
    return register.apply(1, LoggedChange(change, 0))


class HolderRegisterTest(TestCase):
    """What committed steps build."""

    def test_steps_add_change_and_remove_holders(self):
        """A divisor of 0 removes one."""
        register = Register()
        self.assertEqual(Accepted(1), apply(register, 0, *FIRST))
        step = (ShareHolder('a', 0), ShareHolder('b', 32), ShareHolder('c', 32))
        self.assertEqual(Accepted(2), apply(register, 1, *step))
        self.assertEqual(HolderTable(2, step[1:]), register.holders)

    def test_step_of_a_former_leader_is_applied(self):
        """It names the number of a table that has changed since."""
        register = Register()
        apply(register, 0, *FIRST)
        late = apply(register, 0, ShareHolder('c', 16))
        self.assertEqual(Conflict(HOLDER_BASE, ()), late)
        self.assertEqual(FIRST, register.holders.holders)

    def test_unreadable_step_changes_holders(self):
        """It is refused."""
        register = Register()
        change = build_holder_change(HolderStep(0, ()))
        for content in (b'', b'\x93\x01', b'\x92\xa1x\x90'):
            refused = register.apply(
                1, LoggedChange(change._replace(content=content), 0)
            )
            self.assertIsInstance(refused, NotAccepted)
        self.assertEqual(HolderTable(), register.holders)

    def test_snapshot_loses_holders(self):
        """They are in it, and it is as before without any."""
        register = Register()
        self.assertEqual(3, len(unpackb(register.encode())))
        apply(register, 0, *FIRST)
        decoded = Register.decode(register.encode())
        self.assertEqual(register.holders, decoded.holders)
        self.assertEqual(register.rollouts, decoded.rollouts)
