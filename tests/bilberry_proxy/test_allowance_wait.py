"""Tests of requests that need a token of their organisation's quota."""

from asyncio import create_task, open_connection, run, sleep

from bilberry_core.allowance import Token, TokenRefusal
from bilberry_core.configuration import Configuration, Service
from bilberry_core.organisation import Organisation, compute_key_digest
from testtools import TestCase

from tests.bilberry_proxy.fleet import SERVICE, call, open_fleet, until

KEY = 'a-key-of-the-tests'
ACME = Organisation('acme', (compute_key_digest(KEY.encode()),), None, 10, 5)
KEYED = {'authorization': f'Bearer {KEY}'}
TOKEN = Token('acme', 1)


class FakeAllowances:
    """Allowances that a test hands out."""

    def __init__(self) -> None:
        """Starts without requests."""
        self.waiting: list = []
        self.left: list = []
        self.returned: list[Token] = []
        self.on_ask = self.waiting.append

    def ask(self, organisation, waiter, *, is_late) -> None:
        """Records a request."""
        self.names = organisation.name
        self.is_late = is_late
        self.on_ask(waiter)

    def leave(self, _organisation, waiter) -> None:
        """Records a request that waits no longer."""
        self.left.append(waiter)

    def give_back(self, token) -> None:
        """Records a token that comes back."""
        self.returned.append(token)


class AllowanceWaitTest(TestCase):
    """One proxy, one upstream and an organisation with a quota."""

    def play(self, script, organisation=ACME, **upstream):
        """Runs a script with a node and its allowances."""
        allowances = FakeAllowances()
        configuration = Configuration(
            services=(Service(SERVICE),), organisations=(organisation,)
        )

        async def scenario():
            options = {'slots': 4, **upstream}
            async with open_fleet(
                options, configuration=configuration, allowances=allowances
            ) as fleet:
                return await script(fleet.nodes[0], allowances)

        return run(scenario()), allowances

    def test_request_runs_before_it_has_a_token(self):
        """It waits, and runs with its token, which is not given back."""

        async def script(node, allowances):
            asked = create_task(call(node, **KEYED))
            await until(lambda: allowances.waiting)
            await sleep(0.05)
            early = node.upstream.records.runs.total()
            allowances.waiting[0].on_token(TOKEN)
            return early, (await asked).status

        outcome, allowances = self.play(script)
        self.assertEqual((0, 200), outcome)
        self.assertEqual([], allowances.returned)

    def test_request_over_the_quota_runs(self):
        """It gets 429, as not run, with the time to return at."""

        async def script(node, allowances):
            allowances.on_ask = lambda waiter: waiter.on_token_refused(
                TokenRefusal(True, 1500)
            )
            answer = await call(node, **KEYED)
            return answer, node.upstream.records.runs.total()

        (answer, runs), _ = self.play(script)
        self.assertEqual((429, 0), (answer.status, runs))
        self.assertEqual('not_run', answer.get_header(b'bilberry-verdict'))
        self.assertEqual('quota_exceeded', answer.get_header(b'bilberry-code'))
        self.assertEqual('1500', answer.get_header(b'bilberry-retry-after-ms'))

    def test_unreachable_granter_is_told_as_an_exceeded_quota(self):
        """It is 503: nobody knows whether the quota is exceeded."""

        async def script(node, allowances):
            allowances.on_ask = lambda waiter: waiter.on_token_refused(
                TokenRefusal(False, 700)
            )
            return await call(node, **KEYED)

        answer, _ = self.play(script)
        self.assertEqual(503, answer.status)
        code = answer.get_header(b'bilberry-code')
        self.assertEqual('quota_unavailable', code)

    def test_request_waits_for_a_token_until_its_deadline(self):
        """It waits for half of its time."""

        async def script(node, allowances):
            answer = await call(node, **KEYED, bilberry_deadline_ms='400')
            return answer.status, len(allowances.left)

        outcome, _ = self.play(script)
        self.assertEqual((503, 1), outcome)

    def test_caller_that_leaves_keeps_its_place(self):
        """Its request asks for no token any more."""

        async def script(node, allowances):
            _reader, writer = await open_connection(*node.callers)
            writer.write(
                f'GET / HTTP/1.1\r\nhost: {SERVICE}\r\n'
                f'authorization: Bearer {KEY}\r\n\r\n'.encode()
            )
            await until(lambda: allowances.waiting)
            writer.close()
            await until(lambda: allowances.left)
            return node.upstream.records.runs.total()

        runs, allowances = self.play(script)
        self.assertEqual((0, []), (runs, allowances.returned))

    def test_token_of_a_request_that_did_not_run_is_lost(self):
        """It is given back; its upstream had declined to run it."""

        async def script(node, allowances):
            allowances.on_ask = lambda waiter: waiter.on_token(TOKEN)
            return await call(node, '/', 'POST', **KEYED)

        answer, allowances = self.play(script, sheds=True)
        self.assertEqual(503, answer.status)
        self.assertEqual([TOKEN], allowances.returned)

    def test_organisation_without_a_rate_needs_tokens(self):
        """It asks for none."""

        async def script(node, allowances):
            return (await call(node, **KEYED)).status, allowances.waiting

        outcome, _ = self.play(script, ACME._replace(rate=0))
        self.assertEqual((200, []), outcome)
