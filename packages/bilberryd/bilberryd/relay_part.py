"""Adds the controller of a daemon that publishes accepted versions."""

from bilberry_spread.relay import RelayController

from bilberryd.parts import DaemonParts


def add_part(parts: DaemonParts) -> None:
    """Adds the controllers."""
    parts.controllers.append(
        RelayController.from_settings(
            parts.settings,
            parts.board,
            parts.listener,
            parts.build_spread_runtime(),
        ),
    )
