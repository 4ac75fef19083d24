"""A naive proxy as baseline: round robin, and retries of any request."""

from argparse import ArgumentParser
from asyncio import open_connection, start_server
from contextlib import suppress
from itertools import cycle

from h11 import (
    CLIENT,
    DONE,
    NEED_DATA,
    SERVER,
    Connection,
    ConnectionClosed,
    Data,
    EndOfMessage,
    ProtocolError,
    Response,
)
from uvloop import run

_READ_BYTES = 65536
_ATTEMPTS = 3


class NaiveProxy:
    """A proxy that tries upstreams in turn until one responds."""

    def __init__(self, addresses: list[tuple[str, int]]) -> None:
        """Forwards requests to the upstreams at these addresses."""
        self._addresses = cycle(addresses)
        self._idle: dict = {address: [] for address in addresses}

    async def serve(self, reader, writer) -> None:
        """Serves the connection of one caller until it is closed."""
        http = Connection(SERVER)
        while True:
            request, body = await self._receive(http, reader)
            if request is None:
                writer.close()
                return
            response, answer = await self._forward(request, body)
            raw = [http.send(response), http.send(Data(data=answer))]
            writer.write(b''.join([*raw, http.send(EndOfMessage())]))
            await writer.drain()
            if (http.our_state, http.their_state) != (DONE, DONE):
                writer.close()
                return
            http.start_next_cycle()

    async def _forward(self, request, body):
        for _ in range(_ATTEMPTS):
            address = next(self._addresses)
            with suppress(OSError, ProtocolError, KeyError):
                return await self._send_request(address, request, body)
        return Response(status_code=502, headers=[('content-length', '0')]), b''

    async def _send_request(self, address, request, body):
        if self._idle[address]:
            http, reader, writer = self._idle[address].pop()
        else:
            reader, writer = await open_connection(*address)
            http = Connection(CLIENT)
        raw = [http.send(request)]
        if body:
            raw.append(http.send(Data(data=body)))
        writer.write(b''.join([*raw, http.send(EndOfMessage())]))
        response, answer = await self._receive(http, reader)
        http.start_next_cycle()
        self._idle[address].append((http, reader, writer))
        return response, answer

    async def _receive(self, http, reader):
        head = None
        body = b''
        while True:
            event = http.next_event()
            if event is NEED_DATA:
                http.receive_data(await reader.read(_READ_BYTES))
            elif isinstance(event, Data):
                body += event.data
            elif isinstance(event, EndOfMessage | ConnectionClosed):
                return head, body
            else:
                head = event


async def main(addresses: list[tuple[str, int]]) -> None:
    """Runs the naive proxy; prints its address first."""
    server = await start_server(NaiveProxy(addresses).serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    print(f'{host}:{port}', flush=True)
    await server.serve_forever()


if __name__ == '__main__':
    parser = ArgumentParser(description='The naive proxy of the bench.')
    parser.add_argument('upstreams', nargs='+')
    parsed = parser.parse_args()
    split = [text.rpartition(':') for text in parsed.upstreams]
    run(main([(host, int(port)) for host, _, port in split]))
