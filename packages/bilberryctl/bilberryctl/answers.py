"""What the operators' interface answers, checked before it is shown.

A server of another version may add members; those that are needed must be
there and of their type.
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


class VersionLine(TypedDict):
    """One accepted version without its content."""

    version: int
    accepted: str
    author: str
    change_id: str
    note: str


class HistoryAnswer(TypedDict):
    """The newest versions."""

    versions: list[VersionLine]


class VersionAnswer(VersionLine):
    """One accepted version with its content."""

    configuration: dict[str, Any]


class ReplicaAnswer(TypedDict):
    """What a replica knows of the replicated log."""

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
    """The route of a request."""

    version: int
    service: str
    method: str
    path: str
    policy: dict[str, Any]
    exception: str | None
    reason: str
    endpoints: list[EndpointAnswer]


class ErrorAnswer(TypedDict):
    """Why a request was refused."""

    error: dict[str, Any]


def decode_answer(response: HttpResponse, kind: Any) -> Result[Any, str]:
    """Returns the members of a JSON answer, or why it is not of `kind`."""
    try:
        members = decode(response.body)
        convert(members, kind)
    except (DecodeError, ValidationError, RecursionError) as error:
        return Failure(f"the answer can't be read: {error}")
    return Success(members)


def read_etag(response: HttpResponse) -> Result[int, str]:
    """Returns the version that an answer's entity tag names."""
    etag = response.get_header(b'etag').strip('"')
    if etag.isascii() and etag.isdecimal() and len(etag) < 16:
        return Success(int(etag))
    return Failure(f'the answer names no version: entity tag "{etag[:40]}"')
