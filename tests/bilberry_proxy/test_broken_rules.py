"""Broken variants of each rule, and the check that catches each of them.

Every check holds for the rule in use and fails for its broken variant, so a
rule that decays into the variant is caught.
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
from tests.bilberry_proxy.test_selection import HERE, LOST, build_endpoint
from tests.bilberry_proxy.test_upstream_connection import WHOLE, Exchange

BOOKING = AttemptState(False, True, False, 1, 1)
READ = BOOKING._replace(idempotent=True)


def keeps_bookings_single() -> bool:
    """A booking that may have run is not sent again."""
    return not decide_retry(LOST, BOOKING, RetryBudget()).again


def keeps_begun_answers() -> bool:
    """An answer that has begun is not begun again."""
    state = READ._replace(began=True)
    return not decide_retry(LOST, state, RetryBudget()).again


def keeps_budget() -> bool:
    """Retries end when the budget is spent."""
    budget = RetryBudget()
    return not all(decide_retry(LOST, READ, budget).again for _ in range(99))


def tells_the_worst() -> bool:
    """One attempt that may have run outweighs those that did not."""
    joined = decision_log.join_verdicts(Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN)
    return joined is Verdict.MAY_HAVE_RUN


def leaves_the_failed() -> bool:
    """The next attempt goes elsewhere."""
    return choose_among(tried=('node-0',)) == {'node-1', 'node-2'}


def leaves_ejected() -> bool:
    """An ejected endpoint gets no call while others are there."""
    return choose_among(ejected=0) == {'node-1', 'node-2'}


def serves_though_all_look_bad() -> bool:
    """Not all endpoints of a service can be ejected."""
    loads = [EndpointLoad() for _ in range(3)]
    for load in loads * 9:
        outlier.count_failure(load, loads, LOST, 1)
    return any(load.ejected_until <= 1 for load in loads)


def blames_no_overload() -> bool:
    """Shedding ejects nobody."""
    load = EndpointLoad()
    shed = Failure(Verdict.NOT_RUN, FailureCode.OVERLOADED)
    peers = [load, EndpointLoad()]
    return not any(
        outlier.count_failure(load, peers, shed, 1) for _ in range(9)
    )


def keeps_slots() -> bool:
    """No more calls run than there are slots."""
    upstream = Upstream()
    for at in range(9):
        upstream.offer(Call(at, Priority.NORMAL))
    return upstream.most == 2


def bounds_the_queue() -> bool:
    """Calls beyond the queue are shed at once."""
    upstream = Upstream()
    for at in range(200):
        upstream.offer(Call(at, Priority.NORMAL))
    return len(upstream.queue) < 100


def serves_deferrable_at_last() -> bool:
    """A deferrable call runs though urgent ones never end."""
    upstream = Upstream()
    for at in range(2):
        upstream.offer(Call(at, Priority.URGENT))
    deferrable = Call(2, Priority.DEFERRABLE)
    upstream.offer(deferrable)
    for at in range(3, 99):
        upstream.offer(Call(at, Priority.URGENT))
        upstream.finish()
    return deferrable in upstream.served + upstream.running


def runs_suspects_alone() -> bool:
    """A suspect waits until nothing else runs."""
    upstream = Upstream()
    upstream.offer(Call(0, Priority.NORMAL))
    upstream.offer(Call(1, Priority.NORMAL), suspect=True)
    return len(upstream.running) == 1


def leaves_unread_connections() -> bool:
    """A connection with a second answer on it is not used again."""
    return not Exchange().receive(WHOLE + WHOLE).freed


def choose_among(tried=(), ejected: int = -1) -> set[str]:
    """Returns the instances chosen among three in many choices."""
    candidates = [
        Candidate(build_endpoint(at), EndpointLoad()) for at in range(3)
    ]
    if ejected >= 0:
        candidates[ejected].load.ejected_until = HERE.now + 1
    picks = (
        selection.select_endpoint(
            candidates, tried, HERE, build_balancer('random'), Random(seed)
        )
        for seed in range(40)
    )
    return {pick.endpoint.instance for pick in picks}


def keep_all(candidates, *_arguments):
    """Narrows nothing."""
    return candidates


def keep_first(one, _other):
    """Forgets the second verdict."""
    return one


def finish_blindly(connection: UpstreamConnection) -> None:
    """Frees a connection without looking at what is unread."""
    connection._receiver = None
    connection._owner.connection_free(connection)


class Variant(NamedTuple):
    """A check, and the rule that is replaced by a broken one."""

    check: Callable[[], bool]
    place: object
    name: str
    broken: object


def start_beside_others(lane: SuspectQueue, _outstanding: int):
    """Starts a suspect whatever else runs."""
    return lane._waiting.popleft() if lane._waiting else None


VARIANTS = (
    Variant(keeps_bookings_single, retry, '_find_refusal', lambda *_: ''),
    Variant(keeps_begun_answers, retry, '_find_refusal', lambda *_: ''),
    Variant(keeps_budget, RetryBudget, 'withdraw', lambda _: True),
    Variant(tells_the_worst, decision_log, 'join_verdicts', keep_first),
    Variant(leaves_the_failed, selection, '_skip_tried', keep_all),
    Variant(leaves_ejected, selection, '_skip_ejected', keep_all),
    Variant(serves_though_all_look_bad, outlier, 'may_eject', lambda *_: True),
    Variant(blames_no_overload, outlier, '_is_blamed', lambda *_: True),
    Variant(keeps_slots, Slots, 'has_free_slot', True),
    Variant(bounds_the_queue, admission, 'QUEUE_PER_SLOT', 999),
    Variant(serves_deferrable_at_last, admission, 'DEFERRABLE_SHARE', 10**9),
    Variant(
        runs_suspects_alone, SuspectQueue, 'start_next', start_beside_others
    ),
    Variant(
        leaves_unread_connections,
        UpstreamConnection,
        '_finish',
        finish_blindly,
    ),
)


class BrokenRuleTest(TestCase):
    """Each rule in use, and its broken variant."""

    def test_every_rule_holds(self):
        """Each check passes for the rule in use."""
        for variant in VARIANTS:
            self.assertTrue(variant.check(), variant.check.__name__)

    def test_every_broken_variant_is_caught(self):
        """Each check fails once its rule is replaced by the variant."""
        for check, place, name, broken in VARIANTS:
            with patch.object(place, name, broken):
                self.assertFalse(check(), check.__name__)
