"""Asks the operators' interface, trying one server after another.

A change keeps its ID from server to server, so that it is accepted once.
"""

from errno import ECONNREFUSED, EHOSTUNREACH, ENETUNREACH
from http import HTTPStatus
from typing import NamedTuple

from bilberry_core.endpoint import Address
from bilberry_core.http import HttpError, HttpRequest, HttpResponse, fetch

_NEVER_SENT = frozenset((ECONNREFUSED, EHOSTUNREACH, ENETUNREACH))
_UNDECIDED = frozenset(
    (HTTPStatus.GATEWAY_TIMEOUT, HTTPStatus.INTERNAL_SERVER_ERROR),
)
#: Answers that tell what became of a change, whoever else was asked before.
_DECISIONS = frozenset(
    (
        HTTPStatus.OK,
        HTTPStatus.CREATED,
        HTTPStatus.ACCEPTED,
        HTTPStatus.CONFLICT,
        HTTPStatus.PRECONDITION_FAILED,
    ),
)
_TRY_NEXT = _UNDECIDED | {
    HTTPStatus.MISDIRECTED_REQUEST,
    HTTPStatus.SERVICE_UNAVAILABLE,
}


class Attempt(NamedTuple):
    """One server's answer; None where there was none.

    `undecided` tells that the server may have carried out the request.
    """

    server: Address
    response: HttpResponse | None
    detail: str = ''
    undecided: bool = False


class Reply(NamedTuple):
    """The attempts of one request, the last one deciding."""

    attempts: tuple[Attempt, ...]

    @property
    def response(self) -> HttpResponse | None:
        """The last answer of any server."""
        answers = [each.response for each in self.attempts if each.response]
        return answers[-1] if answers else None

    @property
    def is_undecided(self) -> bool:
        """Whether a request for a change may have been carried out."""
        last = self.attempts[-1].response
        if last is not None and last.status in _DECISIONS:
            return False
        return any(attempt.undecided for attempt in self.attempts)

    @property
    def detail(self) -> str:
        """Why each server gave no answer."""
        return '; '.join(
            f'{attempt.server.host}:{attempt.server.port}: {attempt.detail}'
            for attempt in self.attempts
            if attempt.detail
        )


class OperatorsClient:
    """Sends requests to the daemons that the operator named."""

    def __init__(
        self,
        servers: tuple[Address, ...],
        token: str,
        timeout_s: float,
    ) -> None:
        """Keeps where to ask, and how long to wait for each answer."""
        self._servers = servers
        self._token = token
        self._timeout_s = timeout_s

    async def ask(self, request: HttpRequest) -> Reply:
        """Asks each server until one can answer."""
        attempts: list[Attempt] = []
        for server in self._servers:
            attempt = await self._attempt(server, request)
            attempts.append(attempt)
            if attempt.response and attempt.response.status not in _TRY_NEXT:
                break
        self._ask_last([each.server for each in attempts if not each.response])
        return Reply(tuple(attempts))

    async def ask_all(self, request: HttpRequest) -> tuple[HttpResponse, ...]:
        """Returns the answers of every server that is reached."""
        attempts = [
            await self._attempt(server, request) for server in self._servers
        ]
        return tuple(each.response for each in attempts if each.response)

    def _ask_last(self, silent: list[Address]) -> None:
        """Asks servers that gave no answer after the others from now on."""
        others = [one for one in self._servers if one not in silent]
        self._servers = (*others, *silent)

    async def _attempt(self, server: Address, request: HttpRequest) -> Attempt:
        try:
            response = await fetch(
                server,
                self._authorize(request),
                self._timeout_s,
            )
        except TimeoutError:
            detail = f'no answer within {self._timeout_s} s'
            return Attempt(server, None, detail, undecided=True)
        except OSError as error:
            undecided = error.errno not in _NEVER_SENT
            return Attempt(server, None, str(error), undecided)
        except HttpError as error:
            return Attempt(server, None, str(error), undecided=True)
        undecided = response.status in _UNDECIDED
        return Attempt(server, response, undecided=undecided)

    def _authorize(self, request: HttpRequest) -> HttpRequest:
        if not self._token:
            return request
        bearer = (b'authorization', f'Bearer {self._token}'.encode())
        return request._replace(headers=(*request.headers, bearer))
