"""One claim holder as a process of its own.

Arguments: instance, data folder. Prints its address, then reads the epoch as
a line of JSON on standard input. For each line after it, prints as JSON
whether the holder has caught up, that is, copied the claims of the epoch.
"""

from asyncio import (
    StreamReader,
    StreamReaderProtocol,
    create_task,
    get_running_loop,
)
from json import dumps, loads
from sys import argv, stdin

from bilberry_claims.holder import HolderController
from bilberry_claims.limit import ClaimLimits
from bilberry_core.board import Board, ClaimEpoch
from bilberry_core.clock import SystemClock
from bilberry_core.disk import SystemDisk
from bilberry_core.endpoint import Address
from bilberry_core.handshake import Purpose
from bilberry_core.listener import StreamListener
from bilberry_core.stream import Credentials
from msgspec import convert
from uvloop import run


async def open_input() -> StreamReader:
    """Returns standard input as a stream."""
    reader = StreamReader()
    await get_running_loop().connect_read_pipe(
        lambda: StreamReaderProtocol(reader),
        stdin,
    )
    return reader


async def serve(instance: str, folder: str) -> None:
    """Runs the holder until standard input ends."""
    board = Board()
    credentials = Credentials('bench', instance, b'secret')
    listener = StreamListener(credentials)
    controller = HolderController(
        board,
        credentials,
        SystemDisk.open(folder, 'bench'),
        SystemClock(),
        ClaimLimits(),
    )
    listener.handle(Purpose.CLAIM, controller.accept)
    address = await listener.listen(Address('127.0.0.1', 0))
    running = create_task(controller.run())
    print(f'{address.host}:{address.port}', flush=True)
    lines = await open_input()
    epoch = loads(await lines.readline())
    board.claim_epoch.put(convert(epoch, ClaimEpoch))
    while await lines.readline():
        print(dumps({'is_caught_up': controller.is_caught_up}), flush=True)
    await controller.stop()
    await running


if __name__ == '__main__':
    run(serve(*argv[1:]))
