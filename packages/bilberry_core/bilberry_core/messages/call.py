"""Messages of a request between two daemons (numbers 50 to 69).

The calls of a stream are identified by `call`, a number that the sender
chooses and never reuses on that stream.
"""

from typing import NamedTuple

from bilberry_core.bounds import Number, SignedNumber
from bilberry_core.messages.registry import message
from bilberry_core.policy import Priority
from bilberry_core.upstream_notice import UpstreamNotice
from bilberry_core.verdict import Failure

Headers = tuple[tuple[bytes, bytes], ...]


#: Allows any wait within the deadline, in milliseconds.
NO_WAIT_LIMIT_MS = 1 << 31


class Load(NamedTuple):
    """The load of an upstream, as measured by the daemon beside it.

    `latency_us` is a moving mean of the upstream's response times, `waited_us`
    the time for which this call waited for its slot, and its response for the
    link, both in microseconds.
    """

    outstanding: Number
    queued: Number
    slots: Number
    latency_us: Number
    waited_us: Number = 0


#: The load of an upstream that nothing is known of.
NO_LOAD = Load(0, 0, 0, 0)


@message(50)
class CallStart(NamedTuple):
    """Starts a request; `last` is set if its body is complete.

    `deadline_ms` is the time that remained when it was sent, in milliseconds.
    `suspect` requests were in flight at a crash and run alone. The call is
    rejected if it would wait for a slot for longer than `max_wait_ms`. `notice`
    is what the sender knows of the upstream from earlier responses.
    `response_bytes` is the usual size of the response if that is long, else 0.
    """

    call: Number
    service: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    last: bool
    deadline_ms: SignedNumber
    priority: Priority
    fingerprint: bytes = b''
    suspect: bool = False
    max_wait_ms: Number = NO_WAIT_LIMIT_MS
    notice: UpstreamNotice | None = None
    response_bytes: Number = 0


@message(51)
class CallChunk(NamedTuple):
    """A further part of a request's body."""

    call: Number
    body: bytes
    last: bool


@message(52)
class CallCancel(NamedTuple):
    """The caller no longer waits for the response."""

    call: Number


@message(53)
class Credit(NamedTuple):
    """The receiver of a body accepts `size` further bytes."""

    call: Number
    size: Number


@message(54)
class ReplyStart(NamedTuple):
    """Starts a response; `last` is set if its body is complete.

    `notice` is what the upstream says of itself, None if it says nothing.
    `served_us` is the time from the request to the upstream until its response
    began, in microseconds; 0 if unknown.
    """

    call: Number
    status: SignedNumber
    headers: Headers
    body: bytes
    last: bool
    load: Load
    notice: UpstreamNotice | None = None
    served_us: Number = 0


@message(55)
class ReplyChunk(NamedTuple):
    """A further part of a response's body."""

    call: Number
    body: bytes
    last: bool


@message(56)
class CallFailed(NamedTuple):
    """Ends a call without a response, or cuts off a response that has begun.

    `weight` is that of the suspect if the upstream crashed. `notice` is what
    the upstream says of itself, None if the sender knows of nothing.
    """

    call: Number
    failure: Failure
    load: Load
    weight: Number = 1
    notice: UpstreamNotice | None = None


@message(57)
class GoAway(NamedTuple):
    """The sender drains: it accepts no new calls and finishes open ones."""


@message(58)
class CallProbe(NamedTuple):
    """Asks whether the upstream of a waiting call responds to other calls.

    It does not if it has been silent for `silence_ms`. The daemon beside it
    replies in either case, so that the caller can distinguish a silent daemon
    from a silent upstream.
    """

    call: Number
    silence_ms: Number


@message(59)
class CallAlive(NamedTuple):
    """Replies to a probe; `alive` is set if the upstream responds."""

    call: Number
    alive: bool = True


@message(60)
class SliceReceived(NamedTuple):
    """A part of a response that is sent in several messages has arrived."""

    call: Number


@message(61)
class SlotRequest(NamedTuple):
    """Asks for a slot for a request that is sent once a slot is offered.

    The reply is a `SlotOffer`, at once or later, or a `SlotRefused`: at once if
    no slot is expected within `max_wait_ms`, else after that time. `is_late`
    tells that the request can't meet its target latency any more.
    `response_bytes` is described at `CallStart`.
    """

    call: Number
    service: str
    priority: Priority
    max_wait_ms: Number
    is_late: bool = False
    response_bytes: Number = 0


@message(62)
class SlotOffer(NamedTuple):
    """Keeps a slot for a short time, for the `CallStart` of this call."""

    call: Number


@message(63)
class SlotRefused(NamedTuple):
    """Ends a request for a slot, or an offer that was not taken in time.

    It says nothing of a `CallStart` of this call that it crosses. `notice` is
    what the upstream says of itself, None if the sender knows of nothing.
    """

    call: Number
    failure: Failure
    load: Load
    notice: UpstreamNotice | None = None


@message(64)
class CallerStops(NamedTuple):
    """The daemon that opened the calls ends its graceful stop in `left_ms`.

    Responses that reach it later are lost, so they precede others.
    """

    left_ms: Number
