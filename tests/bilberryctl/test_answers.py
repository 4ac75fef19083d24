"""Tests of invalid responses: each command ends with an exit code."""

from asyncio import run, to_thread
from json import dumps
from unittest.mock import patch

from bilberry_core.endpoint import Address
from bilberry_core.http import HttpResponse, serve_http
from bilberryctl.exit_code import ExitCode
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from tests.bilberryctl.test_main import run_quietly

documents = st.recursive(
    st.none() | st.integers() | st.text(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(
            st.sampled_from(
                ['error', 'code', 'name', 'version', 'proxies', 'detail'],
            ),
            inner,
            max_size=3,
        )
    ),
    max_leaves=5,
)
COMMANDS = (
    ['status'],
    ['history'],
    ['history', '1'],
    ['explain', 'callouts'],
    ['show'],
    ['rollback', '1'],
    ['rollback', '1', '--base', '1'],
)


def run_against(response: HttpResponse, *commands):
    """Runs commands against a server that always sends one response."""

    async def answer(_request) -> HttpResponse:
        return response

    async def run_each():
        server = await serve_http(Address('127.0.0.1', 0), answer)
        host, port = server.sockets[0].getsockname()
        completed = [
            await to_thread(
                run_quietly,
                [*command, '--server', f'{host}:{port}'],
            )
            for command in commands
        ]
        server.close()
        return completed

    return run(run_each())


class AnswersTest(TestCase):
    """Tests of commands against a server that sends invalid responses."""

    @settings(max_examples=30)
    @given(
        st.sampled_from([200, 201, 404, 412, 500, 503]),
        st.binary(max_size=20) | documents.map(dumps).map(str.encode),
        st.sampled_from([b'"1"', b'x', b'']),
    )
    def test_any_answer_gives_an_exit_code(self, status, body, etag):
        """Every command returns an `ExitCode` for every response."""
        response = HttpResponse(status, ((b'etag', etag),), body)
        with patch('bilberryctl.client.ROUND_PAUSE_S', 0):
            for completed in run_against(response, *COMMANDS):
                self.assertIn(completed.code, set(ExitCode))

    def test_malformed_acceptance_is_an_unknown_outcome(self):
        """A change may be accepted although its response is malformed."""
        response = HttpResponse(201, (), b'{')
        (completed,) = run_against(response, ['rollback', '1', '--base', '1'])
        self.assertEqual(ExitCode.UNKNOWN, completed.code)
