"""Adds the controllers of the role proxy."""

from bilberry_claims.client import ClaimClient
from bilberry_core.clock import BootClock
from bilberry_proxy.announcement import AnnouncementController
from bilberry_proxy.context import Agreements
from bilberry_proxy.controller import ProxyController
from bilberry_quotas.spender_controller import SpenderController
from bilberry_spread.compiler import SnapshotController

from bilberryd.parts import DaemonParts


def add_part(parts: DaemonParts) -> None:
    """Adds the controllers."""
    settings = parts.settings
    claims = None
    if settings.replicas and settings.keeps_claims:
        claims = ClaimClient.from_settings(
            settings,
            parts.board,
            parts.credentials,
            parts.clock,
            parts.random,
        )
    parts.allowances = SpenderController.from_settings(
        settings,
        parts.board,
        BootClock(),
        parts.random,
        parts.metrics,
    )
    parts.proxy = ProxyController.from_settings(
        settings,
        parts.board,
        parts.listener,
        parts.credentials,
        parts.clock,
        parts.random,
        parts.metrics,
        Agreements(claims, parts.allowances),
        parts.proxy_options,
    )
    parts.announcements = AnnouncementController.from_settings(
        settings,
        parts.board,
        parts.clock,
    )
    parts.controllers += [
        SnapshotController.from_settings(settings, parts.board),
        parts.announcements,
        parts.allowances,
        parts.proxy,
    ]
