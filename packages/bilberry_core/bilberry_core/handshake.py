"""How two daemons of a fleet prove the fleet's secret to each other.

The listener sends a nonce. The dialer answers with its identity, a nonce of
its own and an HMAC-SHA256 over both nonces and the identity. The listener
checks the code before it decodes anything, then proves the secret in turn.
The secret itself is never sent.
"""

from enum import StrEnum
from hashlib import sha256
from hmac import compare_digest
from hmac import digest as compute_mac
from typing import NamedTuple

from msgpack import packb, unpackb
from msgspec import ValidationError, convert

from bilberry_core.error import HandshakeError

#: Length of a nonce, in bytes.
NONCE_BYTES = 16
#: Longest frame before the secret is proven, in bytes.
MAX_HANDSHAKE_BYTES = 1024
#: Longest time to connect and prove the secret, in seconds.
HANDSHAKE_TIMEOUT_S = 3.0
#: Version of the messages that follow.
PROTOCOL_VERSION = 1
_MAC_BYTES = 32
_ALGORITHM = sha256().name


class Purpose(StrEnum):
    """What a stream between two daemons is for."""

    REPLICA = 'replica'
    SPREAD = 'spread'
    CALL = 'call'
    CLAIM = 'claim'


class Identity(NamedTuple):
    """Who opens a stream, of which fleet, and for what."""

    fleet: str
    instance: str
    purpose: Purpose
    protocol: int = PROTOCOL_VERSION


def build_hello(
    secret: bytes,
    identity: Identity,
    challenge: bytes,
    nonce: bytes,
) -> bytes:
    """Returns the dialer's answer to the listener's challenge."""
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

    Raises `HandshakeError` where the secret was not proven, before anything
    is decoded, or where the dialer is of another fleet.
    """
    mac = hello[:_MAC_BYTES]
    signed = hello[_MAC_BYTES:]
    expected = compute_mac(secret, b'dial' + challenge + signed, _ALGORITHM)
    if not compare_digest(mac, expected):
        raise HandshakeError('the dialer did not prove the secret')
    try:
        identity = convert(
            unpackb(signed[NONCE_BYTES:], use_list=False),
            Identity,
        )
    except (ValueError, ValidationError) as error:
        raise HandshakeError(f'identity: {error}') from error
    if identity.fleet != fleet:
        raise HandshakeError(f'fleet "{identity.fleet}" is not "{fleet}"')
    return identity, build_proof(secret, signed[:NONCE_BYTES], challenge)


def build_proof(secret: bytes, nonce: bytes, challenge: bytes) -> bytes:
    """Returns the listener's proof that it has the secret too."""
    return compute_mac(secret, b'listen' + nonce + challenge, _ALGORITHM)


def check_proof(proof: bytes, expected: bytes) -> None:
    """Raises `HandshakeError` where the listener's proof is wrong."""
    if not compare_digest(proof, expected):
        raise HandshakeError('the listener did not prove the secret')
