"""Runs a daemon that listens for streams behind a link.

The address in its settings, which it announces to its fleet, is the link's;
the daemon listens on another port, with small buffers, so that a full link
holds it back.

Usage: `python -m soak.hidden_daemon PORT SETTINGS`.
"""

from asyncio import get_running_loop
from sys import argv
from typing import ClassVar
from unittest.mock import patch

from bilberry_core.endpoint import Address
from bilberry_core.listener import StreamListener
from bilberryd.main import Commands

from soak.link import open_narrow_socket


class HiddenListener(StreamListener):
    """A listener on another port than the fleet knows."""

    port: ClassVar[int] = 0

    async def listen(self, address: Address) -> Address:
        """Starts accepting streams; returns the address that is known."""
        listening = open_narrow_socket()
        listening.bind((address.host, self.port))
        self._server = await get_running_loop().create_server(
            self._accept, sock=listening
        )
        return address


def main(port: str, settings: str) -> None:
    """Runs the daemon until SIGTERM."""
    HiddenListener.port = int(port)
    with patch('bilberryd.parts.StreamListener', HiddenListener):
        Commands().run(settings)


if __name__ == '__main__':
    main(*argv[1:])
