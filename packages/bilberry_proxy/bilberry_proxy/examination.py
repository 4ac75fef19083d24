"""Examines requests that were held back, once at a time in the fleet.

All proxies send a request to the same endpoint for that, so the daemon there
knows whether it is examined already.
"""

from collections.abc import Iterable

from bilberry_core.clock import MS_PER_S
from bilberry_core.endpoint import Endpoint, EndpointState
from xxhash import xxh3_64_intdigest

from bilberry_proxy.admitted_call import AdmittedCall, Progress
from bilberry_proxy.poison import MIN_RETRY_AFTER_MS, SuspicionLevel
from bilberry_proxy.selection import Selection
from bilberry_proxy.suspect_tracker import SuspectTracker


def choose_examiner(
    endpoints: Iterable[Endpoint], fingerprint: bytes
) -> Selection | None:
    """Returns the endpoint that examines a request; None if none is ready."""
    ready = [one for one in endpoints if one.state is EndpointState.READY]
    if not ready:
        return None
    examiner = max(
        ready,
        key=lambda one: xxh3_64_intdigest(fingerprint + one.instance.encode()),
    )
    return Selection(examiner, len(ready), 'examined', has_other=False)


class Examinations:
    """The requests that the upstream beside this daemon examines now."""

    def __init__(self, tracker: SuspectTracker) -> None:
        """Asks `tracker` what is held against a request."""
        self._tracker = tracker
        self._calls: dict[bytes, AdmittedCall] = {}

    def begin(self, call: AdmittedCall) -> int:
        """Begins to examine a request, if it has to be.

        Returns after how many milliseconds it may return if it may not run
        now, else 0. An examination ends with its call.
        """
        fingerprint = call.start.fingerprint
        level = self._tracker.assess(fingerprint).level
        if level is SuspicionLevel.QUARANTINED:
            hold_s = self._tracker.get_hold_s(fingerprint)
            return max(int(hold_s * MS_PER_S), MIN_RETRY_AFTER_MS)
        if level is not SuspicionLevel.EXAMINED:
            return 0
        self._calls = {
            examined: running
            for examined, running in self._calls.items()
            if running.progress is not Progress.ENDED
        }
        if fingerprint in self._calls:
            return MIN_RETRY_AFTER_MS
        self._calls[fingerprint] = call
        return 0
