"""Rules between the routes of a configuration.

A route leads to declared services, some of its weight counts, and no two
routes of one host share a path prefix.
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
    """Reports every rule that the routes read do not meet.

    `fields` are those of the whole configuration, None where they could not
    be read; routes with problems of their own are passed over.
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
                report.add(key, f'route {shorten(owner)} has the same place')


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
