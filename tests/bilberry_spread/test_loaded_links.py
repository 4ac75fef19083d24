"""Tests of proxies whose outgoing link delays everything that they send."""

from bilberry_core.settings import TimingSettings
from testtools import TestCase

from tests.bilberry_spread.fleet import Fleet, make_accepted
from tests.bilberry_spread.test_failures import get_running

#: Timing of a fleet whose changes must be in force within `APPLY_S`.
TIMING = TimingSettings(beacon_ms=100, stale_ms=750)
#: Time within which an accepted version must be in force, in seconds.
APPLY_S = 2.0
#: Delay of a link whose queue is full, in seconds.
UPLINK_S = 0.7


class LoadedLinkTest(TestCase):
    """Tests of versions that reach a proxy although its answers are slow."""

    def test_loaded_proxy_gets_versions_after_its_relay_falls_silent(self):
        """A proxy with a loaded link is not tied to a relay that is muted."""
        fleet = Fleet(relays=3, proxies=6, timing=TIMING)
        fleet.accept(make_accepted(1))
        fleet.run(4)
        proxy = fleet.proxies[0]
        fleet.network.uplink_s[proxy.name] = UPLINK_S
        source = proxy.controller.attachment.main.peer.instance
        fleet.network.muted.add(source)
        fleet.run(0.5)
        fleet.accept(make_accepted(2))
        fleet.run(APPLY_S)
        self.assertEqual({2}, get_running(fleet.proxies))
