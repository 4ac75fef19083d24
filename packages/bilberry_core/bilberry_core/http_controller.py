"""A controller that serves HTTP requests on one address with one handler."""

from asyncio import Event

from bilberry_core.endpoint import Address
from bilberry_core.http import HttpHandler, HttpLimits, serve_http


class HttpController:
    """A controller that serves whole HTTP requests until it is stopped."""

    def __init__(
        self,
        address: Address,
        handler: HttpHandler,
        limits: HttpLimits = HttpLimits(),
    ) -> None:
        self._address = address
        self._handler = handler
        self._limits = limits
        self._stopping = Event()

    async def run(self) -> None:
        """Listens until `stop` is called."""
        server = await serve_http(self._address, self._handler, self._limits)
        try:
            await self._stopping.wait()
        finally:
            server.close()

    async def stop(self) -> None:
        """Makes `run` stop listening and return."""
        self._stopping.set()
