"""Organisations: whose keys callers send, and what each may ask of the fleet.

The configuration holds digests of keys, never keys: a daemon compares digests,
and whoever reads a configuration, a snapshot or a journal learns no key. Keys
are long and random, so a digest can't be searched for its key.
"""

from hashlib import blake2b
from typing import NamedTuple

from bilberry_core.policy import Priority

#: Length of the digest of a key, in bytes.
KEY_DIGEST_BYTES = 16


class Organisation(NamedTuple):
    """A group of callers that identify themselves by keys.

    `key_digests`
        The digests of its keys, sorted.
    `priority`
        Takes precedence over the policy's; None keeps it.
    `rate`, `burst`
        Its quota: requests a second, and further ones in a burst, over the
        whole fleet; a rate of 0 is no limit.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    priority: Priority | None = None
    rate: float = 0.0  # noqa: WPS358 - as it is encoded
    burst: int = 0


def compute_key_digest(key: bytes) -> str:
    """Returns the digest of a key, as the configuration holds it."""
    return blake2b(key, digest_size=KEY_DIGEST_BYTES).hexdigest()
