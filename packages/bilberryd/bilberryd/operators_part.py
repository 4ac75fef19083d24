"""Adds the controller that serves operators."""

from bilberry_operators.controller import (
    OperatorsController,
    OperatorsDependencies,
)

from bilberryd.parts import DaemonParts


def add_part(parts: DaemonParts) -> None:
    """Adds the controllers."""
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
