"""Tests that the soak sees breaches of limits and departures."""

from testtools import TestCase

from soak.limits import (
    DRAIN_S,
    LEAVING,
    RATE_LIMIT,
    STABLE_S,
    Excuse,
    find_breaches,
    get_origin,
)
from standin.arrivals import ArrivalLine

START = 'c-1@1000'
LIMIT = 2
#: Requests in four seconds that the limit allows.
ALLOWED = 17


def say(at: float, **said: str) -> ArrivalLine:
    """Returns the line of an upstream that says something."""
    headers = {name.replace('_', '-'): text for name, text in said.items()}
    return ArrivalLine(at, START, said=headers)


def limit(at: float, requests_per_s: float = LIMIT) -> ArrivalLine:
    """Returns the line of an upstream that names a limit."""
    return ArrivalLine(at, START, said={RATE_LIMIT: str(requests_per_s)})


def arrive(at: float, number: int, origin: str = 'a-1') -> ArrivalLine:
    """Returns the line of a request that arrived."""
    return ArrivalLine(at, START, f'read-{origin}-{number}')


def arrive_many(count: int, since: float, origin: str = 'a-1') -> list:
    """Returns requests that arrived within one second."""
    return [
        arrive(since + number / count, number, origin)
        for number in range(count)
    ]


class LimitCheckTest(TestCase):
    """The stated rule, with its excuses."""

    def find(self, *arrivals: ArrivalLine, excuses=()) -> list[str]:
        """Returns the breaches after a limit that was named at 0."""
        lines = [limit(0), arrive(0.1, 999), *arrivals, say(99)]
        return find_breaches(lines, excuses, {})

    def test_origin_is_the_daemon_that_got_the_request(self):
        """It is part of the ID."""
        self.assertEqual('b-2', get_origin('booking-b-2-17'))

    def test_window_above_the_limit_is_a_breach(self):
        """One and a half times the limit and five are allowed."""
        late = STABLE_S + 1
        self.assertEqual([], self.find(*arrive_many(ALLOWED, late)))
        breaches = self.find(*arrive_many(ALLOWED + 1, late))
        self.assertEqual(1, len(breaches))

    def test_first_seconds_and_other_daemons_do_not_count(self):
        """Before the limit binds, and where nobody was told."""
        early = arrive_many(ALLOWED + 9, 1)
        untold = arrive_many(ALLOWED + 9, STABLE_S, 'b-1')
        untold = [line._replace(at=STABLE_S + 0.1) for line in untold]
        self.assertEqual([], self.find(*early, *untold))

    def test_restarted_daemon_is_excused(self):
        """Only for what it sent after its restart."""
        many = arrive_many(ALLOWED + 1, STABLE_S + 1)
        before = Excuse('a-1', 1, 2)
        after = Excuse('a-1', 50, 51)
        self.assertEqual([], self.find(*many, excuses=(before,)))
        self.assertEqual(1, len(self.find(*many, excuses=(after,))))

    def test_withdrawn_limit_does_not_count(self):
        """Nothing binds after it."""
        many = arrive_many(ALLOWED + 9, STABLE_S + 1)
        self.assertEqual([], self.find(say(STABLE_S), *many))

    def test_request_to_a_left_upstream_is_a_breach(self):
        """If its caller sent it later than the daemon was told."""
        lines = [
            ArrivalLine(0, START, said={LEAVING: '1'}),
            arrive(0.5, 1),
            arrive(9, 2),
        ]
        for sent_s, breaches in ((DRAIN_S, 0), (DRAIN_S + 1, 1)):
            found = find_breaches(lines, (), {'read-a-1-2': sent_s})
            self.assertEqual(breaches, len(found))
