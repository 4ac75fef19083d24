"""Passes the messages of a stream to the handlers of their types."""

from collections.abc import Callable
from typing import Any


class MessageHandlers:
    """The handlers of the messages that one side of a stream understands."""

    def __init__(self, handlers: dict[type, Callable[[Any], None]]) -> None:
        """Handles the types that are keys of `handlers`."""
        self._handlers = handlers

    def add(self, kind: type, handler: Callable[[Any], None]) -> None:
        """Handles a further type."""
        self._handlers[kind] = handler

    def receive(self, message: Any) -> None:
        """Handles a message; one of another type is ignored."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message)
