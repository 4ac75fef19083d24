"""Links: dialled again after a loss, and ended for good."""

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
        """A link that was ended dials no more, though it is not cancelled."""

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

    def test_message_goes_on_after_the_peer_returned(self):
        """A replica that comes back at its address is reached again."""

        async def scenario() -> list[str]:
            heard: list[str] = []
            links = Links(build_credentials('a'), Random(0))
            address = LOOPBACK
            for name in ('first', 'second'):
                listener = StreamListener(build_credentials('b'))
                Links(build_credentials('b'), Random(0)).accept_from(
                    listener,
                    lambda sender, _message, name=name: heard.append(name),
                )
                address = await listener.listen(address)
                links.set_peers({'b': address})
                while name not in heard:
                    links.send('b', ReadRequest(1))
                    await sleep(0)
                listener.close()
            links.close()
            return sorted(set(heard))

        self.assertEqual(['first', 'second'], run(scenario()))

    def test_nothing_is_sent_to_a_stranger(self):
        """A message to a replica without a stream is dropped, and told."""
        links = Links(build_credentials('a'), Random(0))
        self.assertFalse(links.send('b', ReadRequest(1)))


def _ignore(_sender: str, _message: object) -> None:
    """Takes any message."""
