"""Tests that log lines alone show the cause of a failed request."""

from asyncio import gather, run
from json import loads
from logging import INFO, Handler, LogRecord, getLogger

from bilberry_core.board import Phase
from bilberry_core.logs import JsonLineFormatter
from bilberry_proxy.context import ProxyOptions
from bilberry_proxy.dialect import OWN_DIALECT
from testtools import TestCase

from tests.bilberry_proxy.fleet import call, configure, open_fleet

OPTIONS = ProxyOptions(OWN_DIALECT._replace(request_id=b'x-request-id'))
UPSTREAM = {'slots': 1}
CALLER_ONLY = {}
#: The shared secret in the credentials of the fleet.
SECRET = 'secret'


class LineCollector(Handler):
    """A log handler that collects formatted lines."""

    def __init__(self) -> None:
        super().__init__(INFO)
        self.lines: list[str] = []
        self.setFormatter(JsonLineFormatter('a-1'))

    def emit(self, record: LogRecord) -> None:
        """Collects one line."""
        self.lines.append(self.format(record))


class FailureLogTest(TestCase):
    """The cause of each failed request, and the absence of secrets."""

    def setUp(self):
        """Collects every line that is logged."""
        super().setUp()
        self.collector = LineCollector()
        root = getLogger()
        before = root.level
        root.addHandler(self.collector)
        root.setLevel(INFO)
        self.addCleanup(root.setLevel, before)
        self.addCleanup(root.removeHandler, self.collector)

    def find_causes(self, request: str) -> list[dict]:
        """Returns the decision lines of a request that have a failure code."""
        lines = [loads(line) for line in self.collector.lines]
        return [
            line
            for line in lines
            if line['event'] == 'request_routed'
            and line.get('request') == request
            and 'code' in line
        ]

    def test_each_failure_leads_to_one_cause(self):
        """Truncated, malformed, late, shed and refused requests."""

        async def scenario():
            configuration = configure(timeout_ms=300, retries=0)
            async with open_fleet(
                UPSTREAM,
                CALLER_ONLY,
                configuration=configuration,
                options=OPTIONS,
            ) as fleet:
                node = fleet.nodes[1]
                answers = {}
                for name, path in (
                    ('cut', '/early'),
                    ('garbled', '/truncate'),
                    ('late', '/slow'),
                ):
                    answers[name] = await self._ask(node, path, name)
                crowd = [f'crowd-{index}' for index in range(9)]
                answers.update(
                    zip(
                        crowd,
                        await gather(
                            *(
                                self._ask(node, '/slow', crowd_name)
                                for crowd_name in crowd
                            ),
                        ),
                        strict=True,
                    ),
                )
                node.board.phase.put(Phase.DRAINING)
                answers['refused'] = await self._ask(node, '/', 'refused')
                return answers

        answers = run(scenario())
        failed = {name for name, status in answers.items() if status != 200}
        self.assertLessEqual({'cut', 'late', 'refused'}, failed)
        for name in failed:
            (cause,) = self.find_causes(name)
            self.assertEqual(answers[name], cause['status'])
            self.assertIn('verdict', cause)
            self.assertNotEqual('', cause['detail'])

    def test_no_line_holds_the_secret(self):
        """No line about requests, streams or endpoints contains the secret."""

        async def scenario():
            async with open_fleet(
                UPSTREAM,
                CALLER_ONLY,
                options=OPTIONS,
            ) as fleet:
                for path in ('/', '/early'):
                    await self._ask(fleet.nodes[1], path, 'one')

        run(scenario())
        self.assertNotEqual([], self.collector.lines)
        for line in self.collector.lines:
            self.assertNotIn(SECRET, line)

    async def _ask(self, node, path: str, name: str) -> int:
        response = await call(node, path, x_request_id=name)
        return response.status
