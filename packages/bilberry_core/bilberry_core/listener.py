"""Accepts streams of other daemons and authenticates their dialers."""

from asyncio import Server, Transport, get_running_loop
from collections.abc import Callable
from os import urandom

from bilberry_core.endpoint import Address
from bilberry_core.error import FrameError
from bilberry_core.handshake import (
    HANDSHAKE_TIMEOUT_S,
    NONCE_BYTES,
    Purpose,
    check_hello,
)
from bilberry_core.stream import Credentials, Stream


class StreamListener:
    """A server that passes each accepted stream to its purpose's handler.

    A handler is called with the open stream and must set its receiver.
    """

    def __init__(self, credentials: Credentials) -> None:
        """Accepts streams of the credentials' fleet."""
        self._credentials = credentials
        self._handlers: dict[Purpose, Callable[[Stream], None]] = {}
        self._server: Server | None = None
        self._streams: set[Stream] = set()

    def handle(
        self,
        purpose: Purpose,
        handler: Callable[[Stream], None],
    ) -> None:
        """Registers the handler of streams with this purpose."""
        self._handlers[purpose] = handler

    async def listen(self, address: Address) -> Address:
        """Starts accepting streams and returns the bound address."""
        loop = get_running_loop()
        self._server = await loop.create_server(
            self._accept,
            address.host,
            address.port,
            backlog=1024,
        )
        bound = self._server.sockets[0].getsockname()
        return Address(bound[0], bound[1])

    def close(self) -> None:
        """Stops accepting and closes every accepted stream."""
        if self._server is not None:
            self._server.close()
        for stream in tuple(self._streams):
            stream.close()

    def _accept(self) -> Stream:
        return _AcceptedStream(
            self._credentials,
            self._handlers,
            self._streams,
        )


class _AcceptedStream(Stream):
    """An accepted stream: sends the challenge and checks the hello."""

    def __init__(
        self,
        credentials: Credentials,
        handlers: dict[Purpose, Callable[[Stream], None]],
        streams: set[Stream],
    ) -> None:
        super().__init__()
        self._credentials = credentials
        self._handlers = handlers
        self._streams = streams
        self._challenge = urandom(NONCE_BYTES)
        self._on_payload = self._receive_hello
        self._timer = get_running_loop().call_later(
            HANDSHAKE_TIMEOUT_S,
            self.close,
        )

    def connection_made(self, transport: Transport) -> None:
        super().connection_made(transport)
        self._streams.add(self)
        self._send_raw(self._challenge)

    def connection_lost(self, error: Exception | None) -> None:
        self._timer.cancel()
        self._streams.discard(self)
        super().connection_lost(error)

    def _receive_hello(self, hello: bytes) -> None:
        identity, proof = check_hello(
            self._credentials.secret,
            self._credentials.fleet,
            self._challenge,
            hello,
        )
        handler = self._handlers.get(identity.purpose)
        if handler is None:
            raise FrameError(f'no handler for purpose "{identity.purpose}"')
        self._timer.cancel()
        self._send_raw(proof)
        counter = self._credentials.get_counter(identity.purpose)
        self._begin_messages(identity, counter)
        handler(self)
