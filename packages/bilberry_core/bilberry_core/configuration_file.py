"""Parses, validates and renders the operators' configuration.

One table of readers checks files, HTTP bodies and the canonical encoding that
replicas store, so that each rule is defined once. Rendering and parsing are
inverse.
"""

from typing import Any

from returns.result import Failure, Result, Success

from bilberry_core.bounds import MAX_WEIGHT
from bilberry_core.configuration import (
    Configuration,
    RouteException,
    RoutingRule,
    Service,
    Target,
    decode_configuration,
    encode_configuration,
)
from bilberry_core.configuration_document import build_document
from bilberry_core.document import (
    MAX_NODES,
    count_nodes,
    load_document,
    render_document,
)
from bilberry_core.error import ConfigurationError
from bilberry_core.organisation import Organisation
from bilberry_core.organisation_rules import check_organisations
from bilberry_core.policy import CallPolicy, LoadPolicy, PolicyChange, Priority
from bilberry_core.problem import Problem, Report, shorten
from bilberry_core.route_rules import check_routes
from bilberry_core.scalar import (
    parse_boolean,
    parse_choice,
    parse_digest,
    parse_duration,
    parse_host,
    parse_integer,
    parse_line,
    parse_method,
    parse_name,
    parse_path_prefix,
    parse_percent,
    parse_rate,
)
from bilberry_core.schema import (
    ListOf,
    MapOf,
    Option,
    Scalar,
    Section,
    join_key,
)

#: Largest canonical encoding of a configuration, in bytes.
MAX_CONTENT_BYTES = 1 << 19
_MS_PER_S = 1000
_MS_PER_HOUR = 3_600_000
_MAX_RETENTION_MS = 720 * _MS_PER_HOUR
_MAX_RETRIES = 10
_MAX_BURST = 1_000_000

_NAME = Scalar(parse_name)
_METHODS = ListOf(Scalar(parse_method))

_POLICY = {
    'timeout': Option('timeout_ms', Scalar(parse_duration(1, _MS_PER_HOUR))),
    'retries': Option('retries', Scalar(parse_integer(0, _MAX_RETRIES))),
    'retry_budget': Option('retry_budget_percent', Scalar(parse_percent)),
    'priority': Option('priority', Scalar(parse_choice(Priority))),
    'idempotent_methods': Option('idempotent_methods', _METHODS),
    'load_policy': Option('load_policy', Scalar(parse_choice(LoadPolicy))),
    'claim_retention': Option(
        'claim_retention_s',
        Scalar(parse_duration(_MS_PER_S, _MAX_RETENTION_MS, _MS_PER_S)),
    ),
    'idempotent': Option('idempotent', Scalar(parse_boolean)),
    'target_latency': Option(
        'target_latency_ms',
        Scalar(parse_duration(1, _MS_PER_HOUR)),
    ),
    'anonymous': Option('anonymous', Scalar(parse_boolean)),
}
_ORGANISATION = Section(
    dict,
    {
        'key_digests': Option('key_digests', ListOf(Scalar(parse_digest))),
        'priority': Option('priority', Scalar(parse_choice(Priority))),
        'rate': Option('rate', Scalar(parse_rate)),
        'burst': Option('burst', Scalar(parse_integer(0, _MAX_BURST))),
    },
)

#: The keys that a configuration may contain.
CONFIGURATION = Section(
    dict,
    {
        'defaults': Option('defaults', Section(CallPolicy, _POLICY)),
        'services': Option(
            'services',
            MapOf(
                _NAME,
                Section(
                    dict,
                    {'hosts': Option('hosts', ListOf(Scalar(parse_host)))},
                ),
            ),
        ),
        'exceptions': Option(
            'exceptions',
            MapOf(
                _NAME,
                Section(
                    dict,
                    {
                        'service': Option('service', _NAME, required=True),
                        'path_prefix': Option(
                            'path_prefix',
                            Scalar(parse_path_prefix),
                        ),
                        'methods': Option('methods', _METHODS),
                        'set': Option(
                            'change',
                            Section(PolicyChange, _POLICY),
                            required=True,
                        ),
                        'reason': Option(
                            'reason',
                            Scalar(parse_line),
                            required=True,
                        ),
                    },
                ),
            ),
        ),
        'organisations': Option('organisations', MapOf(_NAME, _ORGANISATION)),
        'routes': Option(
            'routes',
            MapOf(
                _NAME,
                Section(
                    dict,
                    {
                        'host': Option(
                            'host',
                            Scalar(parse_host),
                            required=True,
                        ),
                        'path_prefix': Option(
                            'path_prefix',
                            Scalar(parse_path_prefix),
                            required=True,
                        ),
                        'targets': Option(
                            'targets',
                            MapOf(_NAME, Scalar(parse_integer(0, MAX_WEIGHT))),
                            required=True,
                        ),
                        'set': Option(
                            'change',
                            Section(PolicyChange, _POLICY),
                        ),
                    },
                ),
            ),
        ),
    },
)


