"""The commands of the command line, as `fire` exposes them.

A command returns an `Invocation`, which runs only after the whole command
line was parsed: a mistyped option never changes a configuration.
"""

from collections.abc import Awaitable, Callable

from bilberryctl import change, local_file, rollout, view
from bilberryctl.change import (
    ChangeOptions,
    generate_change_id,
    get_default_author,
)
from bilberryctl.follow import follow_request
from bilberryctl.outcome import Outcome, UsageError
from bilberryctl.session import CommonOptions, Session, parse_timeout

Action = Callable[[Session], Awaitable[Outcome]]

_MAX_NUMBER_DIGITS = 15
_NO_WAIT = frozenset(('', 'False'))
_DEFAULT_WAIT = '60s'


class Invocation:
    """A command with its arguments, ready to run."""

    __slots__ = ('_action', '_options')

    def __init__(self, options: CommonOptions, action: Action) -> None:
        self._options = options
        self._action = action


def unpack_invocation(invocation: Invocation) -> tuple[CommonOptions, Action]:
    """Returns the options and the action of an invocation."""
    return invocation._options, invocation._action  # noqa: WPS437


class Commands:
    """Changes and shows the configuration of a bilberryspread fleet.

    Common options, before or after the command:
    --server HOST:PORT[,HOST:PORT...] operators' address of a daemon; further
    servers are tried in turn if one can't respond (default 127.0.0.1:7003);
    --token-file FILE the operators' bearer token, for apply, rollback,
    remove-replica and roll-outs;
    --output text|json (default text);
    --timeout TIME maximum wait for a response, such as 10s (default 10s);
    --version alone shows the version.

    Exit codes: 0 success; 1 refused or invalid; 2 usage error; 3 conflict,
    another change was accepted first; 4 outcome unknown, run again with the
    same change ID; 5 no server reached, or no usable response; 6 accepted, but
    not in force on every proxy in time.
    """

    def __init__(
        self,
        *,
        server: str = '127.0.0.1:7003',
        token_file: str = '',
        output: str = 'text',
        timeout: str = '10s',
    ) -> None:
        """Sets the common options.

        Args:
            server: Operators' address of a daemon, host:port. Several,
                separated by commas, are tried in turn.
            token_file: File with the operators' bearer token. Required for
                apply, rollback, remove-replica and roll-outs.
            output: text or json.
            timeout: Maximum wait for a response of any server, such as 10s.
        """
        self._options = CommonOptions(server, token_file, output, timeout)

    def validate(self, file: str) -> Invocation:
        """Checks a configuration file and reports every problem in it.

        Args:
            file: The configuration, in YAML.
        """
        return self._invoke(lambda _: local_file.validate_file(file))

    def apply(
        self,
        file: str,
        *,
        base: str = '',
        change_id: str = '',
        author: str = '',
        note: str = '',
        wait: str = '',
    ) -> Invocation:
        """Submits a configuration file as the next version of the fleet.

        Args:
            file: The configuration, in YAML.
            base: Version that the file is based on. The current one if not
                given.
            change_id: ID of this change. To resend after an unknown outcome,
                give the ID that was shown. A new one if not given.
            author: Who makes the change. Your user name if not given.
            note: Reason for the change.
            wait: Wait until every proxy runs the new version, for at most 60s
                or the given time.
        """
        options = _build_change_options(base, change_id, author, note, wait)
        return self._invoke(
            lambda session: change.apply_file(session, file, options),
        )

    def show(self) -> Invocation:
        """Shows the newest accepted configuration, as YAML."""
        return self._invoke(view.show_configuration)

    def diff(self, file: str) -> Invocation:
        """Shows how a file differs from the newest accepted configuration.

        Args:
            file: The configuration, in YAML.
        """
        return self._invoke(lambda session: view.diff_file(session, file))

    def history(self, version: str = '', *, limit: str = '20') -> Invocation:
        """Lists the newest versions, or shows one of them.

        Args:
            version: Version to show. All are listed if not given.
            limit: Maximum number of versions to list.
        """
        if version:
            wanted = parse_whole_number(version, 'version')
            return self._invoke(
                lambda session: view.show_version(session, wanted),
            )
        count = parse_whole_number(limit, '--limit')
        return self._invoke(lambda session: view.list_history(session, count))

    def rollback(
        self,
        version: str,
        *,
        base: str = '',
        change_id: str = '',
        author: str = '',
        note: str = '',
        wait: str = '',
    ) -> Invocation:
        """Submits the content of an older version as a new version.

        Args:
            version: Version whose content is restored.
            base: Version that this replaces. The current one if not given.
            change_id: ID of this change. To resend after an unknown outcome,
                give the ID that was shown. A new one if not given.
            author: Who makes the change. Your user name if not given.
            note: Reason for the change.
            wait: Wait until every proxy runs the new version, for at most 60s
                or the given time.
        """
        wanted = parse_whole_number(version, 'version')
        options = _build_change_options(base, change_id, author, note, wait)
        return self._invoke(
            lambda session: change.roll_back(session, wanted, options),
        )

    def status(self) -> Invocation:
        """Shows versions, proxies that are behind, replicas and endpoints."""
        return self._invoke(view.show_status)

    def explain(
        self,
        service: str,
        *,
        method: str = 'GET',
        path: str = '/',
    ) -> Invocation:
        """Explains the route that a request would take on a daemon.

        Args:
            service: Name of the service, or one of its host names.
            method: HTTP method of the request.
            path: Path of the request.
        """
        return self._invoke(
            lambda session: view.explain_service(
                session,
                service,
                method,
                path,
            ),
        )

    def key_digest(self, file: str) -> Invocation:
        """Shows the digest of an organisation's key, for a configuration.

        Args:
            file: File with the key on one line.
        """
        return self._invoke(lambda _: local_file.show_key_digest(file))

    def follow(self, request: str, *files: str) -> Invocation:
        """Shows the log lines of one request, from several processes.

        Args:
            request: ID that the caller gave the request.
            files: Files with log lines; standard input if none is given.
        """
        return self._invoke(lambda _: follow_request(str(request), files))

    def remove_replica(self, instance: str) -> Invocation:
        """Removes a replica permanently.

        Not needed for a replica that returns under the same instance name,
        with or without its data folder.

        Args:
            instance: The replica, as `status` lists it.
        """
        return self._invoke(
            lambda session: change.remove_replica(session, instance),
        )

    def rollout_start(
        self, service: str, version: str, *, duration: str
    ) -> Invocation:
        """Moves a service to upstreams of another version.

        Args:
            service: The service, as the configuration declares it.
            version: Version of the upstreams that take over.
            duration: Time within which it is to be completed, such as 10m.
        """
        duration_s = parse_timeout(duration, '--duration')
        return self._invoke(
            lambda session: rollout.start_rollout(
                session, service, str(version), duration_s
            ),
        )

    def rollout_show(self, service: str) -> Invocation:
        """Shows the newest roll-out of a service and the evidence on it.

        Args:
            service: The service.
        """
        return self._invoke(
            lambda session: rollout.show_rollout(session, service),
        )

    def rollout_cancel(self, service: str) -> Invocation:
        """Rolls the open roll-out of a service back.

        Args:
            service: The service.
        """
        return self._invoke(
            lambda session: rollout.cancel_rollout(session, service),
        )

    def _invoke(self, action: Action) -> Invocation:
        return Invocation(self._options, action)


def parse_whole_number(text: str, name: str) -> int:
    """Returns a whole number, or raises `UsageError`."""
    if text.isascii() and text.isdecimal() and len(text) <= _MAX_NUMBER_DIGITS:
        return int(text)
    raise UsageError(f'{name}: expected a whole number, got "{text}"')


def _build_change_options(
    base: str,
    change_id: str,
    author: str,
    note: str,
    wait: str,
) -> ChangeOptions:
    return ChangeOptions(
        base=parse_whole_number(base, '--base') if base else None,
        change_id=change_id or generate_change_id(),
        author=author or get_default_author(),
        note=note,
        wait_s=_parse_wait(wait),
    )


def _parse_wait(wait: str) -> float:
    if wait in _NO_WAIT:
        return 0
    return parse_timeout(_DEFAULT_WAIT if wait == 'True' else wait, '--wait')
