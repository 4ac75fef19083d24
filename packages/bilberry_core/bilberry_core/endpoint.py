"""Endpoints: the addresses and states of upstream instances.

Each record is written only by the daemon beside the upstream. Of two records
of one instance the one with the greater (incarnation, sequence) wins,
regardless of the order of arrival.
"""

from enum import StrEnum
from typing import NamedTuple

from bilberry_core.bounds import (
    Count,
    Name,
    Number,
    OptionalName,
    Port,
    SignedNumber,
)


class EndpointState(StrEnum):
    """The state that an upstream reports."""

    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


class Address(NamedTuple):
    """An IP address and a TCP port."""

    host: Name
    port: Port


class Endpoint(NamedTuple):
    """One upstream instance, reached through the daemon beside it.

    `incarnation`
        Start time of the daemon, in milliseconds of its wall clock; increases
        with every restart.
    `sequence`
        Increases with every record of one incarnation.
    `address`
        Where the daemon beside the upstream accepts streams.
    `slots`, `connections`
        Concurrent requests and connections that the upstream accepts.
    `since_ms`
        Wall clock time of the last transition to READY, in milliseconds.
    `version`
        The version of the upstream's software; empty if not announced.
    """

    instance: Name
    incarnation: Number
    sequence: Number
    service: Name
    address: Address
    failure_domain: OptionalName
    state: EndpointState
    slots: Count
    connections: Count
    since_ms: SignedNumber = 0
    version: OptionalName = ''

    def is_newer_than(self, other: 'Endpoint') -> bool:
        """Returns whether this record supersedes `other`."""
        mine = (self.incarnation, self.sequence)
        return mine > (other.incarnation, other.sequence)