def parse_configuration(
    text: str,
    name: str,
) -> Result[Configuration, tuple[Problem, ...]]:
    """Returns the configuration in `text`, or all of its problems.

    `name` is the file name that the problems carry.
    """
    report = Report(name)
    document = load_document(text)
    if isinstance(document, Failure):
        report.add('', document.failure())
        return Failure(report.problems)
    return _read_document(document.unwrap(), report)


def render_configuration(configuration: Configuration) -> str:
    """Returns a configuration as YAML."""
    return render_document(build_document(configuration))


def validate_content(content: bytes) -> list[str]:
    """Returns the problems of a configuration's canonical encoding."""
    report = Report('configuration')
    try:
        configuration = decode_configuration(content)
    except ConfigurationError as error:
        return [str(error)]
    parsed = _read_document(build_document(configuration), report)
    if isinstance(parsed, Failure):
        return [problem.describe() for problem in parsed.failure()]
    if encode_configuration(parsed.unwrap()) != content:
        return ['configuration: expected its canonical encoding']
    return []


def _read_document(
    document: object,
    report: Report,
) -> Result[Configuration, tuple[Problem, ...]]:
    fields = CONFIGURATION.read(document, '', report)
    services = _read_services(document)
    _check_host_owners(services, report)
    _check_declared_services(document, services, report)
    check_routes(fields, services, report)
    check_organisations(fields, report)
    _check_empty_changes(document, report)
    if report.count:
        return Failure(report.problems)
    configuration = _build_configuration(fields)
    _check_size(configuration, report)
    if report.count:
        return Failure(report.problems)
    return Success(configuration)


def _build_configuration(fields: dict[str, Any]) -> Configuration:
    return Configuration(
        defaults=fields.get('defaults', CallPolicy()),
        services=tuple(
            Service(name, **service)
            for name, service in fields.get('services', {}).items()
        ),
        exceptions=tuple(
            RouteException(name=name, **rule)
            for name, rule in fields.get('exceptions', {}).items()
        ),
        routes=tuple(
            _build_rule(name, rule)
            for name, rule in fields.get('routes', {}).items()
        ),
        organisations=tuple(
            _build_organisation(name, organisation)
            for name, organisation in fields.get('organisations', {}).items()
        ),
    )


def _build_organisation(name: str, fields: dict[str, Any]) -> Organisation:
    digests = tuple(sorted(fields.pop('key_digests', ())))
    return Organisation(name, digests, **fields)


def _build_rule(name: str, rule: dict[str, Any]) -> RoutingRule:
    targets = tuple(
        Target(service, weight) for service, weight in rule['targets'].items()
    )
    change = rule.get('change', PolicyChange())
    return RoutingRule(
        name,
        rule['host'],
        rule['path_prefix'],
        targets,
        change,
    )


def _check_size(configuration: Configuration, report: Report) -> None:
    """Ensures that an accepted configuration can be rendered and resent."""
    nodes = count_nodes(build_document(configuration))
    if nodes > MAX_NODES:
        report.add('', f'expected at most {MAX_NODES} values, got {nodes}')
    size = len(encode_configuration(configuration))
    if size > MAX_CONTENT_BYTES:
        report.add(
            '', f'expected at most {MAX_CONTENT_BYTES} bytes, got {size}'
        )


def _read_services(document: object) -> dict[object, list[object]]:
    """Returns the hosts by service, ignoring malformed parts."""
    return {
        name: [host for host in _get_hosts(service) if isinstance(host, str)]
        for name, service in _get_mapping(document, 'services').items()
    }


def _get_hosts(service: object) -> list[object]:
    hosts = service.get('hosts') if isinstance(service, dict) else None
    return hosts if isinstance(hosts, list) else []


def _get_mapping(document: object, key: str) -> dict[object, object]:
    found = document.get(key) if isinstance(document, dict) else None
    return found if isinstance(found, dict) else {}


def _check_host_owners(
    services: dict[object, list[object]],
    report: Report,
) -> None:
    owners = {name: name for name in services}
    for name, hosts in services.items():
        for host in hosts:
            owner = owners.setdefault(host, name)
            if owner != name:
                report.add(
                    f'{join_key("services", name)}.hosts',
                    f'host {shorten(host)} already belongs to service'
                    f' {shorten(owner)}',
                )


def _check_declared_services(
    document: object,
    services: dict[object, list[object]],
    report: Report,
) -> None:
    for name, rule in _get_mapping(document, 'exceptions').items():
        service = rule.get('service') if isinstance(rule, dict) else None
        if isinstance(service, str) and service not in services:
            report.add(
                f'{join_key("exceptions", name)}.service',
                f'expected a declared service, got {shorten(service)}',
            )


def _check_empty_changes(document: object, report: Report) -> None:
    for name, rule in _get_mapping(document, 'exceptions').items():
        changed = rule.get('set') if isinstance(rule, dict) else None
        if isinstance(changed, dict) and not changed:
            report.add(
                f'{join_key("exceptions", name)}.set',
                'expected at least one option',
            )
