"""Founds a fleet, or asks to be admitted to one.

A replica asks while it has no log, and while it has one and hears no leader: it
may have been removed while it was silent.
"""

from asyncio import sleep
from logging import getLogger

from bilberry_core.messages.replica import Member, Probe, ProbeReply
from bilberry_core.settings import FoundingSettings

from bilberry_replica.driver import Driver
from bilberry_replica.election import has_live_leader
from bilberry_replica.founding import decide_founding, is_empty
from bilberry_replica.leading import (
    admit_member,
    found_fleet,
    readmit_member,
)
from bilberry_replica.node import EventTime, Node

_log = getLogger(__name__)


class Joining:
    """Probes of other replicas until this one has a log and hears a leader."""

    def __init__(
        self,
        driver: Driver,
        own_member: Member,
        expected: tuple[str, ...],
        founding: FoundingSettings = FoundingSettings(),
    ) -> None:
        """Expects replies from the replicas named in `expected`."""
        self._founding = founding
        self._driver = driver
        self._own_member = own_member
        self._expected = expected
        self._replies: dict[str, ProbeReply] = {}
        self._is_asking = False

    async def probe_forever(self) -> None:
        """Calls `probe` four times per election timeout."""
        while True:
            self.probe()
            await sleep(self._driver.replica.node.timing.election_s / 4)

    def probe(self) -> None:
        """Probes the other replicas while this one has to be admitted."""
        node = self._driver.replica.node
        must_ask = must_ask_to_join(node, self._driver.get_event_time())
        self._note_asking(must_ask and bool(node.log.last_index))
        if not must_ask:
            return
        self._try_founding()
        probe = Probe(self._own_member, bool(node.log.last_index))
        members = {member.instance for member in node.membership.members}
        for instance in sorted(members.union(self._expected)):
            if instance != node.instance:
                self._driver.send(instance, probe)

    def receive_probe(self, sender: str, probe: Probe) -> None:
        """Replies to a probe.

        The leader admits the sender; other replicas forward the probe to it.
        """
        node = self._driver.replica.node
        reply = ProbeReply(self._own_member, is_empty(node))
        if sender == probe.member.instance:
            self._driver.send(sender, reply)
        if node.is_leader:
            self._driver.run_event(
                readmit_member if probe.has_log else admit_member,
                self._driver.replica,
                probe.member,
            )
        elif node.leader and sender == probe.member.instance:
            self._driver.send(node.leader, probe)

    def receive_reply(self, sender: str, reply: ProbeReply) -> None:
        """Records a reply; founds the fleet if all replicas have no log."""
        self._replies[sender] = reply
        self._try_founding()

    def _note_asking(self, is_asking: bool) -> None:
        if is_asking and not self._is_asking:
            _log.info('readmission_requested')
        self._is_asking = is_asking

    def _try_founding(self) -> None:
        replica = self._driver.replica
        if not self._founding.allowed or not is_empty(replica.node):
            return
        membership = decide_founding(
            self._own_member,
            self._expected,
            self._replies,
            self._founding.min_quorum,
        )
        if membership is not None:
            _log.info(
                'fleet_founded',
                extra={
                    'members': [
                        member.instance for member in membership.members
                    ]
                },
            )
            self._driver.run_event(found_fleet, replica, membership)


def must_ask_to_join(node: Node, event_time: EventTime) -> bool:
    """Returns whether a replica may not be a member of its fleet."""
    if not node.log.last_index:
        return True
    return not has_live_leader(node, event_time)
