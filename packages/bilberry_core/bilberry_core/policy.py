"""The policy of a call: how callers reach a service.

A `CallPolicy` is complete. A `PolicyChange` contains only the options that an
exception changes; the others keep the fleet-wide default.
"""

from enum import StrEnum
from typing import NamedTuple


class LoadPolicy(StrEnum):
    """The balancers that a configuration may name."""

    LEAST_WORK = 'least_work'
    RANDOM = 'random'
    ROUND_ROBIN = 'round_robin'


class Priority(StrEnum):
    """The order of load shedding: deferrable first, urgent last."""

    URGENT = 'urgent'
    NORMAL = 'normal'
    DEFERRABLE = 'deferrable'


class CallPolicy(NamedTuple):
    """Every option of a call. New in version 0.1.

    `timeout_ms`
        Time from a caller's first byte to the end of the response, in
        milliseconds (default: 5000).
    `retries`
        Further attempts after the first (default: 1).
    `retry_budget_percent`
        Retries allowed for each hundred requests to a service (default: 20).
    `priority`
        Order of admission and shedding (default: normal).
    `idempotent_methods`
        HTTP methods that may run more than once
        (default: GET, HEAD, OPTIONS, PUT, DELETE, TRACE).
    `load_policy`
        Name of the balancer, of those in `LoadPolicy`; a proxy that does
        not know it uses the default (default: least_work).
    `claim_retention_s`
        How long the outcome of a claimed request is kept, in seconds
        (default: 86400).
    `idempotent`
        Whether requests may run more than once, whatever their method; None
        uses `idempotent_methods` (default: None).
    `target_latency_ms`
        Time within which a response is of full use to its caller, in
        milliseconds; 0 for no target (default: 0).
    `anonymous`
        Whether requests need no key of an organisation, in a configuration
        that has organisations (default: False).
    """

    timeout_ms: int = 5000
    retries: int = 1
    retry_budget_percent: int = 20
    priority: Priority = Priority.NORMAL
    idempotent_methods: tuple[str, ...] = (
        'GET',
        'HEAD',
        'OPTIONS',
        'PUT',
        'DELETE',
        'TRACE',
    )
    load_policy: str = 'least_work'
    claim_retention_s: int = 86400
    idempotent: bool | None = None
    target_latency_ms: int = 0
    anonymous: bool = False

    def may_repeat(self, method: str) -> bool:
        """Returns whether a request of this method may run again."""
        if self.idempotent is None:
            return method in self.idempotent_methods
        return self.idempotent


class PolicyChange(NamedTuple):
    """The options that an exception changes; None keeps the default."""

    timeout_ms: int | None = None
    retries: int | None = None
    retry_budget_percent: int | None = None
    priority: Priority | None = None
    idempotent_methods: tuple[str, ...] | None = None
    load_policy: str | None = None
    claim_retention_s: int | None = None
    idempotent: bool | None = None
    target_latency_ms: int | None = None
    anonymous: bool | None = None

    def apply(self, policy: CallPolicy) -> CallPolicy:
        """Returns `policy` with the changed options replaced."""
        changed = {
            name: option
            for name, option in zip(self._fields, self, strict=True)
            if option is not None
        }
        return policy._replace(**changed)
