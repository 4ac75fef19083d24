"""Tests placement under load: near first, free slots, then a bounded wait."""

from bilberry_core.endpoint import Endpoint
from bilberry_core.messages.call import Load, SlotRefused
from bilberry_core.policy import CallPolicy, Priority
from bilberry_core.snapshot import Decision, Route, Snapshot
from bilberry_core.verdict import Failure, FailureCode, Verdict
from bilberry_proxy.caller_request import CallerRequest
from bilberry_proxy.placement import (
    MAX_FAR_PLACES,
    MAX_NEAR_PLACES,
    Placement,
    PlacementChoice,
)
from bilberry_proxy.plan import Plan
from bilberry_proxy.router import Router
from bilberry_proxy.slot_search import SearchPlan
from testtools import TestCase

from tests.bilberry_proxy.test_selection import build_endpoint

NOW = 100.0
TARGET_MS = 200
#: Time from now until the deadline of a plan.
DEADLINE_MS = 1000
FULL = Load(12, 3, 12, 50_000)


class StoppedClock:
    """A clock that does not advance."""

    def now(self) -> float:
        """Returns monotonic time, in seconds."""
        return NOW

    def wall_ms(self) -> int:
        """Returns wall clock time, in milliseconds."""
        return 1_000_000


class FirstChoice:
    """A random source that always picks the first."""

    def random(self) -> float:
        """Returns the lowest number."""
        return 0


