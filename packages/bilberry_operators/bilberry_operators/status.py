"""Builds the status document: the fleet as one daemon sees it."""

from collections.abc import Mapping
from typing import Any

from bilberry_core.board import Board
from bilberry_core.endpoint import Endpoint
from bilberry_core.quota import QuotaStatus
from bilberry_core.settings import Settings
from bilberry_core.traffic import Traffic

from bilberry_operators.lag import collect_versions


def build_status(
    settings: Settings,
    board: Board,
    behind_since: Mapping[str, float],
    now: float,
) -> dict[str, Any]:
    """Returns the state of the fleet as this daemon sees it.

    `behind_since` maps each lagging proxy to the time at which it fell behind.
    These times and `now` are monotonic, in seconds.
    """
    accepted = board.accepted.value
    snapshot = board.snapshot.value
    versions = collect_versions(settings, board)
    stale_since = board.stale_since.value
    return {
        'instance': settings.instance,
        'failure_domain': settings.failure_domain,
        'roles': sorted(settings.roles),
        'phase': board.phase.value,
        'accepted_version': accepted.version if accepted else 0,
        'running_version': snapshot.version if snapshot else 0,
        'stale_s': _compute_elapsed_s(stale_since, now),
        'beacon': _describe(board.beacon.value),
        'replica': _describe(board.replica.value),
        'claim_epoch': _describe_epoch(board),
        'proxies': [
            {
                'instance': instance,
                'version': version,
                'behind_s': _compute_elapsed_s(behind_since.get(instance), now),
            }
            for instance, version in sorted(versions.items())
        ],
        'quotas': _describe_quotas(board.quotas.value),
        'traffic': _describe_traffic(board.traffic),
        'services': group_endpoints(board.endpoints.value.values()),
    }


def group_endpoints(endpoints: Any) -> dict[str, dict[str, list[str]]]:
    """Returns the instances of each service, grouped by state."""
    grouped: dict[str, dict[str, list[str]]] = {}
    for endpoint in sorted(endpoints, key=_get_sort_key):
        states = grouped.setdefault(endpoint.service, {})
        states.setdefault(str(endpoint.state), []).append(endpoint.instance)
    return grouped


def _get_sort_key(endpoint: Endpoint) -> tuple[str, str]:
    return endpoint.service, endpoint.instance


def _describe_quotas(status: QuotaStatus | None) -> dict[str, Any] | None:
    if status is None:
        return None
    uses = {use.organisation: use._asdict() for use in status.uses}
    return {**status._asdict(), 'uses': uses}


def _describe_epoch(board: Board) -> dict[str, Any] | None:
    epoch = board.claim_epoch.value
    if epoch is None:
        return None
    return {
        'epoch': epoch.epoch,
        'holders': [holder.instance for holder in epoch.holders],
        'handing_over': [holder.instance for holder in epoch.previous],
        'caught_up': board.holds_claims.value,
    }


def _describe_traffic(traffic: Traffic) -> dict[str, dict[str, int]]:
    readings = traffic.read().items()
    return {str(purpose): reading._asdict() for purpose, reading in readings}


def _compute_elapsed_s(since: float | None, now: float) -> float | None:
    return None if since is None else round(max(now - since, 0), 3)


def _describe(record: Any) -> dict[str, Any] | None:
    return None if record is None else record._asdict()
