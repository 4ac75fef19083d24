"""Builds a daemon from its settings, with the controllers of its roles.

Controllers are constructed only in the modules that are named here, so that
they do not depend on each other. A module is loaded when a role needs it: a
daemon of one role starts without the code of the others.
"""

from collections.abc import Callable, Iterable
from importlib import import_module
from typing import NamedTuple

from bilberry_core.settings import Role, Settings
from bilberry_proxy.context import ProxyOptions

from bilberryd.daemon import Controller, Daemon
from bilberryd.parts import DaemonParts

#: Roles that publish accepted versions to other daemons. A replica publishes
#: to relays.
_PUBLISHING_ROLES = frozenset((Role.RELAY, Role.REPLICA))


def _build_no_interfaces(_parts: DaemonParts) -> tuple[Controller, ...]:
    return ()


class Extensions(NamedTuple):
    """The features that a deployment adds to the daemons of its fleet.

    `proxy`
        Options of the proxy.
    `build_interfaces`
        Returns additional controllers, such as those that serve the
        deployment's own HTTP interfaces.
    """

    proxy: ProxyOptions = ProxyOptions()
    build_interfaces: Callable[[DaemonParts], Iterable[Controller]] = (
        _build_no_interfaces
    )


def build_daemon(
    settings: Settings,
    extensions: Extensions = Extensions(),
) -> Daemon:
    """Returns a daemon with these settings; it is not started yet."""
    parts = DaemonParts(settings, extensions.proxy)
    for module in _name_modules(settings):
        import_module(f'bilberryd.{module}').add_part(parts)
    parts.controllers += extensions.build_interfaces(parts)
    draining = () if parts.proxy is None else (parts.proxy,)
    return Daemon(
        settings.listen.streams,
        parts.board,
        parts.listener,
        tuple(parts.controllers),
        draining,
    )


def _name_modules(settings: Settings) -> list[str]:
    """Returns the modules that add the controllers, in their order."""
    roles = settings.roles
    is_publishing = bool(roles & _PUBLISHING_ROLES)
    wanted = {
        'replica_part': Role.REPLICA in roles,
        'relay_part': is_publishing,
        'subscriber_part': not is_publishing,
        'proxy_part': Role.PROXY in roles,
        'operators_part': settings.listen.operators is not None,
    }
    return [module for module, is_wanted in wanted.items() if is_wanted]
