"""Checks the rules that relate the routes of a configuration.

The targets of a route are declared services, at least one of its weights is
above 0, and no two routes of one host have the same path prefix.
"""

from collections.abc import Container
from typing import Any

from bilberry_core.problem import Report, shorten
from bilberry_core.schema import join_key


def check_routes(
    fields: dict[str, Any] | None,
    services: Container[object],
    report: Report,
) -> None:
    """Reports every violated rule.

    `fields` are those of the whole configuration, None if they could not be
    read; routes with problems of their own are skipped.
    """
    routes = (fields or {}).get('routes') or {}
    names_by_match: dict[tuple[str, str], str] = {}
    for name, route in routes.items():
        if route is not None:
            key = join_key('routes', name)
            _check_targets(route['targets'], services, key, report)
            match = (route['host'], route['path_prefix'])
            owner = names_by_match.setdefault(match, name)
            if owner != name:
                report.add(
                    key,
                    f'route {shorten(owner)} has the same host and path prefix',
                )


def _check_targets(
    targets: dict[str, int],
    services: Container[object],
    key: str,
    report: Report,
) -> None:
    for service in targets:
        if service not in services:
            report.add(
                f'{key}.targets',
                f'expected a declared service, got {shorten(service)}',
            )
    if not any(targets.values()):
        report.add(f'{key}.targets', 'expected a weight above 0')
