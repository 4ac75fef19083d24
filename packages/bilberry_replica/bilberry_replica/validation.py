"""Checks of a configuration's content before it is proposed."""

from collections import Counter

from bilberry_core.configuration import (
    Configuration,
    decode_configuration,
    encode_configuration,
)
from bilberry_core.error import ConfigurationError

#: Largest encoded configuration, in bytes.
MAX_CONTENT_BYTES = 1 << 20


def validate_content(content: bytes) -> list[str]:
    """Returns everything that is wrong with an encoded configuration."""
    if len(content) > MAX_CONTENT_BYTES:
        return [f'content has {len(content)} bytes, most {MAX_CONTENT_BYTES}']
    try:
        configuration = decode_configuration(content)
    except ConfigurationError as error:
        return [str(error)]
    errors = [*_check_services(configuration), *_check_rules(configuration)]
    if not errors and encode_configuration(configuration) != content:
        errors.append('content is not in its canonical encoding')
    return errors


def _check_services(configuration: Configuration) -> list[str]:
    names = [service.name for service in configuration.services]
    errors = _check_order('service', names)
    if not all(name.strip() for name in names):
        errors.append('a service has a blank name')
    owners: dict[str, str] = {}
    for name, host in _list_hosts(configuration):
        owner = owners.setdefault(host, name)
        if owner != name:
            errors.append(
                f'host "{host}" belongs to services "{owner}" and "{name}"',
            )
    return errors


def _list_hosts(configuration: Configuration) -> list[tuple[str, str]]:
    return [
        (service.name, host)
        for service in configuration.services
        for host in (service.name, *service.hosts)
    ]


def _check_rules(configuration: Configuration) -> list[str]:
    declared = {service.name for service in configuration.services}
    names = [rule.name for rule in configuration.exceptions]
    errors = _check_order('exception', names)
    for name, service, reason, *_ in configuration.exceptions:
        if service not in declared:
            errors.append(
                f'exception "{name}" names service "{service}", '
                + 'which is not declared',
            )
        if not reason.strip():
            errors.append(f'exception "{name}" has no reason')
    return errors


def _check_order(kind: str, names: list[str]) -> list[str]:
    errors = [
        f'{kind} "{name}" is declared more than once'
        for name, count in sorted(Counter(names).items())
        if count > 1
    ]
    if names != sorted(names):
        errors.append(f'each {kind} must be sorted by name')
    return errors
