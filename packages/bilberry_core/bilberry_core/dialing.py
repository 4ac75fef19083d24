"""Opens streams to other daemons and authenticates with the fleet's secret."""

from asyncio import CancelledError, Future, get_running_loop
from asyncio import timeout as limit_time
from os import urandom

from bilberry_core.bounds import MAX_PORT
from bilberry_core.endpoint import Address
from bilberry_core.error import HandshakeError
from bilberry_core.handshake import (
    HANDSHAKE_TIMEOUT_S,
    NONCE_BYTES,
    Identity,
    Purpose,
    build_hello,
    build_proof,
    check_proof,
)
from bilberry_core.stream import Credentials, Receiver, Stream


async def dial(
    credentials: Credentials,
    address: Address,
    purpose: Purpose,
    receiver: Receiver = lambda _message: None,
    timeout_s: float = HANDSHAKE_TIMEOUT_S,
) -> Stream:
    """Opens a stream; raises `OSError` or `HandshakeError`."""
    identity = Identity(credentials.fleet, credentials.instance, purpose)
    stream = _DialedStream(credentials, identity)
    stream.receiver = receiver
    try:
        async with limit_time(timeout_s):
            await _connect(stream, address)
            await stream.ready
    except TimeoutError as error:
        stream.close()
        raise HandshakeError(f'no response from {address}') from error
    except (CancelledError, HandshakeError, OSError):
        stream.close()
        raise
    return stream


async def _connect(stream: Stream, address: Address) -> None:
    if not 0 < address.port <= MAX_PORT:
        raise HandshakeError(f'port {address.port} is out of range')
    loop = get_running_loop()
    try:
        await loop.create_connection(lambda: stream, *address)
    except ValueError as error:
        raise HandshakeError(f'invalid address {address}: {error}') from error


class _DialedStream(Stream):
    """A dialed stream: responds to the challenge and checks the proof."""

    def __init__(self, credentials: Credentials, identity: Identity) -> None:
        super().__init__()
        self.ready: Future[None] = get_running_loop().create_future()
        self._credentials = credentials
        self._own_identity = identity
        self._nonce = urandom(NONCE_BYTES)
        self._expected_proof = b''
        self._on_payload = self._receive_challenge

    def connection_lost(self, error: Exception | None) -> None:
        if not self.ready.done():
            self.ready.set_exception(
                HandshakeError('the listener closed the stream')
            )
        super().connection_lost(error)

    def _receive_challenge(self, challenge: bytes) -> None:
        self._expected_proof = build_proof(
            self._credentials.secret,
            self._nonce,
            challenge,
        )
        self._on_payload = self._receive_proof
        self._send_raw(
            build_hello(
                self._credentials.secret,
                self._own_identity,
                challenge,
                self._nonce,
            ),
        )

    def _receive_proof(self, proof: bytes) -> None:
        check_proof(proof, self._expected_proof)
        counter = self._credentials.get_counter(self._own_identity.purpose)
        self._begin_messages(self._own_identity, counter)
        if not self.ready.done():
            self.ready.set_result(None)
