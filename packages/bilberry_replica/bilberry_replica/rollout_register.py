"""The roll-outs that committed orders and steps build on every replica.

Both are logged as changes without a base version: a replica of a release that
knows no roll-outs refuses them as outdated, and goes on.
"""

from bilberry_core.acceptance import (
    Accepted,
    Change,
    Conflict,
    NotAccepted,
)
from bilberry_core.error import ConfigurationError
from bilberry_core.rollout import (
    Rollout,
    RolloutChange,
    RolloutOrder,
    RolloutStep,
    RolloutTable,
    decode_rollout_change,
    encode_rollout_change,
)

#: In place of the base version of a change that concerns a roll-out.
ROLLOUT_BASE = -1
#: Time after an order in which the same order counts as a resend of it, in
#: milliseconds.
RESEND_MS = 10_000

RolloutDecision = Accepted | Conflict | NotAccepted


def build_rollout_change(
    change_id: str,
    author: str,
    rollout_change: RolloutChange,
) -> Change:
    """Returns the change that logs an order or a step."""
    return Change(
        change_id,
        ROLLOUT_BASE,
        author,
        '',
        encode_rollout_change(rollout_change),
    )


def is_rollout_change(change: Change) -> bool:
    """Returns whether a change is an order or a step of a roll-out."""
    return change.base_version == ROLLOUT_BASE


class RolloutRegister:
    """The table of roll-outs, built by changes in log order."""

    def __init__(self, table: RolloutTable = RolloutTable()) -> None:
        """Continues from `table`."""
        self._table = table

    @property
    def table(self) -> RolloutTable:
        """The newest roll-out of each service."""
        return self._table

    def apply(self, change: Change, accepted_ms: int) -> RolloutDecision:
        """Decides a committed order or step.

        `accepted_ms` is the leader's wall clock time, in milliseconds.
        """
        try:
            decoded = decode_rollout_change(change.content)
        except ConfigurationError as error:
            return NotAccepted(str(error))
        if isinstance(decoded, RolloutOrder):
            return self._apply_order(decoded, accepted_ms)
        return self._apply_step(decoded, accepted_ms)

    def _apply_order(
        self, order: RolloutOrder, accepted_ms: int
    ) -> RolloutDecision:
        known = self._table.find(order.service)
        if known is not None and _is_resend(known, order, accepted_ms):
            return Accepted(known.number, resent=True)
        if known is not None and known.is_open:
            return Conflict(ROLLOUT_BASE, ())
        return self._put(
            Rollout(
                *order,
                started_ms=accepted_ms,
                changed_ms=accepted_ms,
                reason='ordered',
            )
        )

    def _apply_step(
        self, step: RolloutStep, accepted_ms: int
    ) -> RolloutDecision:
        known = self._table.find(step.service)
        if known is None or known.number != step.number or not known.is_open:
            return Conflict(ROLLOUT_BASE, ())
        return self._put(
            known._replace(
                state=step.state,
                share_ppm=step.share_ppm,
                upstreams=step.upstreams,
                changed_ms=accepted_ms,
                reason=step.reason,
            )
        )

    def _put(self, rollout: Rollout) -> Accepted:
        number = self._table.number + 1
        others = tuple(
            other
            for other in self._table.rollouts
            if other.service != rollout.service
        )
        rollouts = (*others, rollout._replace(number=number))
        self._table = RolloutTable(number, rollouts)
        return Accepted(number)


def _is_resend(known: Rollout, order: RolloutOrder, accepted_ms: int) -> bool:
    same = (known.version, known.duration_ms)
    if same != (order.version, order.duration_ms):
        return False
    return known.is_open or accepted_ms - known.started_ms < RESEND_MS
