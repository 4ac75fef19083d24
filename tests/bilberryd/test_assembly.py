"""Tests of what a daemon is built of."""

from subprocess import run
from sys import executable

from bilberry_core.endpoint import Address
from bilberry_core.settings import ListenSettings, Role, Settings
from bilberry_operators.controller import OperatorsController
from bilberry_proxy.controller import ProxyController
from bilberryd.assembly import build_daemon
from testtools import TestCase

_BUILD_PROXY = """
from sys import modules
from bilberry_core.endpoint import Address
from bilberry_core.settings import ListenSettings, Role, Settings
from bilberryd.assembly import build_daemon
port = Address('127.0.0.1', 0)
listen = ListenSettings(port, port)
roles = frozenset((Role.PROXY,))
build_daemon(Settings('fleet', 'a-1', 'a', 'region', roles, listen, b'secret'))
print(sorted({name.partition('.')[0] for name in modules}))
"""
ANY_PORT = Address('127.0.0.1', 0)


class AssemblyTest(TestCase):
    """Tests of the dependencies between controllers."""

    def test_explanations_know_the_endpoints_that_the_proxy_excludes(self):
        """The operators' interface asks the proxy of its daemon."""
        daemon = build_daemon(
            Settings(
                'fleet',
                'a-1',
                'a',
                'region',
                frozenset((Role.PROXY,)),
                ListenSettings(ANY_PORT, ANY_PORT, operators=ANY_PORT),
                b'secret',
            ),
        )
        by_type = {type(one): one for one in daemon._controllers}
        operators = by_type[OperatorsController]
        self.assertIs(
            by_type[ProxyController], operators._dependencies.exclusions
        )

    def test_proxy_starts_without_the_code_of_replicas(self):
        """Modules of other roles, which delay every start, aren't loaded."""
        built = run(
            [executable, '-c', _BUILD_PROXY],
            capture_output=True,
            check=True,
            text=True,
        )
        self.assertIn('bilberry_proxy', built.stdout)
        for package in ('bilberry_replica', 'bilberry_operators', 'yaml'):
            self.assertNotIn(package, built.stdout)
