"""Mutation tests of the routing and admission rules.

Each check passes with the rule in use and fails with a broken variant of it,
so a regression to that variant is detected.
"""

from collections.abc import Callable
from random import Random
from typing import NamedTuple
from unittest.mock import patch

from bilberry_core.policy import Priority
from bilberry_core.verdict import Failure, FailureCode, Verdict
from bilberry_proxy import admission, decision_log, outlier, retry, selection
from bilberry_proxy.balancers import build_balancer
from bilberry_proxy.endpoint_load import Candidate, EndpointLoad
from bilberry_proxy.retry import AttemptState, RetryBudget, decide_retry
from bilberry_proxy.slots import Slots
from bilberry_proxy.suspect_queue import SuspectQueue
from bilberry_proxy.upstream_connection import UpstreamConnection
from testtools import TestCase

from tests.bilberry_proxy.test_admission import Call, Upstream
from tests.bilberry_proxy.test_selection import (
    CONTEXT,
    STREAM_LOST,
    build_endpoint,
)
from tests.bilberry_proxy.test_upstream_connection import WHOLE, Exchange

NON_IDEMPOTENT = AttemptState(False, True, False, 1, 1)
IDEMPOTENT = NON_IDEMPOTENT._replace(idempotent=True)


def does_not_repeat_non_idempotent() -> bool:
    """A non-idempotent request that may have run is not sent again."""
    return not decide_retry(
        STREAM_LOST, NON_IDEMPOTENT, RetryBudget()
    ).should_retry


def does_not_retry_started_answers() -> bool:
    """A request whose response has started is not retried."""
    state = IDEMPOTENT._replace(answer_started=True)
    return not decide_retry(STREAM_LOST, state, RetryBudget()).should_retry


def respects_retry_budget() -> bool:
    """Retries end when the retry budget is exhausted."""
    budget = RetryBudget()
    return not all(
        decide_retry(STREAM_LOST, IDEMPOTENT, budget).should_retry
        for _ in range(99)
    )


def reports_worst_verdict() -> bool:
    """An attempt that may have run takes precedence over those not run."""
    joined = decision_log.join_verdicts(Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN)
    return joined is Verdict.MAY_HAVE_RUN


def skips_tried() -> bool:
    """The next attempt is sent to an endpoint that was not tried."""
    return choose_among(tried=('node-0',)) == {'node-1', 'node-2'}


def skips_ejected() -> bool:
    """An ejected endpoint gets no call while others are available."""
    return choose_among(ejected=0) == {'node-1', 'node-2'}


def never_ejects_all() -> bool:
    """Not all endpoints of a service can be ejected."""
    loads = [EndpointLoad() for _ in range(3)]
    for load in loads * 9:
        outlier.count_failure(load, loads, STREAM_LOST, 1)
    return any(load.ejected_until <= 1 for load in loads)


def ignores_overload_in_ejection() -> bool:
    """Load shedding does not eject an endpoint."""
    load = EndpointLoad()
    shed = Failure(Verdict.NOT_RUN, FailureCode.OVERLOADED)
    peers = [load, EndpointLoad()]
    return not any(
        outlier.count_failure(load, peers, shed, 1) for _ in range(9)
    )


def respects_slots() -> bool:
    """At max_running as many calls run as there are slots."""
    upstream = Upstream()
    for index in range(9):
        upstream.offer(Call(index, Priority.NORMAL))
    return upstream.max_running == 2


def bounds_queue() -> bool:
    """Calls that exceed the queue limit are shed at once."""
    upstream = Upstream()
    for index in range(200):
        upstream.offer(Call(index, Priority.NORMAL))
    return len(upstream.queue) < 100


def serves_deferrable_eventually() -> bool:
    """A deferrable call runs although urgent calls keep arriving."""
    upstream = Upstream()
    for index in range(2):
        upstream.offer(Call(index, Priority.URGENT))
    deferrable = Call(2, Priority.DEFERRABLE)
    upstream.offer(deferrable)
    for index in range(3, 99):
        upstream.offer(Call(index, Priority.URGENT))
        upstream.finish()
    return deferrable in upstream.served + upstream.running


def runs_suspects_alone() -> bool:
    """A suspect request waits until no other call runs."""
    upstream = Upstream()
    upstream.offer(Call(0, Priority.NORMAL))
    upstream.offer(Call(1, Priority.NORMAL), suspect=True)
    return len(upstream.running) == 1


def drops_connections_with_unread_bytes() -> bool:
    """A connection with an unexpected second response is not reused."""
    return not Exchange().receive(WHOLE + WHOLE).freed


def choose_among(tried=(), ejected: int = -1) -> set[str]:
    """Returns the instances of three that 40 selections choose."""
    candidates = [
        Candidate(build_endpoint(index), EndpointLoad()) for index in range(3)
    ]
    if ejected >= 0:
        candidates[ejected].load.ejected_until = CONTEXT.now + 1
    picks = (
        selection.select_endpoint(
            candidates, tried, CONTEXT, build_balancer('random'), Random(seed)
        )
        for seed in range(40)
    )
    return {pick.endpoint.instance for pick in picks}


def keep_all(candidates, *_arguments):
    """Filters out no endpoint."""
    return candidates


def keep_first(one, _other):
    """Ignores the second verdict."""
    return one


def finish_without_check(connection: UpstreamConnection) -> None:
    """Frees a connection without checking for unread bytes."""
    connection._receiver = None
    connection._owner.connection_free(connection)


class Variant(NamedTuple):
    """A check, and the broken variant that replaces the rule it covers.

    The rule is the attribute `name` of `patched`.
    """

    check: Callable[[], bool]
    patched: object
    name: str
    broken: object


def start_beside_others(queue: SuspectQueue, _outstanding: int):
    """Starts a suspect request regardless of other calls."""
    return queue._waiting.popleft() if queue._waiting else None


VARIANTS = (
    Variant(
        does_not_repeat_non_idempotent, retry, '_get_refusal', lambda *_: ''
    ),
    Variant(
        does_not_retry_started_answers, retry, '_get_refusal', lambda *_: ''
    ),
    Variant(respects_retry_budget, RetryBudget, 'withdraw', lambda _: True),
    Variant(reports_worst_verdict, decision_log, 'join_verdicts', keep_first),
    Variant(skips_tried, selection, '_skip_tried', keep_all),
    Variant(skips_ejected, selection, '_skip_ejected', keep_all),
    Variant(never_ejects_all, outlier, 'may_eject', lambda *_: True),
    Variant(
        ignores_overload_in_ejection,
        outlier,
        '_is_endpoint_failure',
        lambda *_: True,
    ),
    Variant(respects_slots, Slots, 'has_free_slot', True),
    Variant(bounds_queue, admission, 'QUEUE_PER_SLOT', 999),
    Variant(serves_deferrable_eventually, admission, 'DEFERRABLE_SHARE', 10**9),
    Variant(
        runs_suspects_alone, SuspectQueue, 'start_next', start_beside_others
    ),
    Variant(
        drops_connections_with_unread_bytes,
        UpstreamConnection,
        '_finish',
        finish_without_check,
    ),
)


class BrokenRuleTest(TestCase):
    """Each check, with the rule in use and with its broken variant."""

    def test_every_rule_holds(self):
        """Each check passes with the rule in use."""
        for variant in VARIANTS:
            self.assertTrue(variant.check(), variant.check.__name__)

    def test_every_broken_variant_is_caught(self):
        """Each check fails with the broken variant of its rule."""
        for check, patched, name, broken in VARIANTS:
            with patch.object(patched, name, broken):
                self.assertFalse(check(), check.__name__)
