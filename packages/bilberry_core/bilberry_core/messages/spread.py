"""Messages that spread configurations and endpoints (numbers 30 to 49).

Between a relay and the proxies attached to it, and between relays.
"""

from typing import NamedTuple

from bilberry_core.board import Beacon, ClaimEpoch, Suspect
from bilberry_core.configuration import (
    RouteException,
    RoutingRule,
    Service,
)
from bilberry_core.endpoint import Endpoint
from bilberry_core.messages.registry import message
from bilberry_core.policy import CallPolicy

#: Stands for the version of an instance that is no longer attached.
DETACHED = -1


@message(30)
class Subscribe(NamedTuple):
    """A receiver says who it is and what it holds.

    `version` and `digest` name the configuration held (0 and empty for
    none). `services` are those whose endpoints it wants; `every_service` is
    for relays, which want all.
    """

    instance: str
    failure_domain: str
    version: int
    digest: bytes
    services: tuple[str, ...] = ()
    every_service: bool = False


@message(31)
class Busy(NamedTuple):
    """The relay admits no more receivers now; come back later."""

    retry_after_ms: int


@message(32)
class ConfigurationSnapshot(NamedTuple):
    """A whole accepted configuration, in its canonical encoding."""

    version: int
    term: int
    digest: bytes
    content: bytes


@message(33)
class ConfigurationDelta(NamedTuple):
    """The difference between two accepted configurations.

    Applies only to `base_version` with `base_digest`, and must result in
    `digest`; otherwise the receiver asks for a snapshot.
    """

    base_version: int
    base_digest: bytes
    version: int
    term: int
    digest: bytes
    defaults: CallPolicy | None
    services: tuple[Service, ...] = ()
    services_removed: tuple[str, ...] = ()
    exceptions: tuple[RouteException, ...] = ()
    exceptions_removed: tuple[str, ...] = ()
    routes: tuple[RoutingRule, ...] = ()
    routes_removed: tuple[str, ...] = ()


@message(34)
class SnapshotRequest(NamedTuple):
    """The receiver can't use a delta and asks for a snapshot."""

    version: int
    digest: bytes


@message(35)
class BeaconUpdate(NamedTuple):
    """The newest beacon that the sender has seen."""

    beacon: Beacon


@message(36)
class VersionReport(NamedTuple):
    """A receiver runs this version; relays report it upwards in batches.

    `versions` maps instances to versions, or to `DETACHED`. `others` is the
    version of every instance that was named before on this stream and is not
    named now; 0 for no change.
    """

    versions: dict[str, int]
    others: int = 0


class EndpointKey(NamedTuple):
    """Names one record of one endpoint."""

    instance: str
    incarnation: int
    sequence: int


@message(37)
class EndpointUpdate(NamedTuple):
    """Endpoint records; `complete` lists services whose set is whole.

    `lapsed` names records whose lease ended at the sender. Between relays
    `attached` holds, for each record, the time at which its writer attached
    to the sender, in milliseconds of the writer's wall clock, and `moved`
    names records that another relay vouches for now: the receiver may not
    have heard so from that one yet.
    """

    endpoints: tuple[Endpoint, ...]
    complete: tuple[str, ...] = ()
    lapsed: tuple[EndpointKey, ...] = ()
    attached: tuple[int, ...] = ()
    moved: tuple[EndpointKey, ...] = ()


@message(38)
class Announce(NamedTuple):
    """The daemon beside an upstream announces it or renews its lease.

    `attached` is the time at which the writer attached to this relay, in
    milliseconds of its wall clock; it grows from relay to relay.
    """

    endpoint: Endpoint
    attached: int = 0


@message(39)
class EndpointRequest(NamedTuple):
    """A proxy asks for the endpoints of further services."""

    services: tuple[str, ...]


@message(40)
class SuspectUpdate(NamedTuple):
    """Requests that were in flight when upstreams crashed."""

    suspects: tuple[Suspect, ...]


@message(41)
class EpochUpdate(NamedTuple):
    """The claim holders that the replicated log agreed on."""

    epoch: ClaimEpoch


@message(42)
class Renew(NamedTuple):
    """Renews the lease of a record that the relay already has."""

    instance: str
    incarnation: int
    sequence: int
