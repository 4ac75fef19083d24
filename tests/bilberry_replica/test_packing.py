"""Changes that are packed as their difference from their base version."""

from bilberry_core.acceptance import (
    Accepted,
    Change,
    Conflict,
    HistoryEntry,
    NotAccepted,
)
from bilberry_core.configuration import compute_content_digest
from bilberry_core.messages.replica import LoggedChange
from bilberry_replica.error import ConsensusError
from bilberry_replica.leading import propose_change
from bilberry_replica.packing import (
    get_content_digest,
    pack_change,
    unpack_change,
)
from bilberry_replica.register import Register
from testtools import TestCase

from tests.bilberry_replica.schedule import Schedule

#: A configuration of 350 routes is about as long, in bytes.
LONG_BYTES = 80_000


def accept_any(_content: bytes) -> list[str]:
    """Finds no error in any content."""
    return []


def build_content(route: int = -1) -> bytes:
    """Returns a long text; `route` is the line that differs, if any."""
    lines = [
        b'%d: host-%x.example, 1200 ms\n' % (number, number * 7919 + 13)
        for number in range(LONG_BYTES // 32)
    ]
    if route >= 0:
        lines[route] = b'this route is another one\n'
    return b''.join(lines)


def build_change(base: int, route: int = -1, source: bytes = b'') -> Change:
    """Returns a change of one route."""
    content = build_content(route)
    change_id = f'{base}-{route}'
    return Change(change_id, base, 'ann', 'why', content, source=source)


def fill_register(versions: int) -> Register:
    """Returns a register with `versions` versions, packed if possible."""
    register = Register()
    for base in range(versions):
        change = build_change(base, base, b'source %d' % base)
        register.apply(1, pack_change(change, register.newest))
    return register


class PackingTest(TestCase):
    """Many small changes to a large configuration."""

    def test_small_change_is_small(self):
        """A change of one route takes less than a hundredth of the content."""
        newest = fill_register(1).newest
        change = build_change(1, 5, build_content(5))
        logged = pack_change(change, newest)
        self.assertLess(logged.size, LONG_BYTES / 100 + len(change.source))
        self.assertEqual(change, unpack_change(logged, newest))
        self.assertEqual(
            compute_content_digest(change.content),
            get_content_digest(logged),
        )

    def test_change_without_its_base_is_not_packed(self):
        """A change is not packed unless its base is the newest version."""
        newest = fill_register(2).newest
        for base in (None, newest):
            logged = pack_change(build_change(1), base)
            self.assertIsNone(logged.difference)

    def test_register_unpacks_what_it_accepts(self):
        """Content and source are as they were submitted."""
        register = fill_register(3)
        self.assertEqual(3, register.version)
        self.assertEqual(build_content(2), register.newest.content)
        self.assertEqual(b'source 2', register.newest.source)
        older = register.read_history(3)[1:]
        self.assertEqual([b'', b''], [entry.source for entry in older])

    def test_loser_of_a_race_needs_no_base(self):
        """Two packed changes with one base: the second is a conflict."""
        register = fill_register(1)
        newest = register.newest
        first, second = (
            pack_change(build_change(1, route), newest) for route in (3, 4)
        )
        self.assertEqual(Accepted(2), register.apply(1, first))
        self.assertIsInstance(register.apply(1, second), Conflict)
        again = register.apply(1, LoggedChange(build_change(1, 3), 0))
        self.assertEqual(Accepted(2, resent=True), again)

    def test_other_base_is_noticed(self):
        """A replica whose base differs must stop."""
        newest = fill_register(1).newest
        logged = pack_change(build_change(1, 9), newest)
        other = newest._replace(content=newest.content[:-500])
        self._assert_unusable(logged, other)
        self._assert_unusable(logged, newest._replace(version=2))
        self._assert_unusable(logged, None)

    def test_damage_is_noticed(self):
        """Bytes that can't be unpacked raise a consensus error."""
        newest = fill_register(1).newest
        logged = pack_change(build_change(1, 9), newest)
        damaged = logged.difference._replace(content=b'no difference')
        self._assert_unusable(logged._replace(difference=damaged), newest)

    def test_leader_refuses_what_it_cannot_unpack(self):
        """A damaged change from a follower must not stop the leader."""
        schedule = Schedule(0, 'abc')
        (leader,) = (
            host
            for host in schedule.list_running()
            if host.replica.node.is_leader
        )
        schedule.do(
            leader, propose_change, LoggedChange(build_change(0), 0), accept_any
        )
        schedule.settle()
        newest = leader.replica.machine.register.newest
        logged = pack_change(build_change(1, 9), newest)
        damaged = logged.difference._replace(content=b'no difference')
        decision = schedule.do(
            leader,
            propose_change,
            logged._replace(difference=damaged),
            accept_any,
        )
        self.assertIsInstance(decision, NotAccepted)
        self.assertTrue(leader.replica.node.is_leader)

    def _assert_unusable(
        self,
        logged: LoggedChange,
        base: HistoryEntry | None,
    ) -> None:
        self.assertRaises(ConsensusError, unpack_change, logged, base)
