"""Publishes the state of the replica on the blackboard."""

from logging import getLogger

from bilberry_core.acceptance import HistoryEntry
from bilberry_core.board import Beacon, Board, ReplicaStatus
from bilberry_core.configuration import AcceptedVersion, decode_configuration
from bilberry_core.messages.replica import Membership

from bilberry_replica.member import build_epoch, list_voters
from bilberry_replica.removal import measure_tolerance
from bilberry_replica.replica import Replica

_log = getLogger(__name__)


class Publisher:
    """Publisher of the cells that a replica writes.

    These are `accepted`, `rollouts`, `holders`, `kept_states`, `replica`,
    `beacon` and `claim_epoch`.

    Only committed versions are published, after the journal has stored that
    they are committed, and never an older one after a newer one.
    """

    def __init__(self, replica: Replica, board: Board) -> None:
        """Publishes the state of one replica."""
        self._replica = replica
        self._board = board
        self._published_membership = Membership()
        replica.on_beacon = self._publish_beacon

    def publish(self) -> None:
        """Publishes everything that has changed."""
        self._publish_accepted()
        self._publish_rollouts()
        self._publish_holders()
        self._publish_states()
        self._publish_status()
        self._publish_epoch()

    def _publish_accepted(self) -> None:
        newest = self._replica.durable_newest
        published = self._board.accepted.value
        if newest is None or (
            published and published.version >= newest.version
        ):
            return
        _log.info(
            'version_accepted',
            extra={
                'version': newest.version,
                'term': newest.term,
                'change_id': newest.change_id,
                'author': newest.author,
            },
        )
        self._board.accepted.put(build_version(newest))

    def _publish_rollouts(self) -> None:
        table = self._replica.durable_tables.rollouts
        if table.number > self._board.rollouts.value.number:
            self._board.rollouts.put(table)

    def _publish_holders(self) -> None:
        table = self._replica.durable_tables.holders
        if table.number > self._board.holders.value.number:
            self._board.holders.put(table)

    def _publish_states(self) -> None:
        table = self._replica.durable_tables.states
        if table.number > self._board.kept_states.value.number:
            self._board.kept_states.put(table)

    def _publish_status(self) -> None:
        node = self._replica.node
        status = ReplicaStatus(
            node.role,
            node.term,
            node.leader,
            node.commit,
            tuple(member.instance for member in node.membership.members),
            node.is_stalled,
            node.is_leader and node.term == self._replica.durable_commit_term,
            len(list_voters(node.membership)),
            *measure_tolerance(node),
        )
        if status != self._board.replica.value:
            self._board.replica.put(status)

    def _publish_epoch(self) -> None:
        committed_membership = self._replica.committed_membership
        if (
            committed_membership is self._published_membership
            or not committed_membership.epoch
        ):
            return
        self._published_membership = committed_membership
        epoch = build_epoch(committed_membership)
        if epoch != self._board.claim_epoch.value:
            _log.info(
                'claim_holders_agreed',
                extra={
                    'epoch': epoch.epoch,
                    'holders': [holder.instance for holder in epoch.holders],
                },
            )
            self._board.claim_epoch.put(epoch)

    def _publish_beacon(self, beacon: Beacon) -> None:
        published = self._board.beacon.value
        if published is None or beacon > published:
            self._board.beacon.put(beacon)


def build_version(entry: HistoryEntry) -> AcceptedVersion:
    """Returns the accepted version of a history entry."""
    return AcceptedVersion(
        entry.version,
        entry.term,
        entry.digest,
        decode_configuration(entry.content),
    )
