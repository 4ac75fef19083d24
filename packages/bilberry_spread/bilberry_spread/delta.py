"""Builds and applies differences between two accepted configurations.

A delta names its base by version and digest, and the digest that must result.
If the base or the result does not match, the outcome is a `Failure` and
nothing is applied.
"""

from collections.abc import Iterable
from typing import Any

from bilberry_core.configuration import (
    AcceptedVersion,
    Configuration,
    compute_digest,
    decode_configuration,
    encode_configuration,
)
from bilberry_core.error import ConfigurationError
from bilberry_core.messages.spread import (
    ConfigurationDelta,
    ConfigurationSnapshot,
)
from returns.result import Failure, Result, Success


def build_snapshot_message(accepted: AcceptedVersion) -> ConfigurationSnapshot:
    """Returns the message that carries a whole configuration."""
    return ConfigurationSnapshot(
        accepted.version,
        accepted.term,
        accepted.digest,
        encode_configuration(accepted.configuration),
    )


def read_snapshot_message(
    received: ConfigurationSnapshot,
) -> Result[AcceptedVersion, str]:
    """Returns the configuration in a message, or why it is invalid."""
    try:
        configuration = decode_configuration(received.content)
    except ConfigurationError as error:
        return Failure(str(error))
    return _check(received, configuration)


def build_delta(
    base: AcceptedVersion,
    target: AcceptedVersion,
) -> ConfigurationDelta:
    """Returns the delta that turns `base` into `target`."""
    old = base.configuration
    new = target.configuration
    return ConfigurationDelta(
        base_version=base.version,
        base_digest=base.digest,
        version=target.version,
        term=target.term,
        digest=target.digest,
        defaults=None if old.defaults == new.defaults else new.defaults,
        services=_find_changed(old.services, new.services),
        services_removed=_find_removed(old.services, new.services),
        exceptions=_find_changed(old.exceptions, new.exceptions),
        exceptions_removed=_find_removed(old.exceptions, new.exceptions),
        routes=_find_changed(old.routes, new.routes),
        routes_removed=_find_removed(old.routes, new.routes),
        organisations=_find_changed(old.organisations, new.organisations),
        organisations_removed=_find_removed(
            old.organisations, new.organisations
        ),
    )


def apply_delta(
    held: AcceptedVersion | None,
    delta: ConfigurationDelta,
) -> Result[AcceptedVersion, str]:
    """Returns the resulting configuration, or why it can't be applied."""
    if held is None:
        return Failure('there is no configuration to apply the delta to')
    if (held.version, held.digest) != (delta.base_version, delta.base_digest):
        return Failure(
            f'the delta applies to version {delta.base_version}, '
            f'current is version {held.version}',
        )
    old = held.configuration
    configuration = Configuration(
        old.defaults if delta.defaults is None else delta.defaults,
        _merge(old.services, delta.services, delta.services_removed),
        _merge(old.exceptions, delta.exceptions, delta.exceptions_removed),
        _merge(old.routes, delta.routes, delta.routes_removed),
        _merge(
            old.organisations,
            delta.organisations,
            delta.organisations_removed,
        ),
    )
    return _check(delta, configuration)


def _check(
    received: ConfigurationDelta | ConfigurationSnapshot,
    configuration: Configuration,
) -> Result[AcceptedVersion, str]:
    if compute_digest(configuration) != received.digest:
        return Failure(f'digest of version {received.version} does not match')
    return Success(
        AcceptedVersion(
            received.version,
            received.term,
            received.digest,
            configuration,
        ),
    )


def _find_changed(old: Iterable[Any], new: Iterable[Any]) -> tuple[Any, ...]:
    known = set(old)
    return tuple(entry for entry in new if entry not in known)


def _find_removed(old: Iterable[Any], new: Iterable[Any]) -> tuple[str, ...]:
    kept = {entry.name for entry in new}
    return tuple(entry.name for entry in old if entry.name not in kept)


def _merge(
    old: Iterable[Any],
    changed: Iterable[Any],
    removed: Iterable[str],
) -> tuple[Any, ...]:
    by_name = {entry.name: entry for entry in old}
    by_name.update((entry.name, entry) for entry in changed)
    for old_name in removed:
        by_name.pop(old_name, None)
    return tuple(by_name[name] for name in sorted(by_name))
