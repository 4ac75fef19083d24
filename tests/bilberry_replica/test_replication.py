"""Replication: what a leader sends, and what it does not send twice."""

from bilberry_core.acceptance import Change
from bilberry_core.messages.replica import (
    Append,
    AppendReply,
    LogEntry,
    LoggedChange,
    Member,
)
from bilberry_replica.consensus import receive
from bilberry_replica.log import Log
from bilberry_replica.member import build_first_membership
from bilberry_replica.node import EventTime, Node, Progress, Role, Send, Step
from bilberry_replica.replication import broadcast, propose
from testtools import TestCase

MEMBERS = tuple(
    Member(name, '127.0.0.1', 1, name, store, voter=True)
    for store, name in enumerate('abc', start=1)
)
NOW = EventTime(1.0, 0.5)
TERM = 1
ENTRY = LogEntry(TERM, LoggedChange(Change('one', 0, 'ann', 'why', b'x'), 0))


def make_leader() -> Node:
    """Returns a leader whose followers store its first entry."""
    membership = build_first_membership(list(MEMBERS))
    peers = {
        member.instance: Progress(
            member.store,
            match=1,
            next_index=2,
            probing=False,
        )
        for member in MEMBERS[1:]
    }
    return Node(
        'a',
        1,
        term=TERM,
        log=Log().put(1, (LogEntry(TERM, membership=membership),)),
        membership=membership,
        commit=1,
        durable=1,
        role=Role.LEADER,
        leader='a',
        peers=peers,
    )


def list_appends(step: Step, target: str) -> list[Append]:
    """Returns the messages that a step sends to one follower."""
    return [
        effect.message
        for effect in step.effects
        if isinstance(effect, Send) and effect.target == target
    ]


def answer(append: Append, success: bool, index: int) -> AppendReply:
    """Returns the reply of the follower `b`."""
    return AppendReply(TERM, 2, append.round, append.stamp, success, index)


class ReplicationTest(TestCase):
    """Resends of large configurations while a follower's disk is stalled."""

    def test_heartbeat_repeats_nothing_in_flight(self):
        """Entries that were sent once are not sent with every heartbeat."""
        step = propose(make_leader(), ENTRY, NOW)
        self.assertEqual((ENTRY,), list_appends(step, 'b')[0].entries)
        for _ in range(20):
            step = broadcast(step.node, NOW)
            (heartbeat,) = list_appends(step, 'b')
            self.assertEqual((), heartbeat.entries)
            self.assertEqual(2, heartbeat.previous_index)

    def test_lost_entries_are_resent_after_the_refusal(self):
        """A follower that lacks entries gets them without a heartbeat."""
        step = broadcast(propose(make_leader(), ENTRY, NOW).node, NOW)
        (heartbeat,) = list_appends(step, 'b')
        refusal = answer(heartbeat, success=False, index=2)
        step = receive(step.node, 'b', refusal, NOW)
        (repeated,) = list_appends(step, 'b')
        self.assertEqual((ENTRY,), repeated.entries)
        self.assertEqual(1, repeated.previous_index)

    def test_each_refusal_but_the_first_waits_for_a_heartbeat(self):
        """Refusals of heartbeats sent meanwhile do not repeat the entries."""
        step = broadcast(propose(make_leader(), ENTRY, NOW).node, NOW)
        (heartbeat,) = list_appends(step, 'b')
        refusal = answer(heartbeat, success=False, index=2)
        step = receive(step.node, 'b', refusal, NOW)
        step = receive(step.node, 'b', refusal, NOW)
        self.assertEqual([], list_appends(step, 'b'))
        (again,) = list_appends(broadcast(step.node, NOW), 'b')
        self.assertEqual((ENTRY,), again.entries)
