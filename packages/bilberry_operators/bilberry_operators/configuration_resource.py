"""Reads and changes the accepted configuration through the acceptor."""

from asyncio import to_thread, wait_for
from http import HTTPStatus
from logging import getLogger

from bilberry_core.acceptance import (
    Accepted,
    Acceptor,
    Change,
    HistoryEntry,
    NotAccepted,
    OutcomeUnknown,
    Refusal,
)
from bilberry_core.configuration import (
    AcceptedVersion,
    Configuration,
    decode_configuration,
    encode_configuration,
)
from bilberry_core.configuration_document import build_document
from bilberry_core.configuration_file import (
    parse_configuration,
    render_configuration,
)
from bilberry_core.http import Headers, HttpRequest, HttpResponse
from returns.result import Failure, Result

from bilberry_operators.answer import (
    RefusedError,
    build_etag,
    build_json_response,
    build_yaml_response,
)
from bilberry_operators.outcome import (
    answer_outcome,
    build_not_accepted_error,
    describe_entry,
)
from bilberry_operators.precondition import (
    Precondition,
    check_token,
    read_precondition,
)
from bilberry_operators.router import RoutedRequest, parse_whole_number

_log = getLogger(__name__)

#: Timeout of a change or read through the replicas, in seconds.
ACCEPTANCE_TIMEOUT_S = 5.0
#: Number of versions listed where the request sets no limit.
DEFAULT_HISTORY_LIMIT = 20
#: Largest number of versions that are searched or listed.
MAX_HISTORY_LIMIT = 10_000
#: Extra time for the acceptor to report its own timeout, in seconds.
_GRACE_S = 1.0


class ConfigurationResource:
    """The HTTP resources of the configuration and its history.

    They exist only on a daemon with an acceptor.
    """

    def __init__(self, acceptor: Acceptor, token: str) -> None:
        self._acceptor = acceptor
        self._token = token

    async def read(self, routed: RoutedRequest) -> HttpResponse:
        """Returns the newest accepted configuration, as JSON or YAML."""
        current = await self._read_current()
        if current is None:
            return _render(routed.request, Configuration(), build_etag(0))
        return await to_thread(
            _render,
            routed.request,
            current.configuration,
            build_etag(current.version),
        )

    async def replace(self, routed: RoutedRequest) -> HttpResponse:
        """Submits the configuration in the body as the next version."""
        check_token(routed.request, self._token)
        condition = read_precondition(routed.request)
        content = await to_thread(_read_body, routed.request)
        return await self._submit(_build_change(condition, content))

    async def list_history(self, routed: RoutedRequest) -> HttpResponse:
        """Returns the newest versions, newest first.

        `confirmed` is false where no quorum confirmed the newest version.
        """
        limit = min(
            routed.get_whole_number('limit', DEFAULT_HISTORY_LIMIT),
            MAX_HISTORY_LIMIT,
        )
        confirmed = await self._catch_up()
        entries = self._acceptor.read_history(limit)
        versions = [describe_entry(entry) for entry in entries]
        return build_json_response(
            {'confirmed': confirmed, 'versions': versions}
        )

    async def read_version(self, routed: RoutedRequest) -> HttpResponse:
        """Returns one version of the history with its configuration."""
        entry = await self._find_version(
            parse_whole_number(routed.segment, 'version')
        )
        configuration = decode_configuration(entry.content)
        return build_json_response(
            {
                **describe_entry(entry),
                'configuration': build_document(configuration),
            },
            headers=build_etag(entry.version),
        )

    async def roll_back(self, routed: RoutedRequest) -> HttpResponse:
        """Submits the content of an older version as the next version."""
        check_token(routed.request, self._token)
        condition = read_precondition(routed.request)
        target_version = parse_whole_number(
            routed.query.get('version', ''), 'version'
        )
        entry = await self._find_version(target_version)
        note = condition.note or f'roll back to version {target_version}'
        configuration = decode_configuration(entry.content)
        change = _build_change(
            condition._replace(note=note),
            encode_configuration(configuration),
        )
        return await self._submit(change)

    async def _catch_up(self) -> bool:
        """Brings the local history up to the newest accepted version.

        Returns False where no quorum confirmed it in time.
        """
        try:
            await self._read_current()
        except RefusedError:
            return False
        return True

    async def _read_current(self) -> AcceptedVersion | None:
        try:
            current = await wait_for(
                self._acceptor.read_current(ACCEPTANCE_TIMEOUT_S),
                ACCEPTANCE_TIMEOUT_S + _GRACE_S,
            )
        except TimeoutError:
            current = Failure(
                NotAccepted('no quorum of replicas responded in time')
            )
        if isinstance(current, Failure):
            raise build_not_accepted_error(current.failure())
        return current.unwrap()

    async def _submit(self, change: Change) -> HttpResponse:
        outcome = await self._submit_with_timeout(change)
        _log.info(
            'configuration_change',
            extra={
                'change_id': change.change_id,
                'base_version': change.base_version,
                'author': change.author,
                'note': change.note,
                'outcome': _get_outcome_name(outcome),
            },
        )
        return answer_outcome(outcome)

    async def _submit_with_timeout(
        self, change: Change
    ) -> Result[Accepted, Refusal]:
        try:
            return await wait_for(
                self._acceptor.submit(change, ACCEPTANCE_TIMEOUT_S),
                ACCEPTANCE_TIMEOUT_S + _GRACE_S,
            )
        except TimeoutError:
            detail = 'the replicas did not respond in time'
            return Failure(OutcomeUnknown(change.change_id, detail))

    async def _find_version(self, version: int) -> HistoryEntry:
        await self._catch_up()
        for entry in self._acceptor.read_history(MAX_HISTORY_LIMIT):
            if entry.version == version:
                return entry
        raise RefusedError(
            HTTPStatus.NOT_FOUND,
            'unknown_version',
            f'version {version} is not in the history stored on this daemon',
        )


def _read_body(request: HttpRequest) -> bytes:
    text = request.body.decode('utf-8', errors='replace')
    parsed = parse_configuration(text, 'configuration')
    if isinstance(parsed, Failure):
        problems = parsed.failure()
        raise RefusedError(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            'invalid_configuration',
            '; '.join(problem.describe() for problem in problems),
            problems=[problem._asdict() for problem in problems],
        )
    return encode_configuration(parsed.unwrap())


def _build_change(condition: Precondition, content: bytes) -> Change:
    return Change(
        change_id=condition.change_id,
        base_version=condition.base_version,
        author=condition.author,
        note=condition.note,
        content=content,
    )


def _render(
    request: HttpRequest,
    configuration: Configuration,
    etag: Headers,
) -> HttpResponse:
    if 'json' in request.get_header(b'accept'):
        return build_json_response(build_document(configuration), headers=etag)
    return build_yaml_response(render_configuration(configuration), etag)


def _get_outcome_name(outcome: Result[Accepted, Refusal]) -> str:
    if isinstance(outcome, Failure):
        return type(outcome.failure()).__name__
    return type(outcome.unwrap()).__name__
