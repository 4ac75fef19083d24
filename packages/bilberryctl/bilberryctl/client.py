"""The client of the operators' interface, with failover between servers.

The servers are tried in turn. A change has the same ID in every attempt, so
that it is accepted once. If no server can decide a request at present, for
instance during the election of a leader, all of them are tried again, in up to
`MAX_ROUNDS` rounds in total.
"""

from asyncio import sleep
from errno import ECONNREFUSED, EHOSTUNREACH, ENETUNREACH
from http import HTTPStatus
from time import monotonic
from typing import NamedTuple

from bilberry_core.endpoint import Address
from bilberry_core.http import HttpError, HttpRequest, HttpResponse, fetch

_NOT_SENT_ERRORS = frozenset((ECONNREFUSED, EHOSTUNREACH, ENETUNREACH))
_UNDECIDED_STATUSES = frozenset(
    (HTTPStatus.GATEWAY_TIMEOUT, HTTPStatus.INTERNAL_SERVER_ERROR),
)
#: Statuses that decide a change, regardless of earlier attempts.
_DECISIVE_STATUSES = frozenset(
    (
        HTTPStatus.OK,
        HTTPStatus.CREATED,
        HTTPStatus.ACCEPTED,
        HTTPStatus.CONFLICT,
        HTTPStatus.PRECONDITION_FAILED,
    ),
)
_TRY_NEXT_STATUSES = _UNDECIDED_STATUSES | {
    HTTPStatus.MISDIRECTED_REQUEST,
    HTTPStatus.SERVICE_UNAVAILABLE,
}
#: Statuses after which a retry may succeed.
_TRANSIENT_STATUSES = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.GATEWAY_TIMEOUT),
)
#: Maximum rounds; with their pauses they last longer than an election.
MAX_ROUNDS = 4
#: Timeout for each server in the first round, in seconds. It doubles with
#: each round. It does not apply to a single server.
FIRST_ATTEMPT_TIMEOUT_S = 1.0
#: Pause after the first round, in seconds. It doubles with each round.
ROUND_PAUSE_S = 0.25


class Attempt(NamedTuple):
    """One send of a request to one server.

    `response`
        None where the server sent none; `detail` is the reason.
    `undecided`
        Whether it is unknown if the server executed the request.
    """

    server: Address
    response: HttpResponse | None
    detail: str = ''
    undecided: bool = False

    @property
    def is_final(self) -> bool:
        """Whether the response ends the search for a server."""
        if self.response is None:
            return False
        return self.response.status not in _TRY_NEXT_STATUSES

    @property
    def is_transient(self) -> bool:
        """Whether a retry at the same server may have another outcome."""
        if self.response is None:
            return self.undecided
        return self.response.status in _TRANSIENT_STATUSES


class Reply(NamedTuple):
    """The result of sending one request: its attempts, in order."""

    attempts: tuple[Attempt, ...]

    @property
    def response(self) -> HttpResponse | None:
        """The last response of any server; None if there was none."""
        answers = [each.response for each in self.attempts if each.response]
        return answers[-1] if answers else None

    @property
    def is_undecided(self) -> bool:
        """Whether it is unknown if the request was executed.

        A decisive status of the last attempt settles all earlier ones.
        """
        last = self.attempts[-1].response
        if last is not None and last.status in _DECISIVE_STATUSES:
            return False
        return any(attempt.undecided for attempt in self.attempts)

    @property
    def detail(self) -> str:
        """Why attempts got no response, by server."""
        return '; '.join(
            f'{attempt.server.host}:{attempt.server.port}: {attempt.detail}'
            for attempt in self.attempts
            if attempt.detail
        )


class OperatorsClient:
    """A client of the operators' interfaces of the given servers."""

    def __init__(
        self,
        servers: tuple[Address, ...],
        token: str,
        timeout_s: float,
    ) -> None:
        """Configures the servers, the token and the timeout of a request.

        An empty `token` sends requests without authorization.
        """
        self._servers = servers
        self._token = token
        self._timeout_s = timeout_s

    async def send(self, request: HttpRequest) -> Reply:
        """Sends a request to the servers in turn until a response is final.

        Where a retry may succeed, it tries all servers again after a pause,
        in up to `MAX_ROUNDS` rounds within the timeout of the request.
        """
        deadline = monotonic() + self._timeout_s
        attempts: list[Attempt] = []
        for round_index in range(MAX_ROUNDS):
            attempt_timeout_s = FIRST_ATTEMPT_TIMEOUT_S * (1 << round_index)
            round_attempts = await self._send_round(
                request, attempt_timeout_s, deadline
            )
            attempts += round_attempts
            self._move_to_end(
                [each.server for each in round_attempts if not each.response]
            )
            pause_s = ROUND_PAUSE_S * (1 << round_index)
            exceeds_deadline = monotonic() + pause_s >= deadline
            if exceeds_deadline or not _should_repeat_round(round_attempts):
                break
            await sleep(pause_s)
        return Reply(tuple(attempts))

    async def send_to_all(
        self, request: HttpRequest
    ) -> tuple[HttpResponse, ...]:
        """Sends a request to every server and returns their responses."""
        attempts = [
            await self._attempt(server, request, self._timeout_s)
            for server in self._servers
        ]
        return tuple(each.response for each in attempts if each.response)

    async def _send_round(
        self,
        request: HttpRequest,
        attempt_timeout_s: float,
        deadline: float,
    ) -> list[Attempt]:
        round_attempts: list[Attempt] = []
        count = len(self._servers)
        for position, server in enumerate(self._servers):
            remaining_s = max(deadline - monotonic(), 0)
            share_s = remaining_s / (count - position)
            timeout_s = (
                share_s if count == 1 else min(attempt_timeout_s, share_s)
            )
            round_attempts.append(
                await self._attempt(server, request, timeout_s)
            )
            if round_attempts[-1].is_final:
                break
        return round_attempts

    def _move_to_end(self, unresponsive: list[Address]) -> None:
        """Moves unresponsive servers to the end of the order of attempts."""
        others = [each for each in self._servers if each not in unresponsive]
        self._servers = (*others, *unresponsive)

    async def _attempt(
        self,
        server: Address,
        request: HttpRequest,
        timeout_s: float,
    ) -> Attempt:
        try:
            response = await fetch(server, self._authorize(request), timeout_s)
        except TimeoutError:
            detail = f'no response within {timeout_s:.1f} s'
            return Attempt(server, None, detail, undecided=True)
        except OSError as error:
            undecided = error.errno not in _NOT_SENT_ERRORS
            return Attempt(server, None, str(error), undecided)
        except HttpError as error:
            return Attempt(server, None, str(error), undecided=True)
        undecided = response.status in _UNDECIDED_STATUSES
        return Attempt(server, response, undecided=undecided)

    def _authorize(self, request: HttpRequest) -> HttpRequest:
        if not self._token:
            return request
        bearer = (b'authorization', f'Bearer {self._token}'.encode())
        return request._replace(headers=(*request.headers, bearer))


def _should_repeat_round(round_attempts: list[Attempt]) -> bool:
    """Returns whether another round may have another outcome."""
    if any(attempt.is_final for attempt in round_attempts):
        return False
    return any(attempt.is_transient for attempt in round_attempts)
