"""Converts configurations to the mappings that are written as YAML or JSON."""

from typing import Any

from bilberry_core.configuration import (
    Configuration,
    RouteException,
    RoutingRule,
)
from bilberry_core.organisation import Organisation
from bilberry_core.policy import CallPolicy, PolicyChange
from bilberry_core.scalar import render_duration

_MS_PER_S = 1000


def build_document(configuration: Configuration) -> dict[str, Any]:
    """Returns the mapping that represents a configuration in YAML or JSON."""
    return {
        'defaults': render_policy(configuration.defaults),
        'services': {
            service.name: {'hosts': list(service.hosts)}
            for service in configuration.services
        },
        'exceptions': {
            rule.name: _render_exception(rule)
            for rule in configuration.exceptions
        },
        'routes': {
            rule.name: _render_rule(rule) for rule in configuration.routes
        },
        **_render_organisations(configuration),
    }


def render_policy(policy: CallPolicy | PolicyChange) -> dict[str, Any]:
    rendered = {
        'timeout': _render_ms(policy.timeout_ms),
        'retries': policy.retries,
        'retry_budget': _render_percent(policy.retry_budget_percent),
        'priority': _render_name(policy.priority),
        'idempotent_methods': _render_list(policy.idempotent_methods),
        'load_policy': _render_name(policy.load_policy),
        'claim_retention': _render_s(policy.claim_retention_s),
        'idempotent': policy.idempotent,
        'target_latency': _render_ms(policy.target_latency_ms or None),
        'anonymous': _render_anonymous(policy),
    }
    return {key: shown for key, shown in rendered.items() if shown is not None}


def _render_organisations(configuration: Configuration) -> dict[str, Any]:
    if not configuration.organisations:
        return {}
    return {
        'organisations': {
            organisation.name: _render_organisation(organisation)
            for organisation in configuration.organisations
        },
    }


def _render_organisation(organisation: Organisation) -> dict[str, Any]:
    rendered = {
        'key_digests': list(organisation.key_digests),
        'priority': _render_name(organisation.priority),
        'rate': organisation.rate,
        'burst': organisation.burst,
    }
    return {key: shown for key, shown in rendered.items() if shown is not None}


def _render_exception(rule: RouteException) -> dict[str, Any]:
    return {
        'service': rule.service,
        'path_prefix': rule.path_prefix,
        'methods': list(rule.methods),
        'set': render_policy(rule.change),
        'reason': rule.reason,
    }


def _render_rule(rule: RoutingRule) -> dict[str, Any]:
    return {
        'host': rule.host,
        'path_prefix': rule.path_prefix,
        'targets': {target.service: target.weight for target in rule.targets},
        'set': render_policy(rule.change),
    }


def _render_anonymous(policy: CallPolicy | PolicyChange) -> bool | None:
    if isinstance(policy, CallPolicy):
        return policy.anonymous or None
    return policy.anonymous


def _render_ms(duration_ms: int | None) -> str | None:
    return None if duration_ms is None else render_duration(duration_ms)


def _render_s(duration_s: int | None) -> str | None:
    return _render_ms(None if duration_s is None else duration_s * _MS_PER_S)


def _render_percent(percent: int | None) -> str | None:
    return None if percent is None else f'{percent}%'


def _render_list(names: tuple[str, ...] | None) -> list[str] | None:
    return None if names is None else list(names)


def _render_name(name: str | None) -> str | None:
    return None if name is None else str(name)
