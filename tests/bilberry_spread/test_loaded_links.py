"""Tests of proxies whose outgoing link delays everything that they send."""

from bilberry_core.settings import TimingSettings
from testtools import TestCase

from tests.bilberry_spread.fleet import Fleet, make_accepted
from tests.bilberry_spread.test_failures import get_running

#: Timing of a fleet whose changes must be in force within `APPLY_S`.
TIMING = TimingSettings(beacon_ms=100, stale_ms=750)
#: Time within which an accepted version must be in force, in seconds.
APPLY_S = 2.0
#: The same where relays were lost right before.
RECOVERY_S = 7.0
#: Time within which a daemon must serve after its start, in seconds.
START_S = 15.0
#: Delay of a link whose queue is full, in seconds.
UPLINK_S = 0.9
#: Delay close to that at which the kernel ends a stream, in seconds.
LONGEST_UPLINK_S = 1.9


class LoadedLinkTest(TestCase):
    """Tests of versions that reach a proxy although its answers are slow."""

    def setUp(self):
        """Starts a fleet that runs version 1."""
        super().setUp()
        self.fleet = Fleet(relays=3, proxies=6, timing=TIMING)
        self.fleet.accept(make_accepted(1))
        self.fleet.run(4)
        self.proxy = self.fleet.proxies[0]

    def test_loaded_proxy_gets_versions_after_its_relay_falls_silent(self):
        """A proxy with a loaded link is not tied to a relay that is muted."""
        self.fleet.network.uplink_s[self.proxy.name] = UPLINK_S
        source = self.proxy.controller.attachment.main.peer.instance
        self.fleet.network.muted.add(source)
        self.fleet.run(0.5)
        self.fleet.accept(make_accepted(2))
        self.fleet.run(APPLY_S)
        self.assertEqual({2}, get_running(self.fleet.proxies))

    def test_loaded_proxy_finds_another_relay(self):
        """A dial that takes longer than a few beacons is not given up."""
        self.fleet.network.uplink_s[self.proxy.name] = UPLINK_S
        sources = {
            link.other
            for link in self.fleet.network.links
            if link.node == self.proxy.name and link.is_open
        }
        self.fleet.network.muted |= sources
        self.fleet.accept(make_accepted(2))
        self.fleet.run(RECOVERY_S)
        self.assertEqual({2}, get_running([self.proxy]))

    def test_loaded_proxy_gets_a_standby_again(self):
        """A first beacon may come later than the next ones are expected."""
        self.fleet.network.uplink_s[self.proxy.name] = UPLINK_S
        attachment = self.proxy.controller.attachment
        source = attachment.main.peer.instance
        self.fleet.network.muted.add(source)
        self.fleet.run(START_S)
        now = self.fleet.time.now()
        standbys = [
            source.peer.instance
            for source in attachment._sources.others
            if source.has_advanced_within(1, now)
        ]
        self.assertNotEqual([], standbys)

    def test_daemon_starts_on_a_link_that_delays_each_message(self):
        """A handshake may take as long as streams may be unacknowledged."""
        self.proxy.kill()
        self.fleet.network.uplink_s[self.proxy.name] = LONGEST_UPLINK_S
        restarted = self.fleet.start(self.proxy.name)
        self.fleet.run(START_S)
        self.assertEqual({1}, get_running([restarted]))

    def test_loaded_restart_does_not_start_behind(self):
        """The wait of the start rule begins with the first relay heard."""
        preferred = self.proxy.controller.attachment.peers[0].instance
        others = {name for name in self.fleet.nodes if name[0] != 'p'}
        self.fleet.network.isolate(preferred, others | {'leader'})
        self.fleet.accept(make_accepted(2))
        self.fleet.run(4)
        self.proxy.kill()
        self.fleet.network.uplink_s[self.proxy.name] = LONGEST_UPLINK_S
        restarted = self.fleet.start(self.proxy.name)
        self.fleet.run(START_S)
        self.assertEqual({2}, set(restarted.versions))
