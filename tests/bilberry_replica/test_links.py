"""Links: redialling after a loss, and closing."""

from asyncio import create_task, run, sleep, wait_for
from random import Random

from bilberry_core.endpoint import Address
from bilberry_core.listener import StreamListener
from bilberry_core.messages.replica import ReadRequest
from bilberry_core.stream import Credentials
from bilberry_replica.links import Link, Links
from testtools import TestCase

TIMEOUT_S = 20.0
LOOPBACK = Address('127.0.0.1', 0)


def build_credentials(instance: str) -> Credentials:
    """Returns the credentials of a replica."""
    return Credentials('fleet', instance, b'secret')


class LinksTest(TestCase):
    """Streams between two replicas on loopback."""

    def test_link_ends_without_a_cancellation(self):
        """A closed link stops dialling even if it is not cancelled."""

        async def scenario() -> None:
            listener = StreamListener(build_credentials('b'))
            Links(build_credentials('b'), Random(0)).accept_from(
                listener,
                _ignore,
            )
            address = await listener.listen(LOOPBACK)
            link = Link(build_credentials('a'), address, Random(0), _ignore)
            task = create_task(link.keep_open('b'))
            while link.stream is None:
                await sleep(0)
            link.close()
            await wait_for(task, TIMEOUT_S)
            listener.close()

        run(scenario())

    def test_messages_reach_a_peer_that_returned(self):
        """A replica that restarts at its address is reached again."""

        async def scenario() -> list[str]:
            received: list[str] = []
            links = Links(build_credentials('a'), Random(0))
            address = LOOPBACK
            for name in ('first', 'second'):
                listener = StreamListener(build_credentials('b'))
                Links(build_credentials('b'), Random(0)).accept_from(
                    listener,
                    lambda sender, _message, name=name: received.append(name),
                )
                address = await listener.listen(address)
                links.set_peers({'b': address})
                while name not in received:
                    links.send('b', ReadRequest(1))
                    await sleep(0)
                listener.close()
            links.close()
            return sorted(set(received))

        self.assertEqual(['first', 'second'], run(scenario()))

    def test_send_without_a_stream_returns_false(self):
        """A message to a replica without a stream is dropped and reported."""
        links = Links(build_credentials('a'), Random(0))
        self.assertFalse(links.send('b', ReadRequest(1)))


def _ignore(_sender: str, _message: object) -> None:
    """Ignores a message."""
