"""The settings of one daemon.

`Settings` represents the YAML file of an instance, which is checked as a whole
before anything starts.
"""

from enum import StrEnum
from typing import NamedTuple

from bilberry_core.endpoint import Address


class Role(StrEnum):
    """A role of a daemon in its fleet."""

    #: Routes callers' requests and admits work to the upstream beside it.
    PROXY = 'proxy'
    #: Distributes configurations and endpoints to the proxies attached to it.
    RELAY = 'relay'
    #: Stores the accepted configuration and the claims; needs a data folder.
    REPLICA = 'replica'


class Peer(NamedTuple):
    """Another instance named in the settings."""

    instance: str
    address: Address
    failure_domain: str


class ListenSettings(NamedTuple):
    """The addresses on which a daemon listens; None where it does not.

    `streams`
        Streams of other daemons.
    `callers`
        Callers' HTTP requests (role proxy).
    `upstream`
        Announcements of the upstream beside it (role proxy).
    `operators`
        Operators' HTTP interface.
    `metrics`
        Metrics as text, for a scraper.
    """

    streams: Address
    callers: Address | None = None
    upstream: Address | None = None
    operators: Address | None = None
    metrics: Address | None = None


class TimingSettings(NamedTuple):
    """Intervals and time limits, all in milliseconds.

    `heartbeat_ms`
        Interval between heartbeats of the leader (default: 150).
    `election_ms`
        Shortest silence of the leader that starts an election (default: 900).
    `beacon_ms`
        Interval between beacons (default: 500).
    `stale_ms`
        Age of the newest beacon at which a proxy tries another relay
        (default: 2000).
    `lease_ms`
        Time without renewal after which a lease expires (default: 6000).
    `renew_ms`
        Interval between renewals of a lease (default: 2000).
    `drain_ms`
        Longest time that a graceful stop waits for requests in flight
        (default: 30000).
    `linger_ms`
        Time for which callers are still served after a graceful stop begins,
        so that they can notice it (default: 0).
    `quota_window_ms`
        Length of the window in which an organisation may send its rate times
        the window, and its burst; the same on all daemons (default: 5000).
    """

    heartbeat_ms: int = 150
    election_ms: int = 900
    beacon_ms: int = 500
    stale_ms: int = 2000
    lease_ms: int = 6000
    renew_ms: int = 2000
    drain_ms: int = 30_000
    linger_ms: int = 0
    quota_window_ms: int = 5000


class FoundingSettings(NamedTuple):
    """Settings with which a replica without a log founds its fleet.

    `allowed`
        Whether this replica may found the fleet; one that is added later, or
        lost its disk, waits to be admitted (default: True).
    `min_quorum`
        Minimum number of replicas that must store an accepted change, which
        also limits how many may be lost; 0 for a majority (default: 0).
    """

    allowed: bool = True
    min_quorum: int = 0


class RolloutSettings(NamedTuple):
    """Bounds of roll-outs.

    `exposed_percent`, `exposed_slack`
        Of the requests that a service gets between an order and its deadline,
        the share that a version may get before it is trusted, in percent, and
        requests beyond that share (default: 10, 0).
    """

    exposed_percent: int = 10
    exposed_slack: int = 0


class Settings(NamedTuple):
    """The settings with which a daemon starts.

    `fleet`, `instance`, `failure_domain`, `region`
        Names of the fleet, this instance and its location.
    `roles`
        The roles of this daemon.
    `secret`, `token`
        The fleet's secret and the operators' bearer token, read from their
        files; `token` is empty if no changes are accepted.
    `data_folder`
        Folder for the durable state; empty without the role replica.
    `replicas`, `relays`
        The instances with these roles, this one included.
    `statsd`
        Address of the statsd server; None to send no metrics.
    `log_file`, `log_level`
        File for log lines (empty: standard output) and the minimum level.
    `keeps_claims`
        Whether replicas store claims of requests with an idempotency key.
    `discovers_relays`
        Whether `replicas` and `relays` are only initial peers: the members of
        the replicated log act as relays.
    `rollouts`
        Bounds of roll-outs, on a replica.
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
    founding: FoundingSettings = FoundingSettings()
    keeps_claims: bool = True
    discovers_relays: bool = False
    rollouts: RolloutSettings = RolloutSettings()
