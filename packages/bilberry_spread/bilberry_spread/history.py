"""Keeps the versions that a relay has seen, and their encoded updates.

Each update is encoded once and shared by all receivers with the same base.
Only the last `MAX_VERSIONS` versions are kept; receivers with an older base
get a snapshot.
"""

from collections import OrderedDict

from bilberry_core.configuration import AcceptedVersion
from bilberry_core.messages.registry import encode_message

from bilberry_spread.delta import build_delta, build_snapshot_message

#: Versions kept as bases of deltas.
MAX_VERSIONS = 64


class VersionHistory:
    """The newest accepted versions, and the updates to the newest one."""

    def __init__(self) -> None:
        """Starts without versions."""
        self._versions: OrderedDict[int, AcceptedVersion] = OrderedDict()
        self._updates: dict[tuple[int, bytes], bytes] = {}
        self._newest: AcceptedVersion | None = None

    @property
    def newest(self) -> AcceptedVersion | None:
        """The newest version, or None before the first."""
        return self._newest

    def find_digest(self, version: int) -> bytes:
        """Returns the digest of a version, or b'' if it is unknown."""
        known = self._versions.get(version)
        return known.digest if known else b''

    def add(self, accepted: AcceptedVersion) -> None:
        """Adds a version; ignores one that is not newer than the newest."""
        if self._newest and accepted.version <= self._newest.version:
            return
        self._newest = accepted
        self._updates.clear()
        self._versions[accepted.version] = accepted
        if len(self._versions) > MAX_VERSIONS:
            self._versions.popitem(last=False)

    def encode_update(self, version: int, digest: bytes) -> bytes:
        """Returns the encoded update from `version` to the newest one.

        The update is empty if `version` is not older than the newest one. It
        is a snapshot if the base is unknown or a delta would not be smaller.
        """
        newest = self._newest
        if newest is None or version >= newest.version:
            return b''
        key = (version, digest)
        if key not in self._updates:
            self._updates[key] = self._encode(newest, key)
        return self._updates[key]

    def encode_snapshot(self) -> bytes:
        """Returns the newest version as an encoded snapshot, or b''."""
        if self._newest is None:
            return b''
        key = (0, b'')
        if key not in self._updates:
            message = build_snapshot_message(self._newest)
            self._updates[key] = encode_message(message)
        return self._updates[key]

    def _encode(
        self,
        newest: AcceptedVersion,
        key: tuple[int, bytes],
    ) -> bytes:
        base = self._versions.get(key[0])
        if base is None or base.digest != key[1]:
            return self.encode_snapshot()
        delta = encode_message(build_delta(base, newest))
        if len(delta) < len(self.encode_snapshot()):
            return delta
        return self.encode_snapshot()
