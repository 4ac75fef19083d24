"""Records the crash of an upstream and names the requests that are suspects."""

from logging import getLogger

from bilberry_core.board import Board, UpstreamCrash
from bilberry_core.clock import Clock
from bilberry_core.endpoint import Address

from bilberry_proxy.admitted_call import AdmittedCall
from bilberry_proxy.suspect_tracker import InFlightRequest, SuspectTracker

_log = getLogger(__name__)


class CrashRecorder:
    """The crashes of the upstream beside one daemon."""

    def __init__(
        self,
        board: Board,
        clock: Clock,
        suspect_tracker: SuspectTracker,
    ) -> None:
        """Publishes crashes on `board`."""
        self._board = board
        self._clock = clock
        self._suspect_tracker = suspect_tracker

    def record(self, address: Address, calls: list[AdmittedCall]) -> None:
        """Records a crash, and fails the calls that were in flight."""
        weights = self._suspect_tracker.weigh_suspects(
            [
                InFlightRequest(
                    call.start.fingerprint, call.is_alone, call.known_weight
                )
                for call in calls
            ],
        )
        self._suspect_tracker.name(weights, self._board.own_endpoint.value)
        crash = UpstreamCrash(address, self._clock.wall_ms())
        self._board.upstream_crash.put(crash)
        _log.warning(
            'upstream_crashed',
            extra={'in_flight': len(calls), 'suspects': len(weights)},
        )
        for call in calls:
            weight = weights.get(call.start.fingerprint)
            if weight is not None:
                call.fail_crashed(weight)
