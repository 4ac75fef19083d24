"""The session of a command: common options, client and output."""

import sys
from collections.abc import Callable
from json import dumps
from pathlib import Path
from typing import Any, NamedTuple

from bilberry_core.clock import MS_PER_S
from bilberry_core.endpoint import Address
from bilberry_core.http import HttpRequest, HttpResponse
from bilberry_core.scalar import parse_address
from bilberry_core.text_file import read_text_file
from bilberry_core.unit import parse_duration_ms
from returns.result import Failure

from bilberryctl.answers import ErrorAnswer, decode_answer
from bilberryctl.client import OperatorsClient, Reply
from bilberryctl.exit_code import ExitCode
from bilberryctl.outcome import Document, Outcome, UsageError, fail, succeed

_EXIT_CODES = {409: ExitCode.REFUSED, 412: ExitCode.CONFLICT}
#: Parameters of `fail`; members of a server's error with these names are
#: dropped.
_RESERVED_MEMBERS = frozenset(('code', 'name', 'detail'))
_OUTPUT_FORMATS = ('text', 'json')
_MIN_ERROR_STATUS = 400
_MAX_TOKEN_BYTES = 4096


class CommonOptions(NamedTuple):
    """The unparsed options that every command has."""

    server: str
    token_file: str
    output: str
    timeout: str


class Session:
    """The client and the output format of one command."""

    def __init__(self, client: OperatorsClient, output: str) -> None:
        self._client = client
        self._output = output

    @classmethod
    def from_options(cls, options: CommonOptions) -> 'Session':
        """Builds a session; raises `UsageError` for invalid options."""
        if options.output not in _OUTPUT_FORMATS:
            raise UsageError(
                f'--output: expected text or json, got "{options.output}"',
            )
        client = OperatorsClient(
            parse_servers(options.server),
            _read_token(options.token_file),
            parse_timeout(options.timeout, '--timeout'),
        )
        return cls(client, options.output)

    @property
    def client(self) -> OperatorsClient:
        """The client of the operators' interface."""
        return self._client

    async def read(
        self,
        target: str,
        kind: Any,
        render: Callable[[Document], str],
    ) -> Outcome:
        """Returns the outcome of a GET, with its JSON response rendered.

        `kind` is the schema that the response must match.
        """
        answer = await self.get(target, 'application/json')
        if isinstance(answer, Outcome):
            return answer
        members = decode_answer(answer, kind)
        if isinstance(members, Failure):
            return fail_unreadable(members.failure())
        return succeed(members.unwrap(), render(members.unwrap()))

    async def get(self, target: str, accept: str) -> HttpResponse | Outcome:
        """Returns the response to a GET, or the outcome where it failed."""
        headers = ((b'accept', accept.encode()),)
        reply = await self._client.send(HttpRequest('GET', target, headers))
        return check_reply(reply)

    def report(self, line: str) -> None:
        """Prints a line of progress to standard error."""
        print(line, file=sys.stderr, flush=True)

    def show(self, outcome: Outcome) -> None:
        """Prints the outcome of the command.

        JSON goes to standard output; text of an error to standard error.
        """
        if self._output == 'json':
            shown = dumps(outcome.document, ensure_ascii=False, indent=2)
            print(shown, flush=True)
            return
        stream = sys.stderr if 'error' in outcome.document else sys.stdout
        print(outcome.text.rstrip('\n'), file=stream, flush=True)


def check_reply(reply: Reply) -> HttpResponse | Outcome:
    """Returns the response; a failed outcome if it is missing or an error."""
    response = reply.response
    if response is None:
        return fail(ExitCode.UNREACHABLE, 'unreachable', reply.detail)
    if response.status < _MIN_ERROR_STATUS:
        return response
    answered = decode_answer(response, ErrorAnswer)
    error = dict(answered.value_or({'error': {}})['error'])
    name = error.pop('code', f'status_{response.status}')
    detail = error.pop('detail', 'the server gave no reason')
    code = _EXIT_CODES.get(response.status, ExitCode.REFUSED)
    return fail(code, str(name), str(detail), **_drop_reserved(error))


def fail_unreadable(detail: str) -> Outcome:
    """Returns the outcome of a response that can't be decoded."""
    return fail(ExitCode.UNREACHABLE, 'unreadable_answer', detail)


def _drop_reserved(error: Document) -> Document:
    return {
        key: member
        for key, member in error.items()
        if key not in _RESERVED_MEMBERS
    }


def parse_servers(text: str) -> tuple[Address, ...]:
    """Returns the addresses in a list such as `127.0.0.1:1,127.0.0.1:2`."""
    parsed = [parse_address(part.strip()) for part in text.split(',')]
    for each in parsed:
        if isinstance(each, Failure):
            raise UsageError(f'--server: {each.failure()}')
    return tuple(address.unwrap() for address in parsed)


def parse_timeout(text: str, name: str) -> float:
    """Returns a duration such as `5s`, in seconds."""
    duration_ms = parse_duration_ms(text)
    if isinstance(duration_ms, Failure):
        raise UsageError(f'{name}: {duration_ms.failure()}')
    return duration_ms.unwrap() / MS_PER_S


def _read_token(token_file: str) -> str:
    if not token_file:
        return ''
    found = read_text_file(Path(token_file), _MAX_TOKEN_BYTES)
    if isinstance(found, Failure):
        raise UsageError(f'--token-file: {token_file}: {found.failure()}')
    token = found.unwrap().strip()
    if not token.isascii() or not token.isprintable():
        raise UsageError(f'--token-file: {token_file} contains no valid token')
    return token
