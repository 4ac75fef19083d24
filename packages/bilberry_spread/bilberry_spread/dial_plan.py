"""Decides which source is dialed next, and when.

A dial that is under way is never given up for being slow: on a loaded link it
takes long, and one that starts anew takes as long. Instead another source is
dialed beside it. Two dials are at most as far apart as a silent source may go
unnoticed, so that an outage of all sources delays nothing after its end.
"""

from typing import NamedTuple

from bilberry_core.clock import MS_PER_S
from bilberry_core.settings import Peer, Settings

from bilberry_spread.pacing import DialTimer, ReturnTimer, SourcePicker
from bilberry_spread.runtime import Runtime
from bilberry_spread.source import Reason
from bilberry_spread.source_set import SourceSet

#: Time that a dial has before another source is dialed beside it, in beacon
#: intervals.
DIAL_BEACONS = 2


class Dial(NamedTuple):
    """A source to dial and the reason."""

    peer: Peer
    why: Reason


class DialPlan:
    """The next dial of a daemon."""

    def __init__(
        self,
        settings: Settings,
        peers: tuple[Peer, ...],
        sources: SourceSet,
        runtime: Runtime,
    ) -> None:
        """Prefers the sources in the order of `peers`."""
        self._beacon_s = settings.timing.beacon_ms / MS_PER_S
        self._stale_s = settings.timing.stale_ms / MS_PER_S
        self._sources = sources
        self._clock = runtime.clock
        self._picker = SourcePicker(peers)
        self._standby_picker = SourcePicker(peers)
        self._timer = DialTimer(runtime.clock, runtime.random, self._stale_s)
        self._standby_timer = DialTimer(
            runtime.clock, runtime.random, self._stale_s
        )
        self._return_timer = ReturnTimer(runtime.clock, runtime.random)

    @property
    def peers(self) -> tuple[Peer, ...]:
        """Every source, in order of preference."""
        return self._picker.peers

    def replace_peers(self, peers: tuple[Peer, ...]) -> None:
        """Replaces the sources; `peers` are in order of preference."""
        if peers == self.peers:
            return
        self._picker.replace(peers)
        self._standby_picker.replace(peers)
        for peer in peers:
            source = self._sources.find(peer)
            if source is not None:
                source.peer = peer
        self.restart_return()

    def choose_dial(self, *, is_stale: bool, is_gate_open: bool) -> Dial | None:
        """Returns the dial that is due now, if there is one."""
        why = self._choose_reason(is_stale=is_stale, is_gate_open=is_gate_open)
        if why is None or not self._may_dial(why):
            return None
        taken = [source.peer for source in self._sources]
        peer = self._get_picker(why).pick(taken)
        if peer is None:
            return None
        self._get_timer(why).start()
        return Dial(peer, why)

    def choose_return(self) -> Peer | None:
        """Returns the preferred source if a return to it is due now."""
        main = self._sources.main
        preferred = self._picker.preferred
        if main is None or not self._return_timer.is_due:
            return None
        self.restart_return()
        if preferred is None or preferred.instance == main.peer.instance:
            return None
        return preferred

    def restart_return(self) -> None:
        """Draws the time of the next return to the preferred source."""
        main = self._sources.main
        self._return_timer.restart(main, self._picker.preferred)

    def defer(self, why: Reason, retry_after_s: float) -> None:
        """Delays dials after a source was busy."""
        self._get_timer(why).defer(retry_after_s)

    def record_loss(self) -> None:
        """Delays the next dial after the last open stream was lost.

        All receivers of a source lose it at the same time.
        """
        self._timer.start()

    def record_newest_beacon(self) -> None:
        """Ends the backoff of dials; called with each newest beacon."""
        self._timer.succeed()
        self._picker.restart()

    def record_standby_beacon(self) -> None:
        """Ends the backoff of standbys; called when one's beacon advances."""
        self._standby_timer.succeed()
        self._standby_picker.restart()

    def _choose_reason(
        self, *, is_stale: bool, is_gate_open: bool
    ) -> Reason | None:
        if self._sources.main is None:
            return Reason.ATTACH
        if is_stale:
            return Reason.BEACON_STALE
        if not is_gate_open:
            return Reason.START_RULE
        if self._sources.has_standby(self.peers):
            return None
        return Reason.STANDBY

    def _may_dial(self, why: Reason) -> bool:
        if not self._get_timer(why).is_due:
            return False
        now = self._clock.now()
        patience_s = DIAL_BEACONS * self._beacon_s
        for source in self._sources.others:
            if source.beacon is None and now - source.since < patience_s:
                return False
        if not self._sources.is_full:
            return True
        return bool(self._sources.list_lost(self._stale_s, now))

    def _get_timer(self, why: Reason) -> DialTimer:
        if why in {Reason.STANDBY, Reason.START_RULE}:
            return self._standby_timer
        return self._timer

    def _get_picker(self, why: Reason) -> SourcePicker:
        if why in {Reason.STANDBY, Reason.START_RULE}:
            return self._standby_picker
        return self._picker
