"""Starts the processes of one bench and sends them all endpoints."""

from contextlib import ExitStack
from json import dumps, loads
from threading import Condition, Thread

from bilberry_core.endpoint import Address

from bench.processes import BenchProcess

SLOTS = 12
_WAIT_S = 10.0


class BenchFleet:
    """Two daemons, their upstreams and the processes to compare them with.

    Each endpoint that a daemon announces is sent to both daemons at once;
    `bench.spread` measures the distribution of endpoints.
    """

    def __init__(self, stack: ExitStack, folder: str) -> None:
        """Starts the daemons; `stack` ends every process on exit."""
        self._stack = stack
        self._folder = folder
        self._endpoints_changed = Condition()
        self._endpoints: dict[str, list] = {}
        self.nodes = [self._start_node(name) for name in ('caller', 'beside')]
        for node in self.nodes:
            Thread(
                target=self._read_endpoints, args=(node,), daemon=True
            ).start()

    @property
    def callers(self) -> Address:
        """The address where the first daemon listens for callers."""
        return self.get_callers_address(0)

    @property
    def record_file(self) -> str:
        """The path of the file where the upstreams record each run."""
        return f'{self._folder}/runs'

    def get_callers_address(self, index: int) -> Address:
        """Returns the address where a daemon listens for callers."""
        return Address(*self.nodes[index].addresses['callers'])

    def start_upstream(self, index: int, *options: str) -> BenchProcess:
        """Starts an upstream beside a daemon and waits until it is ready."""
        host, port = self.nodes[index].addresses['upstream']
        upstream = self.start(
            'standin.upstream',
            '--daemon',
            f'{host}:{port}',
            '--service',
            'callouts',
            '--slots',
            str(SLOTS),
            '--record-file',
            self.record_file,
            *options,
        )
        name = self.nodes[index].name
        with self._endpoints_changed:
            self._endpoints_changed.wait_for(
                lambda: 'ready' in self._endpoints.get(name, ()),
                _WAIT_S,
            )
        return upstream

    def start(self, *arguments: str) -> BenchProcess:
        """Starts a process that is ended when the bench exits."""
        return self._stack.enter_context(BenchProcess(*arguments))

    def send_endpoints(self) -> None:
        """Sends all endpoints to every daemon.

        A daemon also counts them as a new version of the configuration.
        """
        with self._endpoints_changed:
            line = dumps(list(self._endpoints.values()))
            for node in self.nodes:
                node.write_line(line)

    def _start_node(self, name: str) -> BenchProcess:
        log_file = f'{self._folder}/{name}.log'
        node = self.start('bench.node', '--name', name, '--log-file', log_file)
        node.name = name
        node.addresses = loads(node.first_line)
        return node

    def _read_endpoints(self, node: BenchProcess) -> None:
        for line in node.process.stdout:
            endpoint = loads(line)['endpoint']
            # A ready time (`since_ms`) of 0 excludes the endpoint from slow
            # start, because the bench measures warm endpoints.
            endpoint[-1] = 0
            with self._endpoints_changed:
                self._endpoints[node.name] = endpoint
            self.send_endpoints()
            with self._endpoints_changed:
                self._endpoints_changed.notify_all()
