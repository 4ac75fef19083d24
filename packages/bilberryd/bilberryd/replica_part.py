"""Adds the controllers of the role replica."""

from bilberry_claims.holder import HolderController
from bilberry_core.clock import BootClock
from bilberry_core.configuration_file import validate_content
from bilberry_core.disk import Disk, SystemDisk
from bilberry_quotas.granter_controller import GranterController
from bilberry_replica.controller import ReplicaController, ReplicaOptions
from bilberry_replica.state_keeper import StateKeeper
from bilberry_rollouts.controller import RolloutController

from bilberryd.parts import DaemonParts


def add_part(parts: DaemonParts) -> None:
    """Adds the controllers."""
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
        ReplicaOptions(validate=validate_content, metrics=parts.metrics),
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
    parts.controllers.append(
        GranterController.from_settings(
            settings,
            parts.board,
            parts.acceptor.holders,
            BootClock(),
            parts.metrics,
        ),
    )
    parts.controllers.append(
        StateKeeper.from_board(parts.board, parts.acceptor, parts.metrics),
    )
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
    holder.metrics = parts.metrics
    parts.controllers.append(holder)
