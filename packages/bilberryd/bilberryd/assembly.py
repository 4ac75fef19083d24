"""Builds a daemon from its settings, with the controllers of its roles.

Controllers are constructed only here, so that they do not depend on each
other.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from bilberry_claims.client import ClaimClient
from bilberry_claims.holder import HolderController
from bilberry_core.configuration_file import validate_content
from bilberry_core.disk import Disk, SystemDisk
from bilberry_core.settings import Role, Settings
from bilberry_operators.controller import (
    OperatorsController,
    OperatorsDependencies,
)
from bilberry_proxy.announcement import AnnouncementController
from bilberry_proxy.context import ProxyOptions
from bilberry_proxy.controller import ProxyController
from bilberry_replica.controller import ReplicaController, ReplicaOptions
from bilberry_rollouts.controller import RolloutController
from bilberry_spread.compiler import SnapshotController
from bilberry_spread.relay import RelayController
from bilberry_spread.subscriber import SubscriberController

from bilberryd.daemon import Controller, Daemon
from bilberryd.parts import DaemonParts

#: Roles that publish accepted versions to other daemons. A replica publishes
#: to relays.
_PUBLISHING_ROLES = frozenset((Role.RELAY, Role.REPLICA))


def _build_no_interfaces(_parts: DaemonParts) -> tuple[Controller, ...]:
    return ()


class Extensions(NamedTuple):
    """The features that a deployment adds to the daemons of its fleet.

    `proxy`
        Options of the proxy.
    `build_interfaces`
        Returns additional controllers, such as those that serve the
        deployment's own HTTP interfaces.
    """

    proxy: ProxyOptions = ProxyOptions()
    build_interfaces: Callable[[DaemonParts], Iterable[Controller]] = (
        _build_no_interfaces
    )


def build_daemon(
    settings: Settings,
    extensions: Extensions = Extensions(),
) -> Daemon:
    """Returns a daemon with these settings; it is not started yet."""
    parts = DaemonParts(settings)
    if Role.REPLICA in settings.roles:
        _add_replica(parts)
    if settings.roles & _PUBLISHING_ROLES:
        _add_relay(parts)
    else:
        _add_subscriber(parts)
    if Role.PROXY in settings.roles:
        _add_proxy(parts, extensions.proxy)
    if settings.listen.operators is not None:
        _add_operators(parts)
    parts.controllers += extensions.build_interfaces(parts)
    draining = () if parts.proxy is None else (parts.proxy,)
    return Daemon(
        settings.listen.streams,
        parts.board,
        parts.listener,
        tuple(parts.controllers),
        draining,
    )


def _add_replica(parts: DaemonParts) -> None:
    settings = parts.settings
    disk = SystemDisk.open(settings.data_folder, settings.fleet)
    parts.acceptor = ReplicaController.from_settings(
        settings,
        parts.board,
        parts.listener,
        parts.credentials,
        parts.clock,
        parts.random,
        disk,
        ReplicaOptions(validate=validate_content),
    )
    parts.controllers.append(parts.acceptor)
    parts.rollouts = RolloutController.from_settings(
        settings,
        parts.board,
        parts.acceptor.rollouts,
        parts.clock,
        parts.metrics,
    )
    parts.controllers.append(parts.rollouts)
    if settings.keeps_claims:
        _add_holder(parts, parts.acceptor, disk)


def _add_holder(
    parts: DaemonParts,
    acceptor: ReplicaController,
    disk: Disk,
) -> None:
    holder = HolderController.from_credentials(
        parts.credentials,
        parts.board,
        parts.listener,
        disk,
        parts.clock,
    )
    holder.end_handover = acceptor.end_handover
    parts.controllers.append(holder)


def _add_relay(parts: DaemonParts) -> None:
    parts.controllers.append(
        RelayController.from_settings(
            parts.settings,
            parts.board,
            parts.listener,
            parts.build_spread_runtime(),
        ),
    )


def _add_subscriber(parts: DaemonParts) -> None:
    parts.controllers.append(
        SubscriberController.from_settings(
            parts.settings,
            parts.board,
            parts.build_spread_runtime(),
        ),
    )


def _add_proxy(parts: DaemonParts, options: ProxyOptions) -> None:
    settings = parts.settings
    claims = None
    if settings.replicas and settings.keeps_claims:
        claims = ClaimClient.from_settings(
            settings,
            parts.board,
            parts.credentials,
            parts.clock,
            parts.random,
        )
    parts.proxy = ProxyController.from_settings(
        settings,
        parts.board,
        parts.listener,
        parts.credentials,
        parts.clock,
        parts.random,
        parts.metrics,
        claims,
        options,
    )
    parts.announcements = AnnouncementController.from_settings(
        settings,
        parts.board,
        parts.clock,
    )
    parts.controllers += [
        SnapshotController.from_settings(settings, parts.board),
        parts.announcements,
        parts.proxy,
    ]


def _add_operators(parts: DaemonParts) -> None:
    parts.controllers.append(
        OperatorsController(
            parts.settings,
            parts.board,
            OperatorsDependencies(
                acceptor=parts.acceptor,
                membership=parts.acceptor,
                exclusions=parts.proxy,
                rollouts=parts.acceptor.rollouts if parts.acceptor else None,
                evidence=parts.rollouts,
            ),
            parts.clock,
        ),
    )
