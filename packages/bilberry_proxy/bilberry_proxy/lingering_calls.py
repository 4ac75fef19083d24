"""Keeps the slots of cancelled calls until the upstream has noticed."""

from collections.abc import Callable

from bilberry_core.clock import Clock

from bilberry_proxy.admitted_call import AdmittedCall
from bilberry_proxy.timers import TimerWheel
from bilberry_proxy.upstream_connection import UpstreamConnection

#: Longest time that a cancelled call keeps its slot while the upstream has not
#: closed the connection, in seconds.
CANCEL_LINGER_S = 0.1


class LingeringCalls:
    """The cancelled calls whose connections are still open."""

    def __init__(
        self,
        clock: Clock,
        timers: TimerWheel,
        free_slot: Callable[[AdmittedCall], None],
    ) -> None:
        """Calls `free_slot` once the connection of a call has ended."""
        self._clock = clock
        self._timers = timers
        self._free_slot = free_slot
        self._calls: dict[UpstreamConnection, AdmittedCall] = {}

    def add(self, call: AdmittedCall) -> None:
        """Half-closes the connection of a call, which cancels it.

        The slot stays taken until the upstream closes the connection, for
        `CANCEL_LINGER_S` at most.
        """
        connection = call.connection
        if not connection.half_close():
            self._free_slot(call)
            return
        self._calls[connection] = call
        self._timers.schedule(
            self._clock.now() + CANCEL_LINGER_S,
            connection.abort,
        )

    def end(self, connection: UpstreamConnection) -> None:
        """Frees the slot of the call on a connection that has ended."""
        call = self._calls.pop(connection, None)
        if call is not None:
            self._free_slot(call)
