"""Pauses a connection while what it has sent is not parsed or not wanted."""

from asyncio import Transport, get_running_loop
from collections.abc import Callable


class ReadingPace:
    """Whether one connection reads its socket."""

    def __init__(self, read_on: Callable[[], None]) -> None:
        """Calls `read_on` in the next turn for what is left of a read."""
        self._read_on = read_on
        self._transport: Transport | None = None
        self._has_room = True
        self._is_behind = False
        self._is_paused = False

    def open(self, transport: Transport) -> None:
        """Begins with a new connection, which reads."""
        self._transport = transport

    def close(self) -> None:
        """Ends with the connection."""
        self._transport = None

    def set_room(self, has_room: bool) -> None:
        """Resumes or pauses reading: its receiver has room for more, or not."""
        self._has_room = has_room
        self._update()

    def continue_soon(self) -> None:
        """Goes on with what is left after the others had their turn."""
        if not self._is_behind:
            self._is_behind = True
            get_running_loop().call_soon(self._continue)
        self._update()

    def _continue(self) -> None:
        self._is_behind = False
        if self._transport is not None:
            self._read_on()
        self._update()

    def _update(self) -> None:
        is_paused = self._is_behind or not self._has_room
        transport = self._transport
        if is_paused is self._is_paused or transport is None:
            return
        if transport.is_closing():
            return
        self._is_paused = is_paused
        if is_paused:
            transport.pause_reading()
        else:
            transport.resume_reading()
