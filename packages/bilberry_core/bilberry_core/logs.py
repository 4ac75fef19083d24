"""Log lines as JSON, written from a queue so that no request waits.

Each line has `time`, `level`, `module`, `event`, `instance` and the fields of
its event. Lines are written in batches: waking a thread for every line costs
a request more than the line itself.
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
from time import sleep

from msgspec.json import Encoder

#: Time between two batches of lines, in seconds.
BATCH_S = 0.05
_STANDARD_FIELDS = frozenset(
    (
        *vars(LogRecord('', 0, '', 0, '', None, None)),
        'message',
        'asctime',
        'taskName',
    ),
)


def start_logs(instance: str, level: str, log_file: str) -> QueueListener:
    """Sends every log line of this process to a file or standard error."""
    sink: Handler = FileHandler(log_file) if log_file else StreamHandler()
    sink.setFormatter(JsonLineFormatter(instance))
    queue: SimpleQueue = SimpleQueue()
    root = getLogger()
    root.setLevel(level)
    root.handlers = [_RecordQueueHandler(queue)]
    listener = _BatchListener(queue, sink)
    listener.start()
    register_exit(listener.stop)
    return listener


class JsonLineFormatter(Formatter):
    """Formats a record as one line of JSON."""

    def __init__(self, instance: str) -> None:
        """Adds the name of this instance to every line."""
        super().__init__()
        self._instance = instance
        self._encoder = Encoder(enc_hook=str)

    def format(self, record: LogRecord) -> str:
        """Returns the line, without its end."""
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
    """Takes records off the queue in batches."""

    def dequeue(self, block: bool) -> LogRecord:
        """Returns the next record, without waiting on the queue itself."""
        while block:
            try:
                return self.queue.get_nowait()
            except Empty:
                sleep(BATCH_S)
        return self.queue.get_nowait()

    def stop(self) -> None:
        """Writes what waits and ends; does nothing the second time."""
        if self._thread is not None:
            super().stop()


class _RecordQueueHandler(QueueHandler):
    """Puts records on the queue unformatted; the sink formats them."""

    def prepare(self, record):
        return record
