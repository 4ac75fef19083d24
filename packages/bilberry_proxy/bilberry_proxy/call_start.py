"""Builds the message that starts a call."""

from bilberry_core.clock import MS_PER_S
from bilberry_core.messages.call import CallStart

from bilberry_proxy.plan import Plan
from bilberry_proxy.request_body import BodyStart


def build_call_start(  # noqa: WPS211 - what a call is made of
    plan: Plan,
    body: BodyStart,
    fingerprint: bytes,
    now: float,
    tried: bool,
    suspect: bool,
    retried_header: bytes,
    max_wait_ms: int,
) -> CallStart:
    """Returns the message that starts an attempt at `now`, in seconds.

    `tried` tells whether an earlier attempt was made, `suspect` whether the
    request is suspected of crashing upstreams. `retried_header` is the name
    of the header that marks a retry; if empty, no header is added.
    `max_wait_ms` is the longest time that the call may wait for a slot.
    """
    request = plan.request
    headers = request.headers
    if retried_header and (tried or request.retried):
        headers = (*headers, (retried_header, b'1'))
    remaining_ms = int((plan.deadline - now) * MS_PER_S)
    return CallStart(
        0,
        plan.service,
        request.method,
        request.target,
        headers,
        body.content,
        body.last,
        max(remaining_ms, 1),
        plan.priority,
        fingerprint,
        suspect,
        max_wait_ms,
    )
