"""Tests of late requests through whole proxies."""

from asyncio import create_task, gather, run

from bilberry_proxy.usual_deadlines import BATCH_SIZE
from testtools import TestCase

from tests.bilberry_proxy.fleet import call, configure, open_fleet, until

#: One slot, whose requests take most of the target latency.
UPSTREAM = {'slots': 1, 'latency_ms': 400}
CONFIGURATION = configure(target_latency_ms=450)
_USUAL_MS = '2000'
_RETURNED_MS = '1200'


class LateRequestTest(TestCase):
    """A caller that returns after a refusal has less time than others."""

    def test_late_request_is_counted_and_told_to_stay_away(self):
        """It finds the only slot in use by a request that came before."""

        async def script():
            async with open_fleet(
                {'slots': BATCH_SIZE},
                UPSTREAM,
                configuration=CONFIGURATION,
            ) as fleet:
                first, second = fleet.nodes
                await gather(
                    *(
                        call(first, bilberry_deadline_ms=_USUAL_MS)
                        for _ in range(BATCH_SIZE)
                    )
                )
                first.board.own_endpoint.put(None)
                records = second.upstream.records
                runs = len(records.arrivals)
                running = create_task(
                    call(first, bilberry_deadline_ms=_USUAL_MS)
                )
                await until(lambda: len(records.arrivals) > runs)
                late = await call(first, bilberry_deadline_ms=_RETURNED_MS)
                await running
                return late, first.metrics.render()

        late, metrics = run(script())
        self.assertIn(b'bilberry_request_late_total{kind=""} 1.0', metrics)
        self.assertEqual(503, late.status)
        headers = dict(late.headers)
        retry_after_ms = int(headers[b'bilberry-retry-after-ms'])
        self.assertGreater(retry_after_ms, 0.25 * int(_RETURNED_MS))
