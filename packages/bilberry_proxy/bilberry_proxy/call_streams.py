"""The streams for calls to other daemons, one per daemon."""

from asyncio import get_running_loop
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any, Self

from bilberry_core.clock import MS_PER_S
from bilberry_core.endpoint import Address, Endpoint
from bilberry_core.messages.call import CallerStops
from bilberry_core.snapshot import Snapshot
from bilberry_core.stream import Credentials

from bilberry_proxy.call import CallTarget
from bilberry_proxy.call_stream import CallStream
from bilberry_proxy.stream_opener import Dialer, build_dialer


class CallStreams:
    """The call targets of all endpoints, by the address of their daemon."""

    def __init__(
        self,
        instance: str,
        own_target: CallTarget,
        dialer: Dialer,
    ) -> None:
        """Uses `own_target`, not a stream, for calls to `instance`.

        `on_allowance` is called with what neighbours say of quotas.
        """
        self._instance = instance
        self._own_target = own_target
        self._dialer = dialer
        self._streams: dict[Address, CallStream] = {}
        self._stops_at: float | None = None
        self.on_allowance: Callable[[Any], None] = _ignore

    @classmethod
    def from_credentials(
        cls,
        credentials: Credentials,
        own_target: CallTarget,
    ) -> Self:
        """Builds the streams of the daemon that the credentials name."""
        return cls(credentials.instance, own_target, build_dialer(credentials))

    def find_target(self, endpoint: Endpoint) -> CallTarget:
        """Returns the target of the daemon beside an endpoint."""
        if endpoint.instance == self._instance:
            return self._own_target
        stream = self._streams.get(endpoint.address)
        if stream is None:
            stream = CallStream(
                endpoint.address, self._dialer, self._receive_allowance
            )
            stream.on_open = partial(self._tell_stop, stream)
            self._streams[endpoint.address] = stream
        return stream

    def list_open(self) -> Iterator[CallStream]:
        """Returns the streams that are open now."""
        return (one for one in self._streams.values() if one.is_open)

    def announce_stop(self, left_s: float) -> None:
        """Tells every daemon when the stop of this one ends.

        `left_s` is the time until then, in seconds. Streams that open later
        begin with it.
        """
        self._stops_at = get_running_loop().time() + left_s
        for stream in self._streams.values():
            self._tell_stop(stream)

    def close_unused(self, snapshot: Snapshot) -> None:
        """Closes idle streams to daemons without endpoints in `snapshot`."""
        present = {
            endpoint.address
            for route in snapshot.routes.values()
            for endpoint in route.endpoints
        }
        for address, stream in tuple(self._streams.items()):
            if address not in present and stream.is_idle:
                stream.close()
                del self._streams[address]

    def close(self) -> None:
        """Closes every stream."""
        for stream in self._streams.values():
            stream.close()

    def _tell_stop(self, stream: CallStream) -> None:
        if self._stops_at is not None:
            left_s = max(self._stops_at - get_running_loop().time(), 0)
            stream.send(CallerStops(int(left_s * MS_PER_S)))

    def _receive_allowance(self, message: Any) -> None:
        self.on_allowance(message)


def _ignore(_message: Any) -> None:
    """Default callback, which does nothing."""
