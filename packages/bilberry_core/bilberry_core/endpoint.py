"""An endpoint: where an upstream instance can be reached, and its state.

Each record is owned by one writer, the daemon beside the upstream. Of two
records of one instance the greater (incarnation, sequence) wins, whatever the
order of arrival.
"""

from enum import StrEnum
from typing import NamedTuple


class EndpointState(StrEnum):
    """What an upstream says of itself."""

    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


class Address(NamedTuple):
    """An IP address and a TCP port."""

    host: str
    port: int


class Endpoint(NamedTuple):
    """One upstream instance, reached through the daemon beside it.

    `incarnation`
        Start of the daemon, in milliseconds of its wall clock; grows with
        every restart.
    `sequence`
        Grows with every record of one incarnation.
    `address`
        Where the daemon beside the upstream accepts streams.
    `slots`, `connections`
        Requests and connections that the upstream takes at once.
    `since_ms`
        Wall clock time of the last move to READY, in milliseconds.
    """

    instance: str
    incarnation: int
    sequence: int
    service: str
    address: Address
    failure_domain: str
    state: EndpointState
    slots: int
    connections: int
    since_ms: int = 0

    def is_newer_than(self, other: 'Endpoint') -> bool:
        """Tells whether this record replaces `other`."""
        mine = (self.incarnation, self.sequence)
        return mine > (other.incarnation, other.sequence)
