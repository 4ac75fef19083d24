"""The JSON body of an upstream's announcement, and its validation.

Errors name the invalid key of the JSON object.
"""

from ipaddress import ip_address
from typing import Annotated

from bilberry_core.endpoint import Address, EndpointState
from msgspec import Meta, Struct

_MAX_COUNT = 65536
_MAX_PORT = 65535

Count = Annotated[int, Meta(ge=1, le=_MAX_COUNT)]


class AnnouncedLoad(Struct, forbid_unknown_fields=True):
    """The load that an upstream reports of itself.

    It is validated but not used; balancing goes by the observed load.
    """

    outstanding: Annotated[int, Meta(ge=0)] = 0


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
        Remaining time for which it is slow after its start, in milliseconds.
    `version`
        The version of its software; empty if not announced.
    """

    service: Annotated[str, Meta(min_length=1, max_length=253)]
    address: str
    slots: Count
    connections: Count
    state: EndpointState
    load: AnnouncedLoad | None = None
    upstream_id: str = ''
    started_ms: int = 0
    sequence: int = 0
    cold_ms: int | None = None
    version: str = ''

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


def parse_address(text: str) -> Address:
    """Returns the address in `text`; raises `ValueError` if it is none."""
    host, _, port = text.rpartition(':')
    ip_address(host.strip('[]'))
    number = int(port)
    if not 0 < number <= _MAX_PORT:
        raise ValueError(f'port {number} is out of range')
    return Address(host.strip('[]'), number)
