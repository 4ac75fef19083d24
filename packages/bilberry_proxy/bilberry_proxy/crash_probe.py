"""Distinguishes a crashed upstream from one that closed a connection.

Calls whose connection ended wait for a test connection to the upstream: if it
is refused, the upstream's process has ended.
"""

from asyncio import (
    Event,
    Protocol,
    Transport,
    get_running_loop,
    timeout,
)
from collections.abc import Callable
from enum import Enum

from bilberry_core.endpoint import Address
from bilberry_core.verdict import FailureCode

from bilberry_proxy.admitted_call import AdmittedCall

#: Timeout for one test connection, in seconds.
PROBE_TIMEOUT_S = 0.5
#: Time that a test connection must stay open to show that the process lives,
#: in seconds.
SETTLE_S = 0.05
_MAX_PROBES = 3


class CrashProbe:
    """The calls whose connection ended and whose upstream is being probed."""

    def __init__(
        self,
        on_crash: Callable[[Address, list[AdmittedCall]], None],
    ) -> None:
        """Calls `on_crash` with the calls in flight at each crash."""
        self._on_crash = on_crash
        self._broken: list[tuple[AdmittedCall, str]] = []
        self._is_probing = False
        self._tasks = set()

    def add(self, call: AdmittedCall, detail: str, address: Address) -> None:
        """Fails a call once a probe has shown why its connection ended."""
        self._broken.append((call, detail))
        if not self._is_probing:
            self._is_probing = True
            task = get_running_loop().create_task(self._probe(address))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _probe(self, address: Address) -> None:
        exited = await has_exited(address)
        self._is_probing = False
        broken = self._broken
        self._broken = []
        if exited:
            self._on_crash(address, [call for call, _ in broken])
        for call, detail in broken:
            call.fail(FailureCode.UPSTREAM_CLOSED, detail)


async def has_exited(address: Address, settle_s: float = SETTLE_S) -> bool:
    """Returns whether the process that listened on `address` has ended.

    The kernel may still accept a connection for a process that is exiting, so
    a connection that is closed within `settle_s` seconds does not show that
    the process lives. Returns False if the probes are inconclusive.
    """
    for _ in range(_MAX_PROBES):
        connection = _ProbeConnection()
        outcome = await _connect(connection, address)
        if outcome is not _Outcome.CONNECTED:
            return outcome is _Outcome.REFUSED
        if await connection.stays_open(settle_s):
            return False
    return False


class _Outcome(Enum):
    """The outcome of a test connection."""

    CONNECTED = 1
    REFUSED = 2
    UNKNOWN = 3


class _ProbeConnection(Protocol):
    """A test connection, which sends nothing and waits for its end."""

    def __init__(self) -> None:
        self._ended = Event()
        self._transport: Transport | None = None

    def connection_made(self, transport: Transport) -> None:
        self._transport = transport

    def connection_lost(self, _error: Exception | None) -> None:
        self._ended.set()

    async def stays_open(self, settle_s: float) -> bool:
        """Returns whether the connection is open after `settle_s` seconds."""
        try:
            async with timeout(settle_s):
                await self._ended.wait()
        except TimeoutError:
            self._transport.abort()
            return True
        return False


async def _connect(
    connection: _ProbeConnection,
    address: Address,
) -> _Outcome:
    loop = get_running_loop()
    try:
        async with timeout(PROBE_TIMEOUT_S):
            await loop.create_connection(lambda: connection, *address)
    except ConnectionRefusedError:
        return _Outcome.REFUSED
    except (OSError, TimeoutError):
        return _Outcome.UNKNOWN
    return _Outcome.CONNECTED
