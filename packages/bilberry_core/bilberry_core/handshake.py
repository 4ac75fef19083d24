"""The handshake that authenticates two daemons with their fleet's secret.

The listener sends a nonce. The dialer replies with its identity, a nonce of
its own and an HMAC-SHA256 over both nonces and the identity. The listener
checks the HMAC before it decodes anything, then proves that it has the secret
too. The secret itself is never sent.
"""

from enum import StrEnum
from hashlib import sha256
from hmac import compare_digest
from hmac import digest as compute_mac
from typing import NamedTuple

from msgpack import packb, unpackb
from msgspec import ValidationError, convert

from bilberry_core.bounds import Name, SignedNumber
from bilberry_core.error import HandshakeError

#: Length of a nonce, in bytes.
NONCE_BYTES = 16
#: Longest frame before the end of the handshake, in bytes.
MAX_HANDSHAKE_BYTES = 1024
#: Longest time to connect and complete the handshake, in seconds.
HANDSHAKE_TIMEOUT_S = 3.0
#: Messages that the dialer sends one after the other, each after an answer,
#: until a stream is open: SYN, ACK and hello.
HANDSHAKE_TRIPS = 3
#: Version of the messages that follow the handshake.
PROTOCOL_VERSION = 1
_MAC_BYTES = 32
_ALGORITHM = sha256().name


class Purpose(StrEnum):
    """The purpose of a stream between two daemons."""

    REPLICA = 'replica'
    SPREAD = 'spread'
    CALL = 'call'
    CLAIM = 'claim'


class Identity(NamedTuple):
    """The fleet and instance of a stream's dialer, and its purpose."""

    fleet: str
    instance: Name
    purpose: Purpose
    protocol: SignedNumber = PROTOCOL_VERSION


def build_hello(
    secret: bytes,
    identity: Identity,
    challenge: bytes,
    nonce: bytes,
) -> bytes:
    """Returns the dialer's reply to the listener's challenge."""
    packed = packb(identity)
    mac = compute_mac(secret, b'dial' + challenge + nonce + packed, _ALGORITHM)
    return mac + nonce + packed


def check_hello(
    secret: bytes,
    fleet: str,
    challenge: bytes,
    hello: bytes,
) -> tuple[Identity, bytes]:
    """Returns the dialer's identity and the listener's proof.

    Raises `HandshakeError` if the HMAC is wrong, before anything is decoded,
    or if the dialer belongs to another fleet.
    """
    mac = hello[:_MAC_BYTES]
    signed = hello[_MAC_BYTES:]
    expected = compute_mac(secret, b'dial' + challenge + signed, _ALGORITHM)
    if not compare_digest(mac, expected):
        raise HandshakeError('the dialer did not prove that it has the secret')
    try:
        identity = convert(
            unpackb(signed[NONCE_BYTES:], use_list=False),
            Identity,
        )
    except (ValueError, ValidationError) as error:
        raise HandshakeError(f'invalid identity: {error}') from error
    if identity.fleet != fleet:
        raise HandshakeError(
            f'dialer of fleet "{identity.fleet}", not "{fleet}"'
        )
    return identity, build_proof(secret, signed[:NONCE_BYTES], challenge)


def build_proof(secret: bytes, nonce: bytes, challenge: bytes) -> bytes:
    """Returns the listener's proof that it has the secret too."""
    return compute_mac(secret, b'listen' + nonce + challenge, _ALGORITHM)


def check_proof(proof: bytes, expected: bytes) -> None:
    """Raises `HandshakeError` if the listener's proof is wrong."""
    if not compare_digest(proof, expected):
        raise HandshakeError(
            'the listener did not prove that it has the secret'
        )
