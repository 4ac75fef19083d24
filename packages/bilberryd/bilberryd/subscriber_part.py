"""Adds the controller of a daemon that only receives accepted versions."""

from bilberry_spread.subscriber import SubscriberController

from bilberryd.parts import DaemonParts


def add_part(parts: DaemonParts) -> None:
    """Adds the controllers."""
    parts.controllers.append(
        SubscriberController.from_settings(
            parts.settings,
            parts.board,
            parts.build_spread_runtime(),
        ),
    )
