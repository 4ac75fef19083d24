"""Tests the conversion of the platform's settings file."""

from bilberry_core.endpoint import Address
from bilberry_core.settings import Role
from bilberry_platform.settings import (
    build_settings,
    compute_retry_limits,
    parse_settings,
)
from testtools import TestCase

SETTINGS = """
NodeName = "core-a-1"
NodeClass = "{machine}"
Serves = ["{serves}"]
Ip = "10.1.0.14"
Zone = "a"
Region = "r"
InternalPortRange = [7620,7635]
Seeds = [{seeds}]
Bootstrap = {first}
HeartbeatS = 1.5
Unknown = "a key of later times"
DataDir = "/data"
Service = "huvo11a"
Bounds = ["GraceS=6","RetryBudgetRatio=0.2","BudgetSlack=62"]
[Listen]
Outbound = "10.1.0.14:8304"
Ready = "10.1.0.14:8302"
Control = "10.1.0.14:8306"
[FaultTolerance]
Machines = 2
"""


def build(serves='control_plane', seeds='"10.1.0.14:8306"', first='true'):
    """Returns the daemon settings for a file with these values."""
    text = SETTINGS.format(
        machine='core', serves=serves, seeds=seeds, first=first
    )
    return build_settings(parse_settings(text))


class SettingsTest(TestCase):
    """Conversion to daemon settings."""

    def test_core_machine_is_a_replica_that_may_found_a_fleet(self):
        """The seeds become the peers, with the port for streams."""
        settings = build(seeds='"10.1.0.14:8306","10.2.0.10:8306"')
        self.assertEqual({Role.RELAY, Role.REPLICA}, settings.roles)
        self.assertEqual(
            [Address('10.1.0.14', 7620), Address('10.2.0.10', 7620)],
            [peer.address for peer in settings.replicas],
        )
        self.assertEqual((True, 3), settings.founding)
        self.assertTrue(settings.discovers_relays)

    def test_leader_is_replaced_within_a_second(self):
        """Starting proxies wait for a leader, so elections must be short.

        Several heartbeats are sent within an election timeout.
        """
        timing = build().timing
        self.assertLessEqual(timing.election_ms * 2, 1200)
        self.assertLess(timing.heartbeat_ms * 4, timing.election_ms)
        self.assertLess(timing.beacon_ms * 2, timing.stale_ms)

    def test_only_a_seed_founds_at_the_first_start(self):
        """Later, an instance with an empty disk waits to be added."""
        self.assertFalse(build(first='false').founding.allowed)
        self.assertFalse(build(seeds='"10.2.0.10:8306"').founding.allowed)

    def test_other_machine_is_a_proxy_with_a_grace_period(self):
        """A proxy drains within GraceS and serves callers for a part of it."""
        settings = build('sidecar')
        self.assertEqual({Role.PROXY}, settings.roles)
        self.assertEqual(Address('10.1.0.14', 8304), settings.listen.callers)
        self.assertLess(settings.timing.drain_ms, 6000)
        self.assertLess(settings.timing.linger_ms, settings.timing.drain_ms)

    def test_retries_stay_below_the_budget(self):
        """Part of the budget is left for requests that retries cause."""
        text = SETTINGS.format(
            machine='core', serves='sidecar', seeds='"10.0.0.1:1"', first='true'
        )
        retry_limits = compute_retry_limits(parse_settings(text))
        self.assertLess(retry_limits.percent, 20)
        self.assertLess(retry_limits.burst, 62)

    def test_file_without_an_address_is_refused(self):
        """Missing required keys are reported at the start."""
        self.assertRaises(ValueError, parse_settings, 'Zone = "a"')
