"""Log lines as JSON, written from a queue so that no request waits.

Each line has `time`, `level`, `event` and the fields of its event.
"""

from atexit import register as register_exit
from logging import FileHandler, Handler, StreamHandler, getLogger
from logging.handlers import QueueHandler, QueueListener
from queue import SimpleQueue

from pythonjsonlogger.json import JsonFormatter

_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'
_RENAMED = {
    'asctime': 'time',
    'levelname': 'level',
    'name': 'module',
    'message': 'event',
}


def start_logs(instance: str, level: str, log_file: str) -> QueueListener:
    """Sends every log line of this process to a file or standard error."""
    sink: Handler = FileHandler(log_file) if log_file else StreamHandler()
    sink.setFormatter(
        JsonFormatter(
            _FORMAT,
            rename_fields=_RENAMED,
            static_fields={'instance': instance},
        ),
    )
    queue: SimpleQueue = SimpleQueue()
    root = getLogger()
    root.setLevel(level)
    root.handlers = [_RecordQueueHandler(queue)]
    listener = _RecordListener(queue, sink)
    listener.start()
    register_exit(listener.stop)
    return listener


class _RecordQueueHandler(QueueHandler):
    """Puts records on the queue unformatted; the sink formats them."""

    def prepare(self, record):
        return record


class _RecordListener(QueueListener):
    """Writes queued records; stopping it again does nothing."""

    def stop(self):
        if self._thread is not None:
            super().stop()
