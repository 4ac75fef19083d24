"""Tells a crashed upstream from one that only closed a connection.

Requests whose connection ended wait for one try to connect: a refusal says
that the upstream's process is gone.
"""

from asyncio import Protocol, get_running_loop, timeout
from collections.abc import Callable

from bilberry_core.endpoint import Address
from bilberry_core.verdict import FailureCode

from bilberry_proxy.admitted_call import AdmittedCall

#: Longest time to find out whether the upstream is gone, in seconds.
PROBE_TIMEOUT_S = 0.5


class CrashProbe:
    """Collects the calls whose connection ended, until it is known why."""

    def __init__(
        self,
        on_crash: Callable[[Address, list[AdmittedCall]], None],
    ) -> None:
        """Starts with no call; `on_crash` hears of each crash."""
        self._on_crash = on_crash
        self._broken: list[tuple[AdmittedCall, str]] = []
        self._is_probing = False
        self._tasks = set()

    def add(self, call: AdmittedCall, detail: str, address: Address) -> None:
        """Finds out why a call's connection ended, then fails the call."""
        self._broken.append((call, detail))
        if not self._is_probing:
            self._is_probing = True
            task = get_running_loop().create_task(self._probe(address))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _probe(self, address: Address) -> None:
        refused = await is_refused(address)
        self._is_probing = False
        broken = self._broken
        self._broken = []
        if refused:
            self._on_crash(address, [call for call, _ in broken])
        for call, detail in broken:
            call.fail(FailureCode.UPSTREAM_CLOSED, detail)


async def is_refused(address: Address) -> bool:
    """Tells whether nothing listens on `address`."""
    loop = get_running_loop()
    try:
        async with timeout(PROBE_TIMEOUT_S):
            transport, _ = await loop.create_connection(Protocol, *address)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    transport.close()
    return False
