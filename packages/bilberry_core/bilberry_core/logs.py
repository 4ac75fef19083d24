"""Writes log lines as JSON from a queue, so that no request waits for output.

Each line has `time`, `level`, `module`, `event`, `instance` and the fields of
its event. Lines are written in batches: waking a thread for every line costs
a request more than the line itself. If the output is blocked, lines are queued
up to a limit and then dropped; nothing else waits for them.
"""

from atexit import register as register_exit
from logging import (
    FileHandler,
    Formatter,
    Handler,
    LogRecord,
    StreamHandler,
    getLogger,
)
from logging.handlers import QueueHandler, QueueListener
from queue import Empty, SimpleQueue
from sys import stdout
from time import monotonic, sleep

from msgspec.json import Encoder

from bilberry_core.log_volume import LogRateFilter

_log = getLogger(__name__)

#: Time between two batches of lines, in seconds.
BATCH_INTERVAL_S = 0.05
#: Time between two reports of dropped lines, in seconds.
REPORT_INTERVAL_S = 1.0
#: Maximum number of lines queued while the output is blocked.
MAX_QUEUED_LINES = 10_000
_STANDARD_FIELDS = frozenset(
    (
        *vars(LogRecord('', 0, '', 0, '', None, None)),
        'message',
        'asctime',
        'taskName',
    ),
)


def start_logs(instance: str, level: str, log_file: str) -> QueueListener:
    """Sends the log lines of this process to a file or standard output."""
    sink: Handler = StreamHandler(stdout)
    if log_file:
        sink = FileHandler(log_file)
    sink.setFormatter(JsonLineFormatter(instance))
    queue: SimpleQueue = SimpleQueue()
    root = getLogger()
    root.setLevel(level)
    rate_filter = LogRateFilter()
    handler = RecordQueueHandler(queue)
    handler.addFilter(rate_filter)
    root.handlers = [handler]
    listener = _BatchListener(queue, sink, rate_filter)
    listener.start()
    register_exit(listener.stop)
    return listener


class JsonLineFormatter(Formatter):
    """A formatter that renders a record as one line of JSON."""

    def __init__(self, instance: str) -> None:
        """Adds the name of this instance to every line."""
        super().__init__()
        self._instance = instance
        self._encoder = Encoder(enc_hook=str)

    def format(self, record: LogRecord) -> str:
        """Returns the line, without a line terminator."""
        line = {
            'time': self.formatTime(record),
            'level': record.levelname,
            'module': record.name,
            'event': record.getMessage(),
            'instance': self._instance,
        }
        for name, field in vars(record).items():
            if name not in _STANDARD_FIELDS:
                line[name] = field
        if record.exc_info:
            line['exc_info'] = self.formatException(record.exc_info)
        return self._encoder.encode(line).decode()


class _BatchListener(QueueListener):
    """A queue listener that processes records in batches."""

    def __init__(
        self,
        queue: SimpleQueue,
        sink: Handler,
        rate_filter: LogRateFilter,
    ) -> None:
        """Writes to `sink` and reports the lines that `rate_filter` drops."""
        super().__init__(queue, sink)
        self._rate_filter = rate_filter
        self._next_report: float = 0

    def dequeue(self, block: bool) -> LogRecord:
        """Returns the next record, without waiting on the queue itself."""
        while block:
            try:
                return self.queue.get_nowait()
            except Empty:
                self._report_suppressed()
                sleep(BATCH_INTERVAL_S)
        return self.queue.get_nowait()

    def _report_suppressed(self) -> None:
        now = monotonic()
        if now < self._next_report:
            return
        self._next_report = now + REPORT_INTERVAL_S
        suppressed = self._rate_filter.pop_suppressed_counts()
        if any(suppressed.values()):
            _log.warning('lines_left_out', extra=suppressed)

    def stop(self) -> None:
        """Writes the queued lines and stops; a second call does nothing."""
        if self._thread is not None:
            super().stop()


class RecordQueueHandler(QueueHandler):
    """A handler that queues unformatted records; the sink formats them."""

    def enqueue(self, record):
        if self.queue.qsize() < MAX_QUEUED_LINES:
            super().enqueue(record)

    def prepare(self, record):
        return record
