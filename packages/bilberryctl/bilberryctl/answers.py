"""Schemas of the responses of the operators' interface, and their decoding.

A response may have members that its schema does not list, because the server
may have another version. The members of the schema must be present and of the
right type.
"""

from typing import Any, TypedDict

from bilberry_core.http import HttpResponse
from msgspec import DecodeError, ValidationError, convert
from msgspec.json import decode
from returns.result import Failure, Result, Success


class ChangeAnswer(TypedDict):
    """The outcome of a change that was accepted."""

    version: int
    resent: bool


class RouteAnswer(TypedDict):
    """The responses of both versions on one route of a roll-out."""

    route: str
    answers: int
    bad: int
    old_answers: int
    old_bad: int


class RolloutAnswer(TypedDict):
    """The newest roll-out of a service."""

    service: str
    version: str
    state: str
    share: float
    upstreams: int
    reason: str
    routes: list[RouteAnswer]


class VersionLine(TypedDict):
    """The metadata of an accepted version, without its content."""

    version: int
    accepted: str
    author: str
    change_id: str
    note: str


class HistoryAnswer(TypedDict):
    """The list of the newest accepted versions."""

    versions: list[VersionLine]


class VersionAnswer(VersionLine):
    """An accepted version with its content."""

    configuration: dict[str, Any]


class ReplicaAnswer(TypedDict):
    """The role of a replica, and the leader and members that it knows."""

    role: str
    leader: str
    members: list[str]


class ProxyAnswer(TypedDict):
    """The version that one proxy runs."""

    instance: str
    version: int
    behind_s: float | None


class StatusAnswer(TypedDict):
    """The fleet as one daemon sees it."""

    instance: str
    phase: str
    accepted_version: int
    running_version: int
    stale_s: float | None
    replica: ReplicaAnswer | None
    proxies: list[ProxyAnswer]
    services: dict[str, dict[str, list[str]]]


class EndpointAnswer(TypedDict):
    """One endpoint of a route."""

    instance: str
    address: str
    failure_domain: str
    eligible: bool
    why: str


class ExplainAnswer(TypedDict):
    """The explained route of a request."""

    version: int
    service: str
    method: str
    path: str
    policy: dict[str, Any]
    exception: str | None
    reason: str
    endpoints: list[EndpointAnswer]


class ErrorAnswer(TypedDict):
    """The error object of a refused request."""

    error: dict[str, Any]


def decode_answer(response: HttpResponse, kind: Any) -> Result[Any, str]:
    """Decodes a JSON response and checks it against the schema `kind`.

    Returns all members of the response, or the reason why it does not match.
    """
    try:
        members = decode(response.body)
        convert(members, kind)
    except (DecodeError, ValidationError, RecursionError) as error:
        return Failure(f"the response can't be decoded: {error}")
    return Success(members)


def read_etag(response: HttpResponse) -> Result[int, str]:
    """Returns the configuration version from the `ETag` of a response."""
    etag = response.get_header(b'etag').strip('"')
    if etag.isascii() and etag.isdecimal() and len(etag) < 16:
        return Success(int(etag))
    return Failure(f'the ETag is not a version number: "{etag[:40]}"')
