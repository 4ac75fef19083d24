"""Tests of what a daemon is built of."""

from bilberry_core.endpoint import Address
from bilberry_core.settings import ListenSettings, Role, Settings
from bilberry_operators.controller import OperatorsController
from bilberry_proxy.controller import ProxyController
from bilberryd.assembly import build_daemon
from testtools import TestCase

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
