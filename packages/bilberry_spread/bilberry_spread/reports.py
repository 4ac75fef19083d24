"""Reports of the versions that proxies run, from relays upwards.

A report names only what differs from the most common version, so that a
change that reached every proxy costs one small message a relay.
"""

from collections import Counter
from collections.abc import Mapping

from bilberry_core.messages.spread import DETACHED, VersionReport


def build_report(
    reported: Mapping[str, int],
    current: Mapping[str, int],
) -> VersionReport | None:
    """Returns what was not reported yet; None where nothing changed."""
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
    """Returns the versions known after a report."""
    versions = dict(known)
    if held.others:
        versions = dict.fromkeys(known, held.others)
    versions.update(held.versions)
    return {
        instance: version
        for instance, version in versions.items()
        if version != DETACHED
    }
