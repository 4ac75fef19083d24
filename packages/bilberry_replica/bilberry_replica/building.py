"""Builds the parts of a replica from the settings of its daemon."""

from typing import NamedTuple

from bilberry_core.clock import MS_PER_S, Clock, RandomSource
from bilberry_core.configuration_file import validate_content
from bilberry_core.disk import Disk
from bilberry_core.endpoint import Address
from bilberry_core.journal import Journal
from bilberry_core.messages.replica import Member, Membership
from bilberry_core.metric import Metrics, NullMetrics
from bilberry_core.settings import Settings

from bilberry_replica.driver import Driver
from bilberry_replica.leading import Validate
from bilberry_replica.limits import Limits
from bilberry_replica.links import Links
from bilberry_replica.node import EventTime, Node, Timing
from bilberry_replica.replica import Replica

#: Name of the journal file in the data folder.
JOURNAL_NAME = 'replica.journal'
_MAX_STORE_ID = 1 << 62


class ReplicaOptions(NamedTuple):
    """Options of a replica that are not part of its settings.

    `limits`
        Bounds of log and queue.

    `validate`
        Returns the errors found in the content of a change.

    `metrics`
        Counts what is found in the journal.
    """

    limits: Limits = Limits()
    validate: Validate = validate_content
    metrics: Metrics = NullMetrics()


def open_driver(
    settings: Settings,
    disk: Disk,
    clock: Clock,
    random: RandomSource,
    links: Links,
    options: ReplicaOptions,
) -> Driver:
    """Opens the replica stored on a disk.

    Raises `JournalError` if the disk is damaged.
    """
    opened = Journal.open(disk, JOURNAL_NAME, options.metrics)
    replica = Replica.open(
        opened,
        _build_node(settings, random.randrange(_MAX_STORE_ID) + 1),
        EventTime(clock.now(), random.random()),
        options.limits,
    )
    return Driver(replica, opened[0], clock, random, links.send)


def build_own_member(settings: Settings, store: int) -> Member:
    """Returns the membership record of this replica."""
    addresses = {peer.instance: peer.address for peer in settings.replicas}
    address = addresses.get(settings.instance, settings.listen.streams)
    return Member(
        settings.instance,
        address.host,
        address.port,
        settings.failure_domain,
        store,
    )


def list_other_replicas(settings: Settings) -> tuple[str, ...]:
    """Returns the names of the other replicas in the settings."""
    return tuple(
        peer.instance
        for peer in settings.replicas
        if peer.instance != settings.instance
    )


def list_peer_addresses(
    settings: Settings,
    membership: Membership,
) -> dict[str, Address]:
    """Returns the addresses at which to dial the other replicas.

    Addresses in the settings take precedence over those in the membership.
    """
    addresses = {
        member.instance: Address(member.host, member.port)
        for member in membership.members
    }
    for peer in settings.replicas:
        addresses[peer.instance] = peer.address
    addresses.pop(settings.instance, None)
    return addresses


def _build_node(settings: Settings, store: int) -> Node:
    timing = Timing(
        settings.timing.heartbeat_ms / MS_PER_S,
        settings.timing.election_ms / MS_PER_S,
    )
    return Node(settings.instance, store, timing)
