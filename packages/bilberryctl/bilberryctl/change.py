"""Commands that change the fleet: apply, rollback and remove-replica."""

from getpass import getuser
from typing import NamedTuple
from urllib.parse import quote
from uuid import uuid4

from bilberry_core.http import HttpRequest, HttpResponse
from returns.result import Failure

from bilberryctl.answers import ChangeAnswer, decode_answer, read_etag
from bilberryctl.exit_code import ExitCode
from bilberryctl.local_file import read_configuration
from bilberryctl.outcome import Outcome, fail, succeed
from bilberryctl.progress import wait_in_force
from bilberryctl.session import Session, check_reply, fail_unreadable


class ChangeOptions(NamedTuple):
    """The options of a change.

    `base`
        The version that the change is based on; None for the current one.
    `change_id`
        Identifies the change, so that a resend is not accepted twice.
    `wait_s`
        Maximum wait until every proxy runs the change, in seconds; 0 for no
        wait.
    """

    base: int | None
    change_id: str
    author: str
    note: str
    wait_s: float


def generate_change_id() -> str:
    """Returns a new unique change ID."""
    return uuid4().hex


def get_default_author() -> str:
    """Returns the user name of this process, or `unknown`."""
    try:
        return getuser()
    except (OSError, KeyError):
        return 'unknown'


async def apply_file(
    session: Session,
    path: str,
    options: ChangeOptions,
) -> Outcome:
    """Submits the configuration in a file as the next version."""
    configuration = read_configuration(path)
    if isinstance(configuration, Outcome):
        return configuration
    request = HttpRequest(
        'PUT',
        '/v1/configuration',
        ((b'content-type', b'application/yaml'),),
        configuration.text.encode(),
    )
    return await _submit(session, request, options)


async def roll_back(
    session: Session,
    version: int,
    options: ChangeOptions,
) -> Outcome:
    """Submits the content of an older version as the next version."""
    request = HttpRequest('POST', f'/v1/rollback?version={version}')
    return await _submit(session, request, options)


async def remove_replica(session: Session, instance: str) -> Outcome:
    """Removes a replica permanently from the fleet."""
    request = HttpRequest('DELETE', f'/v1/replicas/{quote(instance, safe="")}')
    reply = await session.client.send(request)
    answer = check_reply(reply)
    if reply.is_undecided:
        detail = f'run the same command again ({reply.detail})'
        return fail(ExitCode.UNKNOWN, 'outcome_unknown', detail)
    if isinstance(answer, Outcome):
        return answer
    return succeed({'removing': instance}, f'replica {instance} is removed')


async def _submit(
    session: Session,
    request: HttpRequest,
    options: ChangeOptions,
) -> Outcome:
    base = options.base
    if base is None:
        current = await _read_base_version(session)
        if isinstance(current, Outcome):
            return current
        base = current
        session.report(f'base version {base}, the current one')
    session.report(f'change ID {options.change_id}')
    reply = await session.client.send(_add_headers(request, base, options))
    if reply.is_undecided:
        return _fail_unknown(base, options, reply.detail)
    answer = check_reply(reply)
    if isinstance(answer, Outcome):
        return answer
    return await _complete_change(session, answer, base, options)


async def _read_base_version(session: Session) -> int | Outcome:
    current = await session.get('/v1/configuration', 'application/json')
    if isinstance(current, Outcome):
        return current
    version = read_etag(current)
    if isinstance(version, Failure):
        return fail_unreadable(version.failure())
    return version.unwrap()


async def _complete_change(
    session: Session,
    answer: HttpResponse,
    base: int,
    options: ChangeOptions,
) -> Outcome:
    decoded = decode_answer(answer, ChangeAnswer)
    if isinstance(decoded, Failure):
        return _fail_unknown(base, options, decoded.failure())
    document = {
        **decoded.unwrap(),
        'base_version': base,
        'change_id': options.change_id,
    }
    if options.wait_s:
        return await wait_in_force(session, document, options.wait_s)
    return succeed(document, f'version {document["version"]} is accepted')


def _add_headers(
    request: HttpRequest,
    base: int,
    options: ChangeOptions,
) -> HttpRequest:
    headers = (
        (b'if-match', f'"{base}"'.encode()),
        (b'bilberry-change-id', options.change_id.encode()),
        (b'bilberry-author', quote(options.author).encode()),
        (b'bilberry-note', quote(options.note).encode()),
    )
    return request._replace(headers=(*request.headers, *headers))


def _fail_unknown(base: int, options: ChangeOptions, detail: str) -> Outcome:
    return fail(
        ExitCode.UNKNOWN,
        'outcome_unknown',
        'the change may still be accepted; run the same command again with'
        f' --base {base} --change-id {options.change_id}'
        f' ({detail or "the replicas did not confirm it in time"})',
        base_version=base,
        change_id=options.change_id,
    )
