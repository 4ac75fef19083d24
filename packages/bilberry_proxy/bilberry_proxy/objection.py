"""Why a proxy passes over an endpoint that says it is ready."""

from bilberry_core.clock import Clock
from bilberry_core.endpoint import Endpoint
from bilberry_core.snapshot import Snapshot

from bilberry_proxy.endpoint_load import SLOW_START_MS, EndpointLoad
from bilberry_proxy.selection import select_ready


def find_objection(
    snapshot: Snapshot,
    instance: str,
    endpoint: Endpoint,
    load: EndpointLoad,
    clock: Clock,
) -> str:
    """Returns why `instance` passes an endpoint over; empty if it does not."""
    route = snapshot.routes[endpoint.service]
    if endpoint not in select_ready(route.endpoints, instance):
        return 'not in the subset of endpoints that this proxy calls'
    now = clock.now()
    if load.ejected_until > now:
        return f'ejected for {load.ejected_until - now:.1f} s after failures'
    if load.shed_until > now:
        return f'shedding for {load.shed_until - now:.1f} s'
    if clock.wall_ms() - endpoint.since_ms < SLOW_START_MS:
        return 'in slow start: it gets a share of its calls'
    return ''
