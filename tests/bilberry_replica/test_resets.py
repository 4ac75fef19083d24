"""Tests that a replica recovers from the loss of all its streams at once."""

from asyncio import get_running_loop, run, sleep
from random import Random

from bilberry_core.endpoint import Address
from bilberry_core.listener import StreamListener
from bilberry_core.messages.replica import ReadRequest
from bilberry_core.stream import Credentials
from bilberry_replica.links import Links
from testtools import TestCase

from soak.link import Link, LinkState

LOOPBACK = Address('127.0.0.1', 0)
PEERS = ('b', 'c', 'd', 'e')
#: Longest time until every peer is reached again, in seconds.
RETURN_S = 1.0
#: Resets in a row, each after the streams are back.
RESETS = 3


class PeerReplica:
    """A peer behind a link whose connections can be reset."""

    def __init__(self, name: str) -> None:
        """Accepts nothing yet."""
        self.name = name
        self.received = 0
        self._credentials = Credentials('fleet', name, b'secret')
        self._listener = StreamListener(self._credentials)
        self.link: Link | None = None

    async def listen(self) -> Address:
        """Starts to accept streams; returns the address of the link."""
        links = Links(self._credentials, Random(0))
        links.accept_from(self._listener, self._receive)
        self.link = Link(await self._listener.listen(LOOPBACK))
        return await self.link.listen()

    def reset(self) -> None:
        """Resets every connection; new ones are accepted."""
        self.received = 0
        self.link.change(LinkState.RESET)
        self.link.change(LinkState.OPEN)

    async def close(self) -> None:
        """Stops accepting."""
        await self.link.close()
        self._listener.close()

    def _receive(self, _sender: str, _message: object) -> None:
        self.received += 1


async def reach_all(links: Links, peers: list[PeerReplica]) -> float:
    """Sends until each peer has received something; returns the seconds."""
    loop = get_running_loop()
    start = loop.time()
    while not all(peer.received for peer in peers):
        for peer in peers:
            links.send(peer.name, ReadRequest(1))
        await sleep(0.005)
    return loop.time() - start


class ResetTest(TestCase):
    """Streams to all other replicas that are reset at the same moment."""

    def test_replica_has_all_streams_back_soon_after_a_reset(self):
        """Resets in a row don't lengthen the way back."""

        async def scenario() -> list[float]:
            peers = [PeerReplica(name) for name in PEERS]
            links = Links(Credentials('fleet', 'a', b'secret'), Random(0))
            links.set_peers(
                {peer.name: await peer.listen() for peer in peers},
            )
            await reach_all(links, peers)
            times_s = []
            for _ in range(RESETS):
                for peer in peers:
                    peer.reset()
                times_s.append(await reach_all(links, peers))
            links.close()
            for peer in peers:
                await peer.close()
            return times_s

        for time_s in run(scenario()):
            self.assertLess(time_s, RETURN_S)
