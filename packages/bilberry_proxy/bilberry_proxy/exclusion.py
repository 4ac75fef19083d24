"""Explains why a proxy sends no calls to an endpoint that is ready."""

from collections.abc import Collection

from bilberry_core.clock import Clock
from bilberry_core.endpoint import Endpoint

from bilberry_proxy.endpoint_load import SLOW_START_MS, EndpointLoad


def get_exclusion_reason(
    subset: Collection[Endpoint],
    endpoint: Endpoint,
    load: EndpointLoad,
    clock: Clock,
) -> str:
    """Returns why a proxy excludes an endpoint; empty if it does not.

    `subset` are the endpoints of the service that the proxy calls.
    """
    if endpoint not in subset:
        return 'not in the subset of endpoints that this proxy calls'
    if load.is_leaving:
        return 'its upstream said that it is leaving'
    now = clock.now()
    if load.ejected_until > now:
        return f'ejected for {load.ejected_until - now:.1f} s after failures'
    if load.shed_until > now:
        return f'shedding for {load.shed_until - now:.1f} s'
    if clock.wall_ms() - endpoint.since_ms < SLOW_START_MS:
        return 'in slow start: it gets only a share of its calls'
    return ''
