"""Builds the message that begins a call."""

from bilberry_core.clock import MS_PER_S
from bilberry_core.messages.call import CallStart

from bilberry_proxy.http_headers import RETRIED
from bilberry_proxy.plan import Plan
from bilberry_proxy.request_body import RequestBody

_RETRIED_HEADER = (RETRIED, b'1')


def build_call_start(
    plan: Plan,
    body: RequestBody,
    fingerprint: bytes,
    now: float,
    tried: bool,
    suspect: bool,
) -> CallStart:
    """Returns the message that begins an attempt at `now`, in seconds.

    `tried` tells whether there was an attempt before, `suspect` whether
    something is held against the request.
    """
    request = plan.request
    headers = request.headers
    if tried or request.retried:
        headers = (*headers, _RETRIED_HEADER)
    left_ms = int((plan.deadline - now) * MS_PER_S)
    return CallStart(
        0,
        plan.service,
        request.method,
        request.target,
        headers,
        body.kept,
        body.is_whole,
        max(left_ms, 1),
        plan.decision.policy.priority,
        fingerprint,
        suspect,
    )
