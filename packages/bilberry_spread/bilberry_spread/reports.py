"""Builds and applies reports of the versions that proxies run.

Relays send them to replicas. A report names only the proxies whose version
differs from the most common one, so that a change that reached every proxy
costs one small message per relay.
"""

from collections import Counter
from collections.abc import Mapping

from bilberry_core.messages.spread import DETACHED, VersionReport


def build_report(
    reported: Mapping[str, int],
    current: Mapping[str, int],
) -> VersionReport | None:
    """Returns the report of what changed; None if nothing did."""
    if reported == current:
        return None
    others = 0
    if current:
        others = Counter(current.values()).most_common(1)[0][0]
    named = {
        instance: version
        for instance, version in current.items()
        if version != others or instance not in reported
    }
    gone = reported.keys() - current.keys()
    named.update(dict.fromkeys(sorted(gone), DETACHED))
    return VersionReport(named, others)


def apply_report(
    known: Mapping[str, int], held: VersionReport
) -> dict[str, int]:
    """Returns the known versions with a report applied."""
    versions = dict(known)
    if held.others:
        versions = dict.fromkeys(known, held.others)
    versions.update(held.versions)
    return {
        instance: version
        for instance, version in versions.items()
        if version != DETACHED
    }
