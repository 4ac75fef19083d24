"""Roll-outs: a new version of a service takes over its requests by steps.

An operator orders a roll-out, and the leader of the replicas moves it step by
step. Orders and steps are entries of the replicated log, so that a new leader
goes on where the last one stood.
"""

from enum import StrEnum
from typing import Any, NamedTuple

from msgpack import packb, unpackb
from msgspec import ValidationError, convert

from bilberry_core.bounds import SignedNumber
from bilberry_core.error import ConfigurationError

#: All requests of a service, in parts per million.
WHOLE_PPM = 1_000_000


class RolloutState(StrEnum):
    """The state of a roll-out."""

    #: A share of the requests goes to the new version.
    RUNNING = 'running'
    #: All requests go to the new version, the old one finishes its own.
    COMPLETING = 'completing'
    #: The old version gets no requests and runs none.
    COMPLETED = 'completed'
    #: The new version gets no requests.
    ROLLED_BACK = 'rolled_back'


#: States in which the leader goes on to decide.
OPEN_STATES = frozenset((RolloutState.RUNNING, RolloutState.COMPLETING))


class Rollout(NamedTuple):
    """The newest roll-out of one service.

    `version`
        The version of the upstreams that take over.
    `share_ppm`, `upstreams`
        Share of the service's requests that go to that version, in parts per
        million, and the number of its upstreams that get them; 0 for all.
    `started_ms`, `duration_ms`
        Wall clock time of the order, and the time within which it is to be
        completed, in milliseconds.
    `changed_ms`, `reason`
        Wall clock time of the newest step, and why it was made.
    `number`
        The number of the table that this step made.
    """

    service: str
    version: str
    duration_ms: SignedNumber
    state: RolloutState = RolloutState.RUNNING
    share_ppm: SignedNumber = 0
    upstreams: SignedNumber = 0
    started_ms: SignedNumber = 0
    changed_ms: SignedNumber = 0
    number: SignedNumber = 0
    reason: str = ''

    @property
    def is_open(self) -> bool:
        """Whether the roll-out is neither completed nor rolled back."""
        return self.state in OPEN_STATES

    def is_retired(self, version: str, incarnation: int) -> bool:
        """Returns whether an upstream must get no requests any more.

        `incarnation` is that of its endpoint. An upstream that starts after
        the roll-out was completed is not retired, whatever its version.
        """
        if self.state is RolloutState.ROLLED_BACK:
            return version == self.version
        if self.state is RolloutState.COMPLETING:
            return version != self.version
        if self.state is RolloutState.COMPLETED:
            return version != self.version and incarnation <= self.changed_ms
        return False


class RolloutTable(NamedTuple):
    """The newest roll-out of each service that had one.

    `number` increases with each order and each step.
    """

    number: SignedNumber = 0
    rollouts: tuple[Rollout, ...] = ()

    def find(self, service: str) -> Rollout | None:
        """Returns the newest roll-out of a service, or None."""
        for rollout in self.rollouts:
            if rollout.service == service:
                return rollout
        return None

    def is_retired(self, service: str, version: str, incarnation: int) -> bool:
        """Returns whether an upstream must get no requests any more."""
        rollout = self.find(service)
        return rollout is not None and rollout.is_retired(version, incarnation)


class RolloutOrder(NamedTuple):
    """An operator's order to move a service to another version."""

    service: str
    version: str
    duration_ms: SignedNumber


class RolloutStep(NamedTuple):
    """The next step of a roll-out, on top of the one with `number`."""

    service: str
    number: SignedNumber
    state: RolloutState
    share_ppm: SignedNumber = 0
    upstreams: SignedNumber = 0
    reason: str = ''


class RouteEvidence(NamedTuple):
    """Responses of an upstream of one version of a service on one route.

    `bad` are failures, and responses that took several times as long as
    usual; they are also in `answers`.
    """

    service: str
    route: str
    version: str
    answers: SignedNumber
    bad: SignedNumber
    upstream: str = ''


class IdleUpstream(NamedTuple):
    """A retired upstream gets no requests and runs none.

    `number` is that of the step that retired it.
    """

    instance: str
    number: SignedNumber


class RolloutReport(NamedTuple):
    """What one or several proxies saw of open roll-outs since their last one.

    A lost report is never repeated: no share grows without evidence.
    """

    evidence: tuple[RouteEvidence, ...] = ()
    idle: tuple[IdleUpstream, ...] = ()


RolloutChange = RolloutOrder | RolloutStep

_KINDS = (RolloutOrder, RolloutStep)


def encode_rollout_change(change: RolloutChange) -> bytes:
    """Encodes an order or a step for the log."""
    return packb((_KINDS.index(type(change)), *change))


def decode_rollout_change(encoded: bytes) -> RolloutChange:
    """Decodes an order or a step; raises `ConfigurationError`."""
    try:
        number, *fields = convert(
            unpackb(encoded, use_list=False), tuple[Any, ...]
        )
        return convert(fields, _KINDS[range(len(_KINDS)).index(number)])
    except (ValueError, ValidationError) as error:
        raise ConfigurationError(f'invalid roll-out: {error}') from error
