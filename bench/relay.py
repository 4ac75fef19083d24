"""Forwards plain bytes: the minimum cost of one hop on this machine."""

from argparse import ArgumentParser
from asyncio import Protocol, get_running_loop

from uvloop import run


class Pipe(Protocol):
    """One side of a relayed connection, which forwards to the other side."""

    def __init__(self) -> None:
        self.other: Pipe | None = None
        self.transport = None
        self._buffered: list[bytes] = []

    def connection_made(self, transport) -> None:
        """Stores the transport of this side."""
        self.transport = transport

    def data_received(self, received: bytes) -> None:
        """Forwards bytes, or buffers them until the other side connects."""
        if self.other is None:
            self._buffered.append(received)
        else:
            self.other.transport.write(received)

    def connection_lost(self, _error) -> None:
        """Closes the other side as well."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()

    async def connect_other(self, host: str, port: int) -> None:
        """Connects the other side and forwards what was buffered."""
        other = Pipe()
        other.other = self
        await get_running_loop().create_connection(lambda: other, host, port)
        self.other = other
        for chunk in self._buffered:
            other.transport.write(chunk)


async def main(host: str, port: int) -> None:
    """Relays every connection to one address; prints its own first."""
    loop = get_running_loop()
    tasks = set()

    def accept() -> Pipe:
        pipe = Pipe()
        task = loop.create_task(pipe.connect_other(host, port))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        return pipe

    server = await loop.create_server(accept, '127.0.0.1', 0)
    bound = server.sockets[0].getsockname()
    print(f'{bound[0]}:{bound[1]}', flush=True)
    await server.serve_forever()


if __name__ == '__main__':
    parser = ArgumentParser(description='A relay of bytes.')
    parser.add_argument('target')
    split = parser.parse_args().target.rpartition(':')
    run(main(split[0], int(split[2])))
