"""The settings of one daemon.

`Settings` is what the YAML file of an instance says, checked as a whole
before anything starts.
"""

from enum import StrEnum
from typing import NamedTuple

from bilberry_core.endpoint import Address


class Role(StrEnum):
    """What a daemon does for its fleet."""

    #: Routes callers' requests and admits work to the upstream beside it.
    PROXY = 'proxy'
    #: Spreads configurations and endpoints to the proxies attached to it.
    RELAY = 'relay'
    #: Keeps the accepted configuration and the claims; needs a data folder.
    REPLICA = 'replica'


class Peer(NamedTuple):
    """Another instance named in the settings."""

    instance: str
    address: Address
    failure_domain: str


class ListenSettings(NamedTuple):
    """Where a daemon listens; None where it does not.

    `streams`
        Streams of other daemons.
    `callers`
        Callers' HTTP requests (role proxy).
    `upstream`
        Announcements of the upstream beside it (role proxy).
    `operators`
        Operators' HTTP interface.
    """

    streams: Address
    callers: Address | None = None
    upstream: Address | None = None
    operators: Address | None = None


class TimingSettings(NamedTuple):
    """Intervals and time limits, all in milliseconds.

    `heartbeat_ms`
        Between heartbeats of the leader (default: 150).
    `election_ms`
        Shortest silence of a leader that starts an election (default: 900).
    `beacon_ms`
        Between beacons (default: 500).
    `stale_ms`
        Age of the newest beacon at which a proxy tries another relay
        (default: 2000).
    `lease_ms`
        Silence after which an endpoint ends (default: 6000).
    `renew_ms`
        Between renewals of a lease (default: 2000).
    `drain_ms`
        Longest time that a graceful stop waits for requests in flight
        (default: 30000).
    """

    heartbeat_ms: int = 150
    election_ms: int = 900
    beacon_ms: int = 500
    stale_ms: int = 2000
    lease_ms: int = 6000
    renew_ms: int = 2000
    drain_ms: int = 30_000


class Settings(NamedTuple):
    """Everything a daemon is told at its start.

    `fleet`, `instance`, `failure_domain`, `region`
        Names.
    `roles`
        What the daemon does.
    `secret`, `token`
        The fleet's secret and the operators' bearer token, read from their
        files; `token` is empty where no changes are taken.
    `data_folder`
        Folder for the durable state; empty without the role replica.
    `replicas`, `relays`
        The instances with these roles, this one included.
    `statsd`
        Where metrics go; None for nowhere.
    `log_file`, `log_level`
        Where log lines go (empty: standard error) and from which level on.
    """

    fleet: str
    instance: str
    failure_domain: str
    region: str
    roles: frozenset[Role]
    listen: ListenSettings
    secret: bytes
    token: str = ''
    data_folder: str = ''
    replicas: tuple[Peer, ...] = ()
    relays: tuple[Peer, ...] = ()
    statsd: Address | None = None
    log_file: str = ''
    log_level: str = 'INFO'
    timing: TimingSettings = TimingSettings()
