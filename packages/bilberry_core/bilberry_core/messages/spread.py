"""Messages that distribute configurations and endpoints (numbers 30 to 49).

Relays exchange them with the proxies attached to them and with other relays.
"""

from typing import Annotated, NamedTuple

from msgspec import Meta

from bilberry_core.board import Beacon, ClaimEpoch, Suspect
from bilberry_core.bounds import Name, Number, SignedNumber
from bilberry_core.configuration import (
    RouteException,
    RoutingRule,
    Service,
)
from bilberry_core.endpoint import Endpoint
from bilberry_core.messages.registry import message
from bilberry_core.messages.salvage import RecordField
from bilberry_core.organisation import Organisation
from bilberry_core.policy import CallPolicy
from bilberry_core.rollout import RolloutReport, RolloutTable
from bilberry_core.upstream_notice import UpstreamIdentity

#: Reported in place of a version for an instance that is no longer attached.
DETACHED = -1
#: Longest time after which a relay may ask a receiver to return.
MAX_RETRY_AFTER_MS = 3_600_000


@message(30)
class Subscribe(NamedTuple):
    """Subscribes a receiver and reports its current configuration.

    `version` and `digest` identify that configuration (0 and empty for none).
    `services` are those whose endpoints it requests; `every_service` is for
    relays, which request all. `is_standby` says that the receiver is attached
    elsewhere. Until it sends `Attach` it needs no endpoints, fewer beacons, and
    only the versions that it does not report soon after they were accepted.
    """

    instance: str
    failure_domain: str
    version: SignedNumber
    digest: bytes
    services: tuple[str, ...] = ()
    every_service: bool = False
    is_standby: bool = False


@message(31)
class Busy(NamedTuple):
    """The relay accepts no more receivers now; retry later."""

    retry_after_ms: Annotated[int, Meta(ge=0, le=MAX_RETRY_AFTER_MS)]


@message(32)
class ConfigurationSnapshot(NamedTuple):
    """A whole accepted configuration, in its canonical encoding."""

    version: SignedNumber
    term: SignedNumber
    digest: bytes
    content: bytes


@message(33)
class ConfigurationDelta(NamedTuple):
    """The difference between two accepted configurations.

    Applies only to `base_version` with `base_digest`, and must result in
    `digest`; otherwise the receiver asks for a snapshot.
    """

    base_version: SignedNumber
    base_digest: bytes
    version: SignedNumber
    term: SignedNumber
    digest: bytes
    defaults: CallPolicy | None
    services: tuple[Service, ...] = ()
    services_removed: tuple[str, ...] = ()
    exceptions: tuple[RouteException, ...] = ()
    exceptions_removed: tuple[str, ...] = ()
    routes: tuple[RoutingRule, ...] = ()
    routes_removed: tuple[str, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    organisations_removed: tuple[str, ...] = ()


@message(34)
class SnapshotRequest(NamedTuple):
    """The receiver can't apply a delta and asks for a snapshot."""

    version: SignedNumber
    digest: bytes


@message(35)
class BeaconUpdate(NamedTuple):
    """The newest beacon that the sender has seen."""

    beacon: Beacon


@message(36)
class VersionReport(NamedTuple):
    """The versions that receivers run; relays forward them in batches.

    `versions` maps instances to versions, or to `DETACHED`. `others` is the
    version of every instance that an earlier report on this stream names and
    this one doesn't; 0 for no change. A standby reports the version that it
    has received elsewhere.
    """

    versions: dict[str, SignedNumber]
    others: SignedNumber = 0


class EndpointKey(NamedTuple):
    """Identifies one record of one endpoint."""

    instance: Name
    incarnation: Number
    sequence: Number


@message(
    37,
    records=(
        RecordField('endpoints', beside='attached'),
        RecordField('lapsed'),
        RecordField('moved'),
    ),
)
class EndpointUpdate(NamedTuple):
    """Endpoint records; `complete` lists services with all records sent.

    `lapsed` lists records whose lease expired at the sender. Between relays
    `attached` holds, for each record, the time at which its writer attached
    to the sender, in milliseconds of the writer's wall clock, and `moved`
    lists records whose writer is attached to another relay now: the receiver
    may not have received them from that relay yet.
    """

    endpoints: tuple[Endpoint, ...]
    complete: tuple[str, ...] = ()
    lapsed: tuple[EndpointKey, ...] = ()
    attached: tuple[Number, ...] = ()
    moved: tuple[EndpointKey, ...] = ()


@message(38, is_record=True)
class EndpointAnnouncement(NamedTuple):
    """The daemon beside an upstream announces it or renews its lease.

    `attached` is the time at which the writer attached to this relay, in
    milliseconds of its wall clock; it increases with each attachment.
    `upstream` is the start of the upstream that announced itself, and
    `announced` the number of its newest announcement.
    """

    endpoint: Endpoint
    attached: Number = 0
    upstream: UpstreamIdentity = UpstreamIdentity()
    announced: Number = 0


@message(39)
class EndpointRequest(NamedTuple):
    """Asks a relay for the endpoints of further services."""

    services: tuple[str, ...]


@message(40, records=(RecordField('suspects'),))
class SuspectUpdate(NamedTuple):
    """Requests that were in flight when upstreams crashed."""

    suspects: tuple[Suspect, ...]


@message(41)
class EpochUpdate(NamedTuple):
    """The claim holders that the replicated log agreed on."""

    epoch: ClaimEpoch


@message(42, is_record=True)
class LeaseRenewal(NamedTuple):
    """Renews the lease of a record that the relay already has."""

    instance: str
    incarnation: SignedNumber
    sequence: SignedNumber


@message(43)
class Attach(NamedTuple):
    """The receiver, a standby until now, is attached to this relay."""


@message(44)
class RolloutUpdate(NamedTuple):
    """The roll-outs that the replicated log agreed on."""

    table: RolloutTable


@message(45)
class RolloutReportUpdate(NamedTuple):
    """What proxies saw of open roll-outs; relays forward the sum."""

    report: RolloutReport


@message(46, records=(RecordField('upstreams'),))
class DepartureUpdate(NamedTuple):
    """Starts of upstreams that have left and must not be announced again.

    A daemon sends those that were beside it, a relay those that it heard of.
    """

    upstreams: tuple[UpstreamIdentity, ...]
