"""Tests of the command line against an interface on loopback."""

from asyncio import run, to_thread
from contextlib import ExitStack, redirect_stderr, redirect_stdout
from io import StringIO
from json import loads
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import NamedTuple
from unittest.mock import patch

from bilberryctl.main import run_command
from testtools import TestCase

from tests.bilberry_operators.daemon import TOKEN, start_daemon
from tests.bilberry_operators.fake_acceptor import FakeAcceptor
from tests.bilberry_operators.test_controller import FakeMembership, make_board

TEXT = 'services: {callouts: {hosts: [callouts.example]}}\n'
OTHER = f'{TEXT}defaults: {{timeout: 9s}}\n'


class CommandResult(NamedTuple):
    """The exit code and the output of a command."""

    code: int
    output: str
    errors: str


def run_quietly(arguments) -> CommandResult:
    """Runs a command line and captures what it prints."""
    output = StringIO()
    errors = StringIO()
    with ExitStack() as stack:
        stack.enter_context(redirect_stdout(output))
        stack.enter_context(redirect_stderr(errors))
        try:
            code = run_command(arguments)
        except SystemExit as error:
            code = error.code
    return CommandResult(int(code), output.getvalue(), errors.getvalue())


class CommandTest(TestCase):
    """Tests of commands, their output and their exit codes."""

    def setUp(self):
        """Writes two configuration files and the token file."""
        super().setUp()
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.text_file = self.write('text.yaml', TEXT)
        self.other_file = self.write('other.yaml', OTHER)
        self.token_file = self.write('token', TOKEN)
        self.acceptor = FakeAcceptor()

    def write(self, name, text) -> str:
        """Writes a file and returns its path."""
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def run_all(self, *commands, first='', **parts) -> list[CommandResult]:
        """Runs commands against one daemon.

        `first` is a prefix of the server list, for servers that come before.
        """

        async def run_each():
            async with start_daemon(self.acceptor, **parts) as address:
                common = [
                    '--server',
                    f'{first}{address.host}:{address.port}',
                    '--token-file',
                    self.token_file,
                ]
                return [
                    await to_thread(run_quietly, [*command, *common])
                    for command in commands
                ]

        return run(run_each())

    def test_change_show_diff_history_rollback(self):
        """A sequence of changes and reads reports each result."""
        completed = self.run_all(
            ['apply', self.text_file, '--author', 'ann', '--note', '1,2'],
            ['apply', self.other_file, '--change-id', '1e5'],
            ['diff', self.text_file],
            ['rollback', '1'],
            ['diff', self.text_file],
            ['show', '--output', 'json'],
            ['history', '--output', 'json'],
            ['history', '2'],
        )
        self.assertEqual({0}, {each.code for each in completed})
        self.assertIn('version 1 is accepted', completed[0].output)
        self.assertIn('base version 0', completed[0].errors)
        self.assertIn('-  timeout: 9s', completed[2].output)
        self.assertIn('same as version 3', completed[4].output)
        self.assertEqual(3, loads(completed[5].output)['version'])
        versions = loads(completed[6].output)['versions']
        self.assertEqual([3, 2, 1], [each['version'] for each in versions])
        self.assertEqual('1e5', versions[1]['change_id'])
        self.assertEqual('1,2', versions[2]['note'])
        self.assertIn('timeout: 9s', completed[7].output)

    def test_stale_base_is_a_conflict(self):
        """A file based on an older version does not replace a newer one."""
        completed = self.run_all(
            ['apply', self.text_file],
            ['apply', self.other_file, '--base', '0', '--output', 'json'],
        )
        self.assertEqual(3, completed[1].code)
        error = loads(completed[1].output)['error']
        self.assertEqual([1], [each['version'] for each in error['newer']])

    def test_unknown_outcome_explains_how_to_resend(self):
        """Repeating a command with its ID after a lost response is safe.

        The change is accepted as one version.
        """
        self.acceptor.lose_answers = 1
        command = ['apply', self.text_file, '--change-id', 'c7']
        with patch('bilberryctl.client.MAX_ROUNDS', 1):
            lost, resent = self.run_all(command, command)
        self.assertEqual(4, lost.code)
        self.assertIn('--base 0 --change-id c7', lost.errors)
        self.assertEqual(0, resent.code)
        self.assertEqual(1, len(self.acceptor.entries))

    def test_change_is_resent_after_lost_response(self):
        """The command resends the change with the same ID."""
        self.acceptor.lose_answers = 1
        (completed,) = self.run_all(['apply', self.text_file])
        self.assertEqual(0, completed.code)
        self.assertEqual(1, len(self.acceptor.entries))

    def test_next_server_is_tried(self):
        """After a server that can't be reached, the next one is tried."""
        completed = self.run_all(
            ['apply', self.text_file], first='127.0.0.1:1,'
        )
        self.assertEqual(0, completed[0].code)

    def test_invalid_file_is_refused_with_every_problem(self):
        """All problems are reported without contacting a server."""
        bad = self.write('bad.yaml', 'defaults: {timeout: 7}\nmore: 1\n')
        completed = run_quietly(['validate', bad])
        self.assertEqual(1, completed.code)
        self.assertIn(f'{bad}: defaults.timeout: expected', completed.errors)
        self.assertIn(f'{bad}: more: unknown key', completed.errors)
        self.assertEqual(0, run_quietly(['validate', self.text_file]).code)

    def test_mistyped_option_changes_nothing(self):
        """A command line with an invalid part is not executed."""
        completed = self.run_all(
            ['apply', self.text_file, '--bse', '3'],
            ['apply', self.text_file, 'extra'],
            ['rollback', 'x'],
            ['bogus'],
        )
        self.assertEqual({2}, {each.code for each in completed})
        self.assertEqual([], self.acceptor.entries)

    def test_no_server_and_no_quorum(self):
        """Unreachable servers and refusals have different exit codes."""
        unreachable = run_quietly(['show', '--server', '127.0.0.1:1'])
        self.assertEqual(5, unreachable.code)
        self.acceptor.quorum = False
        (refused,) = self.run_all(['apply', self.text_file])
        self.assertEqual(1, refused.code)
        self.assertIn('no quorum', refused.errors)

    def test_status_and_explain(self):
        """Status and explanation are printed as text."""
        status, explained = self.run_all(
            ['status'],
            ['explain', 'callouts', '--path', '/open/1'],
            board=make_board(),
        )
        self.assertIn('van-1  version 3', status.output)
        self.assertIn('reason     slow', explained.output)
        self.assertIn('no   van-2', explained.output)

    def test_replica_is_removed(self):
        """Only the name of a current replica is accepted."""
        replicas = FakeMembership()
        removed, unknown = self.run_all(
            ['remove-replica', 'van-1'],
            ['remove-replica', 'van-9'],
            board=make_board(),
            membership=replicas,
        )
        self.assertEqual((0, 1), (removed.code, unknown.code))
        self.assertEqual(['van-1'], replicas.removed)

    def test_wait_ends_when_every_proxy_runs_the_version(self):
        """Progress is shown, and a proxy that stays behind is listed."""
        board = make_board()
        board.proxies.put({'van-2': 1})
        command = ['apply', self.text_file, '--wait']
        (done,) = self.run_all(command, board=board)
        self.assertEqual(0, done.code)
        self.assertIn('version 1 is in force on 2 proxies', done.output)
        self.acceptor = FakeAcceptor()
        board.proxies.put({'van-2': 1, 'van-3': 0})
        (late,) = self.run_all([*command, '1ms'], board=board)
        self.assertEqual(6, late.code)
        self.assertIn('version 1: 2 of 3 proxies, behind: van-3', late.errors)

    def test_no_output_contains_the_token(self):
        """The token is never printed."""
        completed = self.run_all(
            ['apply', self.text_file],
            ['validate', self.token_file],
            ['status', '--output', 'json'],
        )
        self.assertNotIn(TOKEN, str(completed))

    def test_help_and_version(self):
        """Help and version need no server."""
        self.assertEqual(0, run_quietly(['--help']).code)
        self.assertEqual(0, run_quietly(['apply', '--help']).code)
        self.assertIn('bilberryctl', run_quietly(['--version']).output)
