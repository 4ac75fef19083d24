"""Keeps the set of streams to the other relays of the fleet."""

from collections.abc import Callable, Iterator
from typing import Any

from bilberry_core.settings import Peer, Settings

from bilberry_spread.mesh import MeshPeer
from bilberry_spread.runtime import Runtime


class MeshSet:
    """The other relays, by instance."""

    def __init__(
        self,
        settings: Settings,
        runtime: Runtime,
        receive: Callable[[Peer, Any], None],
    ) -> None:
        """Starts without relays; passes each message to `receive`."""
        self._settings = settings
        self._runtime = runtime
        self._receive = receive
        self._peers: dict[str, MeshPeer] = {}

    def __iter__(self) -> Iterator[MeshPeer]:
        """Iterates over the relays."""
        return iter(self._peers.values())

    def find(self, instance: str) -> MeshPeer | None:
        """Returns the relay of this instance, or None."""
        return self._peers.get(instance)

    def on_relay_heard(self, instance: str) -> None:
        """Dials a relay that has joined this one or asked to be dialed."""
        peer = self.find(instance)
        if peer is not None:
            peer.redial_now()

    def on_relay_left(self, instance: str) -> None:
        """Asks a relay to return whose stream to this one has ended.

        It may have closed the stream while this process stood still, and may
        be waiting for its next dial.
        """
        peer = self.find(instance)
        if peer is not None:
            peer.ask_to_dial()

    def update_peers(self, peers: tuple[Peer, ...]) -> tuple[str, ...]:
        """Replaces the set of relays; returns the instances dropped.

        A relay whose address changed is dropped and added again.
        """
        wanted = {
            peer.instance: peer
            for peer in peers
            if peer.instance != self._settings.instance
        }
        dropped = tuple(
            instance
            for instance, kept in self._peers.items()
            if instance not in wanted
            or wanted[instance].address != kept.peer.address
        )
        for instance in dropped:
            self._peers.pop(instance).stop()
        for instance, peer in wanted.items():
            if instance not in self._peers:
                self._peers[instance] = MeshPeer(
                    peer,
                    self._settings,
                    self._runtime,
                    self._receive,
                )
        return dropped

    def tick(self) -> None:
        """Dials relays and closes silent streams where due."""
        for peer in self:
            peer.tick()

    def stop(self) -> None:
        """Closes every stream."""
        for peer in self:
            peer.stop()