class PlacementTest(TestCase):
    """The placement of one request in two failure domains."""

    def setUp(self):
        """Builds a service with one near and two far endpoints."""
        super().setUp()
        self.router = Router('me', 'one', StoppedClock(), FirstChoice())
        self.placement = Placement(self.router, NOW)
        self.endpoints = (
            build_endpoint(1, failure_domain='one'),
            build_endpoint(2, failure_domain='two'),
            build_endpoint(3, failure_domain='two'),
        )

    def build_plan(self, priority: Priority = Priority.NORMAL) -> Plan:
        """Returns the plan of a request."""
        policy = CallPolicy(target_latency_ms=TARGET_MS, priority=priority)
        request = CallerRequest(b'GET', b'/', 'a', '/', (), 0, '', False)
        route = Route('callouts', (), self.endpoints)
        snapshot = Snapshot(1, 1, b'', policy, {}, {'callouts': route})
        decision = Decision('callouts', policy, '', '')
        return Plan(
            request, snapshot, decision, 101, 101, 1, True, False, priority
        )

    def choose(self, tried: tuple[str, ...] = (), **options) -> PlacementChoice:
        """Returns the next placement."""
        return self.placement.choose(
            self.build_plan(**options), list(tried), NOW
        )

    def plan_search(self, now: float = NOW, **options) -> SearchPlan:
        """Returns where the request waits from `now` on."""
        return self.placement.plan_search(self.build_plan(**options), [], now)

    def refuse(self, endpoint: Endpoint, retry_after_ms: int = 0, load=FULL):
        """Records that an endpoint has no free slot."""
        failure = Failure(
            Verdict.NOT_RUN, FailureCode.NO_FREE_SLOT, '', retry_after_ms
        )
        failed = SlotRefused(0, failure, load)
        self.placement.record_refusal(endpoint, Priority.NORMAL, failed)

    def test_near_endpoint_is_asked_for_a_free_slot_first(self):
        """It runs the request at once or refuses it."""
        choice = self.choose()
        self.assertEqual('node-1', choice.selection.endpoint.instance)
        self.assertFalse(choice.selection.is_busy)
        self.assertEqual(0, choice.max_wait_ms)

    def test_full_endpoint_is_known_from_its_refusal(self):
        """The request itself is not sent to one that will refuse it."""
        for endpoint in self.endpoints:
            self.refuse(endpoint)
        self.assertTrue(self.choose().selection.is_busy)

    def test_request_may_wait_at_the_only_endpoint(self):
        """There is no other where a slot may become free."""
        self.endpoints = self.endpoints[:1]
        choice = self.choose()
        self.assertTrue(0 < choice.max_wait_ms <= TARGET_MS)

    def test_request_waits_at_several_endpoints_of_both_domains(self):
        """Few of each, however many there are, and none twice."""
        self.endpoints = tuple(
            build_endpoint(index, failure_domain=domain)
            for index, domain in enumerate(('one', 'two') * 6)
        )
        plan = self.plan_search()
        near = {asked.endpoint.instance for asked in plan.near}
        far = {asked.endpoint.instance for asked in plan.far}
        self.assertEqual(
            (MAX_NEAR_PLACES, MAX_FAR_PLACES), (len(near), len(far))
        )
        self.assertEqual(
            {'one'}, {asked.endpoint.failure_domain for asked in plan.near}
        )
        self.assertEqual(
            {'two'}, {asked.endpoint.failure_domain for asked in plan.far}
        )

    def test_request_waits_beside_its_proxy_too(self):
        """Asking there takes no message; a long route has it alone at first."""
        self.endpoints = tuple(
            build_endpoint(index, failure_domain='one') for index in range(9)
        )
        own = self.endpoints[8]._replace(instance='me')
        self.endpoints = (*self.endpoints[:8], own)
        plan = self.plan_search()
        self.assertEqual(MAX_NEAR_PLACES, len(plan.near))
        self.assertIn('me', [asked.endpoint.instance for asked in plan.near])

    def test_other_domains_are_asked_later(self):
        """Traffic between domains is expensive."""
        plan = self.plan_search()
        self.assertTrue(0 < plan.head_start_ms < plan.max_wait_ms)

    def test_wait_leaves_time_to_meet_the_target(self):
        """It is shorter for a slow route and for one that waited before."""
        fast = self.plan_search().max_wait_ms
        later = self.plan_search(NOW + TARGET_MS / 2000).max_wait_ms
        self.assertTrue(0 < later < fast)
        self.assertLess(fast, TARGET_MS)
        times = self.router.service_times
        times.update(self.build_plan().route_key, 0.1, 0)
        self.assertLess(self.plan_search().max_wait_ms, fast)

    def test_refusal_is_not_run_and_names_a_time(self):
        """The first time at which an upstream expects to have room."""
        self.plan_search()
        for endpoint, retry_after_ms in zip(
            self.endpoints, (900, 700, 800), strict=True
        ):
            self.refuse(endpoint, retry_after_ms)
        refusal = self.placement.build_refusal(self.build_plan(), NOW)
        self.assertEqual(
            (Verdict.NOT_RUN, FailureCode.OVERLOADED, 700),
            (refusal.verdict, refusal.code, refusal.retry_after_ms),
        )

    def test_late_request_gives_way_and_returns_later(self):
        """It misses its target in any case; the load may ease until then."""
        self.assertFalse(self.plan_search().is_late)
        early = self.placement.build_refusal(self.build_plan(), NOW)
        late_at = NOW + TARGET_MS / 1000 + 0.01
        plan = self.plan_search(late_at)
        self.assertTrue(plan.is_late)
        self.assertTrue(0 < plan.max_wait_ms <= TARGET_MS / 2)
        late = self.placement.build_refusal(self.build_plan(), late_at)
        self.assertGreater(late.retry_after_ms, 2 * early.retry_after_ms)
        self.assertLess(late.retry_after_ms, DEADLINE_MS / 2)

    def test_late_request_gives_way_at_the_only_endpoint_too(self):
        """Guards against its wait there in front of others."""
        self.endpoints = self.endpoints[:1]
        late_at = NOW + TARGET_MS / 1000 + 0.01
        choice = self.placement.choose(self.build_plan(), [], late_at)
        self.assertEqual(0, choice.max_wait_ms)
        plan = self.plan_search(late_at)
        self.assertTrue(plan.is_late)
        self.assertEqual(1, len(plan.near))

    def test_urgent_request_is_never_late(self):
        """It holds the slot of the request that made it."""
        late_at = NOW + TARGET_MS / 1000 + 0.01
        plan = self.plan_search(late_at, priority=Priority.URGENT)
        self.assertFalse(plan.is_late)

    def test_urgent_request_waits_as_long_as_its_time_allows(self):
        """At all places at once: its slot elsewhere is held meanwhile."""
        plan = self.plan_search(priority=Priority.URGENT)
        self.assertEqual(DEADLINE_MS, plan.max_wait_ms)
        self.assertEqual(0, plan.head_start_ms)

    def test_no_endpoint_means_no_search(self):
        """All were tried."""
        plan = self.build_plan()
        tried = [endpoint.instance for endpoint in self.endpoints]
        self.assertIsNone(self.placement.plan_search(plan, tried, NOW))

    def test_long_responses_stay_beside_their_proxy(self):
        """They cross no link then; short ones may go anywhere."""
        self.endpoints = (
            build_endpoint(1, failure_domain='one'),
            build_endpoint(2, failure_domain='one')._replace(instance='me'),
        )
        self.assertEqual('node-1', self.choose().selection.endpoint.instance)
        key = self.build_plan().route_key
        self.router.response_sizes.update(key, 90_000)
        self.assertEqual('me', self.choose().selection.endpoint.instance)
        plan = self.plan_search()
        self.assertEqual(
            ['me'], [asked.endpoint.instance for asked in plan.near]
        )
        self.assertEqual(
            ['node-1'], [asked.endpoint.instance for asked in plan.far]
        )
