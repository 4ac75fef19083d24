"""Tests of links: outages are logged once, silent streams reopened."""

from asyncio import run
from unittest.mock import patch

from bilberry_claims.link import HolderLink, HolderLinks
from bilberry_core.board import Holder
from bilberry_core.endpoint import Address
from bilberry_core.handshake import Purpose
from bilberry_core.listener import StreamListener
from bilberry_core.messages.claim import HolderProbe
from bilberry_core.stream import Credentials
from testtools import TestCase

from tests.bilberry_claims.fleet import wait_until

_CREDENTIALS = Credentials('fleet', 'proxy', b'secret')
_PROBE = HolderProbe(0, 1, 'proxy')


class LinkTest(TestCase):
    """Links to holders that are down, silent or moved."""

    async def _listen(self, streams, address=Address('127.0.0.1', 0)):
        listener = StreamListener(_CREDENTIALS)
        listener.handle(Purpose.CLAIM, streams.append)
        return listener, await listener.listen(address)

    def test_outage_is_logged_once_and_link_reconnects(self):
        async def scenario():
            listener, address = await self._listen([])
            listener.close()
            link = HolderLink(
                _CREDENTIALS,
                Holder('holder', *address, 'a'),
                lambda _instance, _reply: None,
            )
            for _ in range(2):
                link.send(_PROBE)
                await wait_until(lambda: link._opening is None)
            streams = []
            listener, _ = await self._listen(streams, address)
            link.send(_PROBE)
            await wait_until(lambda: streams)
            link.close()
            listener.close()

        with patch('bilberry_claims.link._log') as log:
            run(scenario())
        self.assertEqual(1, log.warning.call_count)

    def test_silent_stream_is_reopened(self):
        async def scenario():
            streams = []
            listener, address = await self._listen(streams)
            links = HolderLinks(_CREDENTIALS, lambda _instance, _reply: None)
            holder = Holder('holder', *address, 'a')
            links.send('holder', holder, _PROBE)
            await wait_until(lambda: len(streams) == 1)
            for _ in range(2):
                links.send('holder', holder, _PROBE)
            await wait_until(lambda: len(streams) == 2)
            links.close()
            listener.close()
            return len(streams)

        with patch('bilberry_claims.link._SILENCE_TIMEOUT_S', 0):
            self.assertEqual(2, run(scenario()))

    def test_link_follows_a_changed_address(self):
        async def scenario():
            before, after = [], []
            first, old = await self._listen(before)
            second, new = await self._listen(after)
            links = HolderLinks(_CREDENTIALS, lambda _instance, _reply: None)
            links.send('holder', Holder('holder', *old, 'a'), _PROBE)
            await wait_until(lambda: before)
            links.send('holder', Holder('holder', *new, 'a'), _PROBE)
            await wait_until(lambda: after)
            links.close()
            first.close()
            second.close()

        run(scenario())
