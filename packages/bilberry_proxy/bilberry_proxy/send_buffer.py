"""The bytes of responses that wait until a caller reads them."""

from asyncio import Transport


class SendBuffer:
    """What is written to the connection of a caller."""

    def __init__(self) -> None:
        """Starts without a connection."""
        self._transport: Transport | None = None

    @property
    def size(self) -> int:
        """The bytes that wait; 0 without a connection."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size()

    def open(self, transport: Transport) -> None:
        """Sends on a new connection."""
        self._transport = transport

    def write(self, raw: bytes) -> None:
        """Sends bytes, unless the connection is lost."""
        if self._transport is not None:
            self._transport.write(raw)

    def close(self) -> None:
        """Drops everything, as the connection is lost."""
        self._transport = None
