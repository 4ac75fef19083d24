"""Checks the rules that relate several keys of a settings file.

The rules use the document itself, so that their problems are reported together
with those of single keys. The table `RULES` lists them.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from bilberry_core.problem import Report
from bilberry_core.settings import Role, TimingSettings

_REPLICAS = 'replicas'
_RELAYS = 'relays'


class PeerNames(NamedTuple):
    """The names of a peer; None where one is missing."""

    instance: object
    failure_domain: object


class Facts(NamedTuple):
    """The facts about a document that the rules check.

    `present_keys`
        The keys that are present, with their section: `listen.callers`.
    `peers`
        The peers in `replicas` and `relays`.
    `timing`
        The section `timing`; None if it is invalid.
    """

    own_names: PeerNames
    roles: tuple[object, ...]
    present_keys: frozenset[str]
    peers: dict[str, tuple[PeerNames, ...]]
    timing: TimingSettings | None

    def has_role(self, role: Role) -> bool:
        """Returns whether the daemon has a role."""
        return role in self.roles


class Rule(NamedTuple):
    """A rule: the key that it is reported for, its expectation, its check."""

    key: str
    expected: str
    is_met: Callable[[Facts], bool]


def check_rules(facts: Facts, report: Report) -> None:
    """Reports every violated rule."""
    for rule in RULES:
        if not rule.is_met(facts):
            report.add(rule.key, f'expected {rule.expected}')


def collect_facts(
    document: dict[object, Any],
    timing: TimingSettings | None,
) -> Facts:
    """Returns the facts of a document, which may be invalid."""
    roles = document.get('roles')
    return Facts(
        own_names=_read_names(document),
        roles=tuple(roles) if isinstance(roles, list) else (),
        present_keys=_collect_keys(document),
        peers={
            key: _read_peers(document.get(key)) for key in (_REPLICAS, _RELAYS)
        },
        timing=timing,
    )


def _collect_keys(document: dict[object, Any]) -> frozenset[str]:
    keys = {str(key) for key in document}
    listen = document.get('listen')
    if isinstance(listen, dict):
        keys |= {f'listen.{key}' for key in listen}
    return frozenset(keys)


def _read_peers(found: object) -> tuple[PeerNames, ...]:
    peers = found if isinstance(found, list) else []
    return tuple(_read_names(peer) for peer in peers if isinstance(peer, dict))


def _read_names(found: dict[object, Any]) -> PeerNames:
    return PeerNames(found.get('instance'), found.get('failure_domain'))


def _require_key(role: Role, key: str) -> Rule:
    return Rule(
        key,
        f'a value, because role {role} requires this key',
        lambda facts: not facts.has_role(role) or key in facts.present_keys,
    )


def _require_self_in(role: Role, key: str) -> Rule:
    return Rule(
        key,
        f'this instance and its failure domain, because it has role {role}',
        lambda facts: (
            not facts.has_role(role) or facts.own_names in facts.peers[key]
        ),
    )


def _require_unique_instances(key: str) -> Rule:
    def check(facts: Facts) -> bool:
        names = [str(peer.instance) for peer in facts.peers[key]]
        return len(names) == len(set(names))

    return Rule(key, 'unique instances', check)


def _require_longer(key: str, other: str) -> Rule:
    def check(facts: Facts) -> bool:
        if facts.timing is None:
            return True
        longer_ms = getattr(facts.timing, f'{key}_ms')
        return longer_ms > getattr(facts.timing, f'{other}_ms')

    return Rule(f'timing.{key}', f'a longer time than timing.{other}', check)


#: Every rule, in the order in which they are reported.
RULES = (
    Rule('roles', 'at least one role', lambda facts: bool(facts.roles)),
    _require_key(Role.REPLICA, 'data_folder'),
    _require_key(Role.PROXY, 'listen.callers'),
    _require_key(Role.PROXY, 'listen.upstream'),
    _require_key(Role.PROXY, _RELAYS),
    _require_key(Role.RELAY, _REPLICAS),
    _require_self_in(Role.REPLICA, _REPLICAS),
    _require_self_in(Role.RELAY, _RELAYS),
    _require_unique_instances(_REPLICAS),
    _require_unique_instances(_RELAYS),
    _require_longer('election', 'heartbeat'),
    _require_longer('stale', 'beacon'),
    _require_longer('lease', 'renew'),
)
