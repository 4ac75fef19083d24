"""Routes requests to resources by method and path pattern."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from re import Pattern
from re import compile as compile_pattern
from typing import NamedTuple
from urllib.parse import parse_qsl, unquote, urlsplit

from bilberry_core.http import HttpRequest, HttpResponse

from bilberry_operators.answer import RefusedError

_MAX_QUERY_FIELDS = 16


class RoutedRequest(NamedTuple):
    """A request with its decoded query and the segment that `*` matched."""

    request: HttpRequest
    query: dict[str, str]
    segment: str = ''

    def get_whole_number(self, name: str, default: int) -> int:
        """Returns a query field that must be a whole number.

        Raises `RefusedError` where it is not one.
        """
        text = self.query.get(name, str(default))
        return parse_whole_number(text, name)


Action = Callable[[RoutedRequest], Awaitable[HttpResponse]]


class Resource(NamedTuple):
    """An entry of the routing table."""

    method: str
    pattern: Pattern[str]
    action: Action


class Router:
    """A routing table of resources; the first one that matches is used."""

    def __init__(self) -> None:
        self._resources: list[Resource] = []

    def add(self, method: str, path: str, action: Action) -> None:
        """Adds a resource; `*` in a path matches one segment."""
        pattern = compile_pattern(path.replace('*', '([^/]+)'))
        self._resources.append(Resource(method, pattern, action))

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Returns the response of the resource that matches a request.

        Raises `RefusedError` where no resource matches.
        """
        path, query = _split_target(request.target)
        allowed = []
        for resource in self._resources:
            match = resource.pattern.fullmatch(path)
            if match and resource.method == request.method:
                segment = unquote(match[1]) if match.lastindex else ''
                return await resource.action(
                    RoutedRequest(request, query, segment)
                )
            if match:
                allowed.append(resource.method)
        raise _build_routing_error(request.method, path, allowed)


def parse_whole_number(text: str, name: str) -> int:
    """Returns a whole number, or raises `RefusedError` with the field name."""
    if text.isascii() and text.isdecimal() and len(text) < 16:
        return int(text)
    raise RefusedError(
        HTTPStatus.BAD_REQUEST,
        'bad_request',
        f'{name}: expected a whole number, got "{text[:40]}"',
    )


def _split_target(target: str) -> tuple[str, dict[str, str]]:
    try:
        parts = urlsplit(target)
        pairs = parse_qsl(
            parts.query,
            keep_blank_values=True,
            max_num_fields=_MAX_QUERY_FIELDS,
        )
    except ValueError as error:
        raise RefusedError(
            HTTPStatus.BAD_REQUEST,
            'bad_request',
            f'target: {error}',
        ) from error
    return parts.path, dict(pairs)


def _build_routing_error(
    method: str, path: str, allowed: list[str]
) -> RefusedError:
    if not allowed:
        return RefusedError(
            HTTPStatus.NOT_FOUND,
            'not_found',
            f'no resource at {path[:200]}',
        )
    return RefusedError(
        HTTPStatus.METHOD_NOT_ALLOWED,
        'method_not_allowed',
        f'{path} allows {", ".join(allowed)}, not {method}',
    )
