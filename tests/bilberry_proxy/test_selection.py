"""Tests endpoint selection, load estimates, shedding and ejection."""

from random import Random

from bilberry_core.endpoint import Address, Endpoint, EndpointState
from bilberry_core.messages.call import Load
from bilberry_core.policy import Priority
from bilberry_core.verdict import Failure, FailureCode, Verdict
from bilberry_proxy.balancers import build_balancer, get_balancer_names
from bilberry_proxy.endpoint_load import (
    SLOW_START_MS,
    Candidate,
    EndpointLoad,
    compute_shed_ms,
    estimate_work_us,
    is_busy,
)
from bilberry_proxy.outlier import (
    MAX_EJECTED_SHARE,
    count_failure,
    count_success,
)
from bilberry_proxy.selection import (
    SUBSET_NEAR,
    SUBSET_SIZE,
    SelectionContext,
    select_endpoint,
    select_subset,
)
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

STREAM_LOST = Failure(Verdict.MAY_HAVE_RUN, FailureCode.STREAM_LOST)
CONTEXT = SelectionContext('me', 'one', 100.0, 1_000_000)


def build_endpoint(index: int, **fields) -> Endpoint:
    """Returns a ready endpoint that is past slow start."""
    endpoint = Endpoint(
        f'node-{index}',
        1,
        1,
        'callouts',
        Address('127.0.0.1', 1000 + index),
        'one',
        EndpointState.READY,
        12,
        110,
    )
    return endpoint._replace(**fields)


def build_load(outstanding: int, ejected: bool = False) -> EndpointLoad:
    """Returns the load of an endpoint with calls outstanding."""
    load = EndpointLoad()
    load.outstanding = outstanding
    load.ejected_until = CONTEXT.now + 1 if ejected else 0
    return load


def choose(endpoints, loads, tried=(), name='least_work', seed=0):
    """Returns the selection from `endpoints` with these `loads`."""
    by_name = {
        endpoint.instance: load
        for endpoint, load in zip(endpoints, loads, strict=True)
    }
    return select_endpoint(
        [
            Candidate(endpoint, by_name[endpoint.instance])
            for endpoint in select_subset(endpoints, CONTEXT.instance, 'one')
        ],
        tried,
        CONTEXT,
        build_balancer(name),
        Random(seed),
    )


endpoints_strategy = st.lists(
    st.tuples(
        st.sampled_from(EndpointState),
        st.sampled_from(['one', 'two']),
        st.integers(0, 14),
        st.booleans(),
    ),
    max_size=6,
)


