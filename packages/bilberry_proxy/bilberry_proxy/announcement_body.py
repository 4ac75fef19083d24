"""The JSON body of an upstream's announcement, and its validation.

Errors name the invalid key of the JSON object.
"""

from ipaddress import ip_address
from re import compile as compile_pattern
from typing import Annotated, Any

from bilberry_core.bounds import (
    MAX_PORT,
    Count,
    HeaderText,
    Line,
    Number,
)
from bilberry_core.endpoint import Address, EndpointState
from msgspec import Meta, Struct, convert

#: Longest time for which an upstream may say that it stays slow, in seconds.
MAX_COLD_S = 86_400
#: Longest body of an announcement, in bytes.
MAX_BODY_BYTES = 65536
_MAX_COLD_MS = MAX_COLD_S * 1000
_ADDRESS = compile_pattern(r'(\[[0-9A-Fa-f:.]+\]|[0-9A-Fa-f:.]+):([0-9]{1,5})')


class AnnouncedLoad(Struct, forbid_unknown_fields=True):
    """The load that an upstream reports of itself.

    It is validated but not used; balancing goes by the observed load.
    """

    outstanding: Number = 0


class AnnouncementBody(Struct, forbid_unknown_fields=True):
    """An announcement of an upstream.

    `address`
        IP address and port of its own HTTP server.
    `slots`, `connections`
        Requests and connections that it accepts at a time.
    `upstream_id`, `started_ms`, `sequence`
        The identity it chose, its start time by its own wall clock and a
        number that grows with each announcement since that start; empty or 0
        if not announced.
    `cold_ms`
        Remaining time for which it is slow after its start, in milliseconds;
        negative if that time is over.
    `version`
        The version of its software; empty if not announced.
    """

    service: Annotated[Line, Meta(min_length=1)]
    address: str
    slots: Count
    connections: Count
    state: EndpointState
    load: AnnouncedLoad | None = None
    upstream_id: HeaderText = ''
    started_ms: Number = 0
    sequence: Number = 0
    cold_ms: Annotated[int, Meta(ge=-_MAX_COLD_MS, le=_MAX_COLD_MS)] | None = (
        None
    )
    version: Line = ''

    def __post_init__(self) -> None:
        """Checks what the types can't express; raises `ValueError`."""
        try:
            parse_address(self.address)
        except ValueError as error:
            raise ValueError(
                f'key "address": expected an IP address and a port such as '
                f'127.0.0.1:8080, got "{self.address}"',
            ) from error
        if self.state is EndpointState.GONE:
            raise ValueError(
                'key "state": expected starting, ready or draining'
            )


def build_announcement_body(**fields: Any) -> AnnouncementBody:
    """Returns the announcement with these fields.

    Raises `ValueError` if one is invalid.
    """
    return convert(fields, AnnouncementBody)


def parse_address(text: str) -> Address:
    """Returns the address in `text`; raises `ValueError` if it is none."""
    match = _ADDRESS.fullmatch(text)
    if match is None:
        raise ValueError('no address')
    host = match[1].strip('[]')
    ip_address(host)
    port = int(match[2])
    if not 0 < port <= MAX_PORT:
        raise ValueError(f'port {port} is out of range')
    return Address(host, port)
