"""Tests the platform's interface for roll-outs."""

from asyncio import run

from bilberry_core.acceptance import (
    Accepted,
    Conflict,
    NotAccepted,
    OutcomeUnknown,
)
from bilberry_core.board import Board
from bilberry_core.configuration import (
    AcceptedVersion,
    Configuration,
    Service,
)
from bilberry_core.http import HttpRequest, HttpResponse
from bilberry_core.rollout import (
    Rollout,
    RolloutOrder,
    RolloutState,
    RolloutTable,
)
from bilberry_platform.rollouts import PATH, RolloutInterface
from msgspec.json import decode, encode
from returns.result import Failure, Success
from testtools import TestCase

ORDER = {'Service': 'huvo11a', 'TargetVersion': 'v2', 'DurationS': 12}


class FakeRollouts:
    """A log with predefined outcomes."""

    def __init__(self, outcome=None, state=RolloutState.RUNNING) -> None:
        """Returns `outcome` for orders."""
        self.orders: list[RolloutOrder] = []
        self._outcome = outcome
        rollout = Rollout('huvo11a', 'v2', 12_000, state)
        self._table = RolloutTable(1, (rollout,))

    async def order(self, order, _author, _timeout_s):
        """Records an order."""
        self.orders.append(order)
        return self._outcome

    async def read(self, _timeout_s):
        """Returns a table with one roll-out."""
        return Success(self._table)


class RolloutInterfaceTest(TestCase):
    """Orders and states in the platform's words."""

    def call(self, rollouts, method, target, body=b'') -> HttpResponse:
        """Sends a request."""
        board = Board()
        configuration = Configuration(services=(Service('huvo11a'),))
        board.accepted.put(AcceptedVersion(1, 1, b'', configuration))
        interface = RolloutInterface(rollouts, board)
        return run(interface.handle(HttpRequest(method, target, body=body)))

    def test_outcomes_have_their_statuses(self):
        """409 while another one is open; 503 and 504 are sent again."""
        outcomes = {
            200: Success(Accepted(1)),
            409: Failure(Conflict(-1, ())),
            503: Failure(NotAccepted('no leader')),
            504: Failure(OutcomeUnknown('1', 'no answer')),
        }
        for status, outcome in outcomes.items():
            rollouts = FakeRollouts(outcome)
            answer = self.call(rollouts, 'POST', PATH, encode(ORDER))
            self.assertEqual(status, answer.status)
            expected = RolloutOrder('huvo11a', 'v2', 12_000)
            self.assertEqual([expected], rollouts.orders)

    def test_bad_orders_are_not_logged(self):
        """Each gets an error of its own."""
        bad = {
            b'{': 400,
            encode(ORDER | {'DurationS': 0}): 400,
            encode(ORDER | {'TargetVersion': ''}): 400,
            encode(ORDER | {'Service': 'nobody'}): 404,
        }
        for body, status in bad.items():
            rollouts = FakeRollouts()
            answer = self.call(rollouts, 'POST', PATH, body)
            self.assertEqual((status, []), (answer.status, rollouts.orders))

    def test_states_are_translated(self):
        """A version that takes over is still running."""
        states = {
            RolloutState.RUNNING: 'running',
            RolloutState.COMPLETING: 'running',
            RolloutState.COMPLETED: 'completed',
            RolloutState.ROLLED_BACK: 'rolled_back',
        }
        for state, shown in states.items():
            answer = self.call(
                FakeRollouts(state=state), 'GET', f'{PATH}/huvo11a'
            )
            expected = {'State': shown, 'TargetVersion': 'v2'}
            self.assertEqual(expected, decode(answer.body))

    def test_service_without_rollout_is_not_found(self):
        """It has no state."""
        answer = self.call(FakeRollouts(), 'GET', f'{PATH}/wuno96b')
        self.assertEqual(404, answer.status)
