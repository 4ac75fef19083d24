"""Messages of a request between two daemons (numbers 50 to 69).

Calls of one stream are told apart by `call`, a number that the sender picks
and never reuses on that stream.
"""

from typing import NamedTuple

from bilberry_core.messages.registry import message
from bilberry_core.policy import Priority
from bilberry_core.verdict import Failure

Headers = tuple[tuple[bytes, bytes], ...]


#: Stands for any wait within the deadline, in milliseconds.
NO_WAIT_LIMIT_MS = 1 << 31


class Load(NamedTuple):
    """How busy an upstream is, as the daemon beside it sees it.

    `latency_us` is a moving mean of the upstream's answers, `waited_us` the
    time for which this call waited for its slot, both in microseconds.
    """

    outstanding: int
    queued: int
    slots: int
    latency_us: int
    waited_us: int = 0


@message(50)
class CallStart(NamedTuple):
    """A request begins; `last` where its body is complete.

    `deadline_ms` is the time left, in milliseconds, when it was sent.
    `suspect` requests were in flight at a crash and run alone. The call is
    refused where it would wait for a slot for longer than `max_wait_ms`.
    """

    call: int
    service: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    last: bool
    deadline_ms: int
    priority: Priority
    fingerprint: bytes = b''
    suspect: bool = False
    max_wait_ms: int = NO_WAIT_LIMIT_MS


@message(51)
class CallChunk(NamedTuple):
    """More of a request's body."""

    call: int
    body: bytes
    last: bool


@message(52)
class CallCancel(NamedTuple):
    """The caller no longer waits for the answer."""

    call: int


@message(53)
class Credit(NamedTuple):
    """The receiver of a body can take this many further bytes."""

    call: int
    size: int


@message(54)
class ReplyStart(NamedTuple):
    """An answer begins; `last` where its body is complete."""

    call: int
    status: int
    headers: Headers
    body: bytes
    last: bool
    load: Load


@message(55)
class ReplyChunk(NamedTuple):
    """More of an answer's body."""

    call: int
    body: bytes
    last: bool


@message(56)
class CallFailed(NamedTuple):
    """The call ends without an answer, or an answer that began is cut.

    `weight` is that of the suspect where the upstream crashed.
    """

    call: int
    failure: Failure
    load: Load
    weight: int = 1


@message(57)
class GoAway(NamedTuple):
    """The sender drains: no new calls on this stream, the open ones end."""


@message(58)
class CallProbe(NamedTuple):
    """Asks whether the upstream that a call waits for answers others.

    It does not where it has been silent for `silence_ms`. The daemon beside
    it answers in any case, so that its own silence can be told apart.
    """

    call: int
    silence_ms: int


@message(59)
class CallAlive(NamedTuple):
    """Answers a probe; `alive` tells whether the upstream answers others."""

    call: int
    alive: bool = True
