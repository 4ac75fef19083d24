"""The operators' configuration: defaults, services, exceptions and routes.

A `Configuration` is an immutable value with one canonical encoding, so equal
configurations have equal digests on every instance.
"""

from hashlib import blake2b
from typing import NamedTuple

from msgpack import packb, unpackb
from msgspec import ValidationError, convert

from bilberry_core.error import ConfigurationError
from bilberry_core.organisation import Organisation
from bilberry_core.policy import CallPolicy, PolicyChange

#: Length of a content digest, in bytes.
DIGEST_BYTES = 8


class Service(NamedTuple):
    """A service that callers reach by any of its host names."""

    name: str
    hosts: tuple[str, ...] = ()


class RouteException(NamedTuple):
    """An override of the defaults, with the documented reason for it.

    `path_prefix` and `methods` narrow the exception; empty means all. If
    several match a request, the longest path prefix wins, then the one that
    names the method, then the first by name.
    """

    name: str
    service: str
    reason: str
    change: PolicyChange
    path_prefix: str = ''
    methods: tuple[str, ...] = ()


class Target(NamedTuple):
    """A service that a route leads to, and its share of the requests."""

    service: str
    weight: int = 1


class RoutingRule(NamedTuple):
    """The targets and the policy of requests to a host and path prefix.

    Of the matching rules of a host, the longest path prefix wins. Requests
    are distributed over `targets` in proportion to their weights.
    """

    name: str
    host: str
    path_prefix: str
    targets: tuple[Target, ...]
    change: PolicyChange = PolicyChange()


class Configuration(NamedTuple):
    """A fleet's configuration; entries of each kind are sorted by name."""

    defaults: CallPolicy = CallPolicy()
    services: tuple[Service, ...] = ()
    exceptions: tuple[RouteException, ...] = ()
    routes: tuple[RoutingRule, ...] = ()
    organisations: tuple[Organisation, ...] = ()


class AcceptedVersion(NamedTuple):
    """A configuration that a quorum of replicas has accepted.

    `version` only increases. `term` is the term of the leader that accepted
    it, and `digest` the digest of `configuration`.
    """

    version: int
    term: int
    digest: bytes
    configuration: Configuration


def encode_configuration(configuration: Configuration) -> bytes:
    """Returns the canonical encoding of a configuration.

    Without organisations it is what releases that know none encode.
    """
    if configuration.organisations:
        return packb(configuration)
    return packb(configuration[:-1])


def decode_configuration(encoded: bytes) -> Configuration:
    """Returns the configuration that `encoded` contains.

    Raises `ConfigurationError` if `encoded` is invalid.
    """
    try:
        return convert(unpackb(encoded, use_list=False), Configuration)
    except (ValueError, ValidationError) as error:
        raise ConfigurationError(
            f'invalid encoded configuration: {error}'
        ) from error


def compute_content_digest(content: bytes) -> bytes:
    """Returns the digest of an encoded configuration."""
    return blake2b(content, digest_size=DIGEST_BYTES).digest()


def compute_digest(configuration: Configuration) -> bytes:
    """Returns the digest of a configuration's canonical encoding."""
    return compute_content_digest(encode_configuration(configuration))
