"""A caller that sends reads and bookings and counts their outcomes.

Each request has a unique ID, so that the upstreams' records show which
requests ran and how often.
"""

from asyncio import Task, create_task, gather, sleep
from collections import Counter
from itertools import count
from time import monotonic
from typing import NamedTuple

from bilberry_core.endpoint import Address
from bilberry_core.error import BilberryError
from bilberry_core.http import HttpRequest, HttpResponse, fetch

from standin.large_body import LARGE_PATH, build_large_body

_OK = 200
_TIMEOUT_S = 15.0
_BOOKING_INTERVAL = 5
_LARGE_INTERVAL = 7


class Tally(NamedTuple):
    """The outcomes of the requests that a caller sent.

    `not_run_ids` are the requests with the verdict `not_run`, `answered_ids`
    those with a complete successful response, `sent_at` the monotonic time at
    which each request was sent, in seconds. `mixed_ids` are the requests that
    were answered with another body than their upstream's.
    """

    outcomes: Counter
    not_run_ids: set[str]
    answered_ids: set[str]
    sent_at: dict[str, float]
    mixed_ids: set[str]


class Caller:
    """A client that sends requests to a daemon from several workers.

    Options, all since version 0.1:

    `address`
        Address on which the daemon listens for callers.
    `service`
        Host name in the requests.
    `pause_s`
        Pause of a worker between two requests, in seconds (default: 0.01).
    `reads_large`
        Whether every seventh read asks for a large response, which a crash on
        its way cuts visibly (default: False).
    """

    def __init__(
        self,
        name: str,
        address: Address,
        service: str,
        pause_s: float = 0.01,
        *,
        reads_large: bool = False,
    ) -> None:
        self.tally = Tally(Counter(), set(), set(), {}, set())
        self._name = name
        self._address = address
        self._service = service
        self._pause_s = pause_s
        self._reads_large = reads_large
        self._request_numbers = count(1)
        self._workers: list[Task[None]] = []
        self._stopping = False

    def start(self, workers: int) -> None:
        """Starts this number of workers."""
        self._workers = [
            create_task(self._send_until_stopped()) for _ in range(workers)
        ]

    async def stop(self) -> Tally:
        """Waits until each worker finishes its request; returns the tally."""
        self._stopping = True
        await gather(*self._workers)
        return self.tally

    async def send(self, number: int) -> HttpResponse | None:
        """Sends one request and counts its outcome."""
        request_id = build_request_id(self._name, number)
        request = build_request(
            self._service, request_id, number, reads_large=self._reads_large
        )
        self.tally.outcomes['sent'] += 1
        self.tally.sent_at[request_id] = monotonic()
        try:
            response = await fetch(self._address, request, _TIMEOUT_S)
        except (BilberryError, OSError, TimeoutError):
            self.tally.outcomes['broken'] += 1
            return None
        self._count_response(request_id, response)
        if response.status == _OK and not _is_expected(request, response):
            self.tally.mixed_ids.add(request_id)
        return response

    async def _send_until_stopped(self) -> None:
        while not self._stopping:
            await self.send(next(self._request_numbers))
            await sleep(self._pause_s)

    def _count_response(self, request_id: str, response: HttpResponse) -> None:
        if response.status == _OK:
            self.tally.outcomes['answered'] += 1
            self.tally.answered_ids.add(request_id)
            return
        verdict = response.get_header(b'bilberry-verdict') or 'no_verdict'
        self.tally.outcomes[verdict] += 1
        if verdict == 'not_run':
            self.tally.not_run_ids.add(request_id)


def build_request_id(name: str, number: int) -> str:
    """Returns the ID of a request; every fifth request is a booking."""
    kind = 'read' if number % _BOOKING_INTERVAL else 'booking'
    return f'{kind}-{name}-{number}'


def is_booking(request_id: str) -> bool:
    """Returns whether a request is a booking, which must not run twice."""
    return request_id.startswith('booking-')


def build_request(
    service: str,
    request_id: str,
    number: int,
    *,
    reads_large: bool = False,
) -> HttpRequest:
    """Returns a read, or a booking with an idempotency key.

    The request ID determines which of the two it is. With `reads_large` every
    seventh read asks for a large response.
    """
    headers = (
        (b'host', service.encode()),
        (b'x-request-id', request_id.encode()),
    )
    if not is_booking(request_id):
        is_large = reads_large and not number % _LARGE_INTERVAL
        path = f'{LARGE_PATH}{request_id}' if is_large else f'/open/{number}'
        return HttpRequest('GET', path, headers)
    key = (b'idempotency-key', request_id.encode())
    return HttpRequest('POST', '/bookings', (*headers, key), b'{"job": 1}')


def _is_expected(request: HttpRequest, response: HttpResponse) -> bool:
    """Returns whether a large body is that of its own request."""
    if not request.target.startswith(LARGE_PATH):
        return True
    return response.body == build_large_body(request.target)