class SelectionTest(TestCase):
    """The rules that filter the candidates."""

    @given(
        endpoints_strategy,
        st.sets(st.integers(0, 5)),
        st.sampled_from(get_balancer_names()),
        st.integers(0, 99),
    )
    def test_choice_follows_every_rule(self, fleet, tried_at, name, seed):
        """The choice is ready, and untried and not ejected if possible."""
        endpoints = [
            build_endpoint(index, state=state, failure_domain=domain)
            for index, (state, domain, _, _) in enumerate(fleet)
        ]
        loads = [
            build_load(outstanding, is_ejected)
            for _, _, outstanding, is_ejected in fleet
        ]
        tried = [f'node-{index}' for index in tried_at]
        selection = choose(endpoints, loads, tried, name, seed)
        ready = [
            (endpoint, load)
            for endpoint, load in zip(endpoints, loads, strict=True)
            if endpoint.state is EndpointState.READY
        ]
        if not ready:
            self.assertIsNone(selection)
            return
        fresh = [
            pair for pair in ready if pair[0].instance not in tried
        ] or ready
        allowed = [pair for pair in fresh if not pair[1].ejected_until] or fresh
        self.assertIn(selection.endpoint, [pair[0] for pair in allowed])

    def test_near_is_chosen_until_it_is_busy(self):
        """The proxy's own failure domain is preferred unless it is busy."""
        near = build_endpoint(0)
        far = build_endpoint(1, failure_domain='two')
        free = choose([near, far], [build_load(0), build_load(0)])
        full = choose([near, far], [build_load(12), build_load(0)])
        self.assertEqual((near, far), (free.endpoint, full.endpoint))

    def test_all_endpoints_are_used_when_all_are_ejected(self):
        """If all endpoints are ejected, ejection is ignored."""
        endpoints = [build_endpoint(index) for index in range(3)]
        loads = [build_load(0, ejected=True) for _ in endpoints]
        chosen = {
            choose(endpoints, loads, seed=seed).endpoint.instance
            for seed in range(40)
        }
        self.assertEqual(3, len(chosen))

    def test_cold_endpoint_gets_a_growing_share(self):
        """An endpoint that became ready recently gets few calls."""
        counts = []
        for age_ms in (0, SLOW_START_MS // 2, SLOW_START_MS):
            cold = build_endpoint(0, since_ms=CONTEXT.wall_ms - age_ms)
            warm = build_endpoint(1)
            loads = [build_load(0), build_load(0)]
            picks = [
                choose([cold, warm], loads, name='random', seed=seed).endpoint
                for seed in range(300)
            ]
            counts.append(picks.count(cold))
        self.assertGreater(counts[0], 0)
        self.assertGreater(counts[1], counts[0])
        self.assertGreater(counts[2], counts[1])

    def test_subset_is_stable_when_an_endpoint_leaves(self):
        """A proxy's subset changes by few endpoints when one is removed."""
        fleet = [build_endpoint(index) for index in range(200)]
        before = set(select_subset(fleet, 'me', 'two'))
        after = set(select_subset(fleet[1:], 'me', 'two'))
        self.assertEqual(SUBSET_SIZE, len(before))
        self.assertLessEqual(len(before ^ after), 2)

    def test_subsets_spread_over_the_fleet(self):
        """The subsets of all proxies together cover every endpoint evenly."""
        fleet = [build_endpoint(index) for index in range(100)]
        counts = dict.fromkeys(fleet, 0)
        for index in range(100):
            for endpoint in select_subset(fleet, f'proxy-{index}', 'two'):
                counts[endpoint] += 1
        self.assertGreaterEqual(min(counts.values()), 8)
        self.assertLessEqual(max(counts.values()), 48)


class DomainTest(TestCase):
    """Failure domains in a fleet of many upstreams, with all slots taken."""

    def test_subset_is_mostly_near(self):
        """Some endpoints are elsewhere, since a whole domain may fail."""
        fleet = [
            build_endpoint(
                index, failure_domain=('one', 'two', 'three')[index % 3]
            )
            for index in range(90)
        ]
        called = select_subset(fleet, 'me', 'one')
        near = [
            endpoint for endpoint in called if endpoint.failure_domain == 'one'
        ]
        self.assertEqual(SUBSET_SIZE, len(set(called)))
        self.assertEqual(SUBSET_NEAR, len(near))

    def test_few_near_endpoints_are_all_called(self):
        """The rest of the subset is drawn from other failure domains."""
        fleet = [
            build_endpoint(index, failure_domain='two' if index else 'one')
            for index in range(90)
        ]
        called = select_subset(fleet, 'me', 'one')
        self.assertIn(fleet[0], called)
        self.assertEqual(SUBSET_SIZE, len(called))

    def test_busy_near_endpoint_is_preferred_to_equally_busy_others(self):
        """Another failure domain would not respond sooner."""
        fleet = [
            build_endpoint(0),
            build_endpoint(1, failure_domain='two'),
            build_endpoint(2, failure_domain='two'),
        ]
        loads = [build_load(13), build_load(12), build_load(12)]
        for seed in range(20):
            chosen = choose(fleet, loads, seed=seed)
            self.assertEqual(
                (fleet[0], True), (chosen.endpoint, chosen.is_busy)
            )
        loads[0] = build_load(40)
        chosen = {
            choose(fleet, loads, seed=seed).endpoint for seed in range(20)
        }
        self.assertEqual(set(fleet[1:]), chosen - {fleet[0]})


class LoadTest(TestCase):
    """Decay of observed loads and latencies, which may be outdated."""

    def test_outdated_report_decays(self):
        """An endpoint that was busy once gets calls again."""
        load = EndpointLoad()
        load.update(1, Load(12, 40, 12, 0), 0)
        candidate = Candidate(build_endpoint(0), load)
        self.assertTrue(is_busy(candidate, 0))
        self.assertFalse(is_busy(candidate, 60))
        fresh = candidate._replace(load=EndpointLoad())
        self.assertEqual(
            estimate_work_us(fresh, 60),
            estimate_work_us(candidate, 60),
        )

    def test_own_calls_count_whatever_is_reported(self):
        """A report of no load does not hide outstanding calls."""
        load = EndpointLoad()
        load.update(0.001, Load(0, 0, 12, 0), 0)
        load.outstanding = 12
        self.assertTrue(is_busy(Candidate(build_endpoint(0), load), 0))

    def test_short_deadlines_are_no_fault_of_the_endpoint(self):
        """A deadline failure counts only if the attempt was unusually slow."""
        loads = [EndpointLoad() for _ in range(3)]
        late = Failure(Verdict.MAY_HAVE_RUN, FailureCode.DEADLINE)
        for _ in range(9):
            count_failure(loads[0], loads, late, 1, duration_s=0.002)
            count_failure(loads[1], loads, late, 1, duration_s=2)
        ejected = [load.ejected_until > 1 for load in loads]
        self.assertEqual([False, True, False], ejected)


class SheddingTest(TestCase):
    """Calls that endpoints would shed again are shed by the proxy."""

    def shed(self, load: EndpointLoad, priority: Priority) -> None:
        """Records a shed call with a time to retry after of 200 ms."""
        load.record_shed(priority, 200, 100)

    def test_shed_priority_and_lower_ones_are_shed_at_once(self):
        """Calls of the shed priority and of lower ones are shed at once."""
        load = EndpointLoad()
        self.shed(load, Priority.NORMAL)
        candidates = [Candidate(build_endpoint(0), load)]
        waits = {
            priority: compute_shed_ms(candidates, priority, 100.1)
            for priority in Priority
        }
        self.assertEqual(0, waits[Priority.URGENT])
        self.assertAlmostEqual(100, waits[Priority.NORMAL], delta=1)
        self.assertAlmostEqual(100, waits[Priority.DEFERRABLE], delta=1)

    def test_nothing_is_shed_while_one_endpoint_accepts_calls(self):
        """No call is shed by the proxy while any endpoint accepts calls."""
        loads = [EndpointLoad(), EndpointLoad()]
        self.shed(loads[0], Priority.URGENT)
        candidates = [
            Candidate(build_endpoint(index), load)
            for index, load in enumerate(loads)
        ]
        self.assertEqual(0, compute_shed_ms(candidates, Priority.URGENT, 100.1))
        picks = {
            select_endpoint(
                candidates,
                (),
                CONTEXT._replace(now=100.1),
                build_balancer('random'),
                Random(seed),
            ).endpoint.instance
            for seed in range(20)
        }
        self.assertEqual({'node-1'}, picks)

    def test_shedding_ends_by_itself(self):
        """After the time to retry after, the endpoint gets calls again."""
        load = EndpointLoad()
        self.shed(load, Priority.URGENT)
        candidates = [Candidate(build_endpoint(0), load)]
        self.assertEqual(0, compute_shed_ms(candidates, Priority.URGENT, 100.3))


class RateLimitTest(TestCase):
    """Endpoints whose upstreams name rate limits."""

    def build_limited(self, *rate_limits: float | None) -> list[EndpointLoad]:
        """Returns loads of endpoints that take a second for each call."""
        loads = [build_load(0) for _ in rate_limits]
        for load, rate_limit in zip(loads, rate_limits, strict=True):
            load.rate_limit = rate_limit
            load.service_us = 1_000_000
        return loads

    def count_calls(self, *rate_limits: float | None, calls: int) -> list[int]:
        """Returns how many of the calls at once each endpoint gets."""
        loads = self.build_limited(*rate_limits)
        endpoints = [build_endpoint(index) for index in range(len(loads))]
        for seed in range(calls):
            chosen = choose(endpoints, loads, seed=seed).endpoint
            loads[endpoints.index(chosen)].begin()
        return [load.outstanding for load in loads]

    def test_calls_are_spread_in_proportion_to_limits(self):
        """An upstream with a third of the limit gets about a third."""
        large, small = self.count_calls(9, 3, calls=12)
        self.assertTrue(2 <= small <= 4, (large, small))

    def test_upstreams_without_a_limit_come_first(self):
        """Once a limited one has what its limit allows."""
        limited, other = self.count_calls(1, None, calls=10)
        self.assertLessEqual(limited, 1)
        self.assertEqual(10, limited + other)

    def test_limit_counts_as_fewer_slots(self):
        """Never as more than the upstream has, and one call may be sent."""
        slots = [
            load.limit_slots(12)
            for load in self.build_limited(None, 100, 5, 0.1)
        ]
        self.assertEqual([12, 12, 5, 1], slots)


class BalancerTest(TestCase):
    """Least work against round robin in a fleet with one slow endpoint."""

    def _serve(self, name: str) -> float:
        """Returns the mean time of 600 calls.

        One of four endpoints is ten times slower than the others.
        """
        endpoints = [build_endpoint(index) for index in range(4)]
        loads = [EndpointLoad() for _ in endpoints]
        candidates = [
            Candidate(endpoint, load)
            for endpoint, load in zip(endpoints, loads, strict=True)
        ]
        balancer = build_balancer(name)
        random = Random(1)
        finished: list[tuple[float, int]] = []
        total: float = 0
        for step in range(600):
            now = step * 0.001
            for until, index in [call for call in finished if call[0] <= now]:
                loads[index].end()
                finished.remove((until, index))
            selection = select_endpoint(
                candidates,
                (),
                CONTEXT._replace(now=now),
                balancer,
                random,
            )
            index = endpoints.index(selection.endpoint)
            seconds = 0.05 if index == 0 else 0.005
            loads[index].begin()
            loads[index].update(seconds, Load(0, 0, 12, 0), now)
            finished.append((now + seconds, index))
            total += seconds
        return total / 600

    def test_least_work_beats_round_robin(self):
        """A slow endpoint gets fewer calls than under round robin."""
        self.assertLess(
            self._serve('least_work') * 2, self._serve('round_robin')
        )


class OutlierTest(TestCase):
    """Ejection up to a limit, and readmission."""

    @given(st.integers(1, 12), st.lists(st.integers(0, 11), max_size=120))
    def test_ejected_share_is_bounded(self, count, failing):
        """The share of ejected endpoints stays within its limit."""
        loads = [EndpointLoad() for _ in range(count)]
        for index in failing:
            count_failure(loads[index % count], loads, STREAM_LOST, 1)
        ejected = sum(load.ejected_until > 1 for load in loads)
        self.assertLessEqual(ejected, count * MAX_EJECTED_SHARE)

    def test_ejected_endpoint_is_readmitted_after_a_success(self):
        """A success readmits the endpoint, a failure ejects it for longer."""
        loads = [EndpointLoad() for _ in range(3)]
        bad = loads[0]
        for _ in range(3):
            count_failure(bad, loads, STREAM_LOST, 0)
        first = bad.ejected_until
        self.assertTrue(first > 0)
        self.assertTrue(count_failure(bad, loads, STREAM_LOST, first))
        self.assertGreater(bad.ejected_until - first, first)
        count_success(bad)
        self.assertFalse(count_failure(bad, loads, STREAM_LOST, 99))

    def test_endpoint_gets_one_call_at_a_time_after_ejection(self):
        """A second call to a still slow endpoint would wait as well."""
        loads = [EndpointLoad() for _ in range(3)]
        for _ in range(3):
            count_failure(loads[0], loads, STREAM_LOST, 0)
        readmitted_at = loads[0].ejected_until
        self.assertEqual(
            [False, True],
            [
                loads[0].may_be_called(now)
                for now in (readmitted_at - 0.1, readmitted_at)
            ],
        )
        loads[0].begin()
        self.assertFalse(loads[0].may_be_called(readmitted_at))
        count_success(loads[0])
        self.assertTrue(loads[0].may_be_called(readmitted_at))

    def test_daemon_that_answers_no_probe_is_ejected_at_once(self):
        """Guards against calls that wait at one slow machine of a large fleet.

        Each proxy sends few calls there, so that three failures would make
        three calls of every proxy wait until their deadlines.
        """
        loads = [EndpointLoad() for _ in range(3)]
        for load in loads:
            load.update(0.3, Load(1, 0, 12, 300_000), 0)
        silent = Failure(Verdict.MAY_HAVE_RUN, FailureCode.ENDPOINT_SILENT)
        self.assertTrue(count_failure(loads[0], loads, silent, 1, 0.6))
        late = Failure(Verdict.MAY_HAVE_RUN, FailureCode.DEADLINE)
        self.assertFalse(count_failure(loads[1], loads, late, 1, 0.6))

    def test_load_shedding_does_not_eject_an_endpoint(self):
        """Load shedding does not count as a failure of the endpoint."""
        loads = [EndpointLoad() for _ in range(3)]
        shed = Failure(Verdict.NOT_RUN, FailureCode.OVERLOADED)
        ejected = [count_failure(loads[0], loads, shed, 0) for _ in range(9)]
        self.assertFalse(any(ejected))
