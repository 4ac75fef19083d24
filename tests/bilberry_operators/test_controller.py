"""Tests of the operators' HTTP interface, from changes to explanations."""

from asyncio import Event, create_task, gather, run
from json import loads
from socket import create_connection

from bilberry_core.board import Board, ClaimEpoch, Holder, ReplicaStatus
from bilberry_core.configuration import (
    AcceptedVersion,
    compute_digest,
)
from bilberry_core.configuration_file import parse_configuration
from bilberry_core.endpoint import Address, Endpoint, EndpointState
from bilberry_core.http import HttpRequest, fetch
from bilberry_core.snapshot import compile_snapshot
from msgpack import packb, unpackb
from testtools import TestCase

from tests.bilberry_operators.daemon import (
    SECRET,
    SETTINGS,
    TOKEN,
    FakeClock,
    build_controller,
    start_daemon,
)
from tests.bilberry_operators.fake_acceptor import FakeAcceptor

TEXT = b"""
services: {callouts: {hosts: [callouts.example]}}
exceptions:
  night:
    {service: callouts, path_prefix: /open, set: {timeout: 2s}, reason: slow}
"""
OTHER = TEXT.replace(b'2s', b'3s')


def build_put(base, change_id='c-1', body=TEXT, token=TOKEN, **extra):
    """Returns a request that submits a configuration."""
    headers = {
        'authorization': f'Bearer {token}',
        'if_match': f'"{base}"',
        'bilberry_change_id': change_id,
        'bilberry_author': '%C5%A1tefan',
        **extra,
    }
    encoded = tuple(
        (name.replace('_', '-').encode(), text.encode())
        for name, text in headers.items()
        if text is not None
    )
    return HttpRequest('PUT', '/v1/configuration', encoded, body)


def get(target, accept=b'application/json'):
    """Returns a GET request."""
    return HttpRequest('GET', target, ((b'accept', accept),))


def exchange(requests, acceptor=None, **daemon):
    """Sends requests one after another and returns the responses."""

    async def send_all():
        async with start_daemon(acceptor, **daemon) as address:
            return [await fetch(address, each, 5) for each in requests]

    return run(send_all())


def read_error(response):
    """Returns the error object of a response."""
    return loads(response.body)['error']


class GatedAcceptor(FakeAcceptor):
    """An acceptor that blocks changes until its gate is open."""

    def __init__(self):
        super().__init__()
        self.entered = Event()
        self.gate = Event()

    async def submit(self, change, timeout_s):
        """Accepts a change once the gate is open."""
        self.entered.set()
        await self.gate.wait()
        return await super().submit(change, timeout_s)


class ChangeTest(TestCase):
    """Tests of changes through the interface."""

    def test_change_is_accepted_and_read_back(self):
        """A new version returns 201, and its number is the entity tag."""
        acceptor = FakeAcceptor()
        first, put, read = exchange(
            [get('/v1/configuration'), build_put(0), get('/v1/configuration')],
            acceptor,
        )
        self.assertEqual('"0"', first.get_header(b'etag'))
        self.assertEqual((201, {'version': 1, 'resent': False}), parse(put))
        self.assertEqual('"1"', read.get_header(b'etag'))
        self.assertIn('callouts', loads(read.body)['services'])
        self.assertEqual('štefan', acceptor.entries[0].author)

    def test_yaml_read_can_be_sent_back(self):
        """The YAML returned by GET is a valid body for PUT."""
        acceptor = FakeAcceptor()
        _, read = exchange(
            [build_put(0), get('/v1/configuration', b'*/*')],
            acceptor,
        )
        self.assertEqual(
            parse_configuration(TEXT.decode(), 'sent').unwrap(),
            parse_configuration(read.body.decode(), 'read').unwrap(),
        )

    def test_invalid_requests_are_refused_by_status(self):
        """Each invalid request gets the status of its error."""
        acceptor = FakeAcceptor()
        cases = (
            (401, build_put(0, token='wrong')),
            (401, build_put(0, authorization=None)),
            (428, build_put(0, if_match=None)),
            (400, build_put(0, if_match='*')),
            (400, build_put(0, bilberry_change_id=None)),
            (422, build_put(0, body=b'defaults: {timeout: 5}\nnew: 1')),
            (404, get('/v1/unknown')),
            (405, HttpRequest('DELETE', '/v1/configuration')),
            (404, get('/v1/history/9')),
            (400, get('/v1/history/x')),
        )
        answers = exchange([request for _, request in cases], acceptor)
        self.assertEqual(
            [status for status, _ in cases],
            [answer.status for answer in answers],
        )
        self.assertEqual(
            ['new', 'defaults.timeout'],
            [each['key'] for each in read_error(answers[5])['problems']],
        )
        self.assertEqual([], acceptor.entries)

    def test_no_token_file_means_no_changes(self):
        """Without a token in the settings, changes are refused."""
        settings = SETTINGS._replace(token='')
        (answer,) = exchange(
            [build_put(0)],
            FakeAcceptor(),
            settings=settings,
        )
        self.assertEqual(403, answer.status)

    def test_one_of_two_concurrent_changes_is_accepted(self):
        """Of two changes with the same base, one is accepted.

        The other gets a conflict that lists the newer version.
        """

        async def race():
            async with start_daemon(FakeAcceptor()) as address:
                return await gather(
                    fetch(address, build_put(0, 'a'), 5),
                    fetch(address, build_put(0, 'b', OTHER), 5),
                )

        answers = sorted(run(race()), key=lambda answer: answer.status)
        self.assertEqual([201, 412], [answer.status for answer in answers])
        newer = read_error(answers[1])['newer']
        self.assertEqual([1], [entry['version'] for entry in newer])

    def test_resend_after_lost_answer_is_one_version(self):
        """A resend with the same ID settles an unknown outcome."""
        acceptor = FakeAcceptor()
        acceptor.lose_answers = 1
        lost, resent = exchange([build_put(0), build_put(0)], acceptor)
        self.assertEqual(504, lost.status)
        self.assertEqual('c-1', read_error(lost)['change_id'])
        self.assertEqual((200, {'version': 1, 'resent': True}), parse(resent))
        self.assertEqual(1, len(acceptor.entries))

    def test_rollback_reencodes_content_of_older_daemon(self):
        """A rollback adds options that the stored content does not have."""
        acceptor = FakeAcceptor()
        exchange([build_put(0)], acceptor)
        (entry,) = acceptor.entries
        defaults, *others = unpackb(entry.content, use_list=False)
        older = packb((defaults[:-1], *others))
        acceptor.entries = [entry._replace(content=older)]
        rollback = build_put(1, 'back', b'')._replace(
            method='POST',
            target='/v1/rollback?version=1',
        )
        exchange([rollback], acceptor)
        self.assertEqual(entry.content, acceptor.entries[1].content)

    def test_history_includes_the_newest_version(self):
        """A lagging follower reads the newest version before it responds."""
        acceptor = FakeAcceptor()
        exchange([build_put(0)], acceptor)
        acceptor.unconfirmed = 1
        history, version = exchange(
            [get('/v1/history'), get('/v1/history/1')],
            acceptor,
        )
        self.assertEqual(1, len(loads(history.body)['versions']))
        self.assertTrue(loads(history.body)['confirmed'])
        self.assertEqual(200, version.status)
        acceptor.quorum = False
        (unconfirmed,) = exchange([get('/v1/history')], acceptor)
        self.assertFalse(loads(unconfirmed.body)['confirmed'])

    def test_graceful_stop_cuts_no_change(self):
        """A change in flight completes; later connections are refused."""
        acceptor = GatedAcceptor()

        async def stop_inside_change():
            controller = build_controller(acceptor)
            running = create_task(controller.run())
            address = await controller.bound.wait_for(bool)
            change = create_task(fetch(address, build_put(0), 5))
            await acceptor.entered.wait()
            stopping = create_task(controller.stop())
            await running
            self.assertFalse(stopping.done())
            acceptor.gate.set()
            await stopping
            answer = await change
            self.assertRaises(OSError, create_connection, address)
            return answer

        self.assertEqual(201, run(stop_inside_change()).status)

    def test_change_id_with_other_content_is_refused(self):
        """A change ID can't be reused with other content."""
        _, reused = exchange(
            [build_put(0), build_put(1, body=OTHER)],
            FakeAcceptor(),
        )
        self.assertEqual(409, reused.status)

    def test_no_quorum_is_reported(self):
        """Without a quorum, reads and changes get 503."""
        acceptor = FakeAcceptor()
        acceptor.quorum = False
        answers = exchange([get('/v1/configuration'), build_put(0)], acceptor)
        self.assertEqual([503, 503], [each.status for each in answers])

    def test_rollback_is_a_new_version(self):
        """The content of the older version is accepted as the next version."""
        acceptor = FakeAcceptor()
        rollback = build_put(2, 'back', b'')._replace(
            method='POST',
            target='/v1/rollback?version=1',
        )
        *_, answer, history = exchange(
            [
                build_put(0, 'a'),
                build_put(1, 'b', OTHER),
                rollback,
                get('/v1/history?limit=2'),
            ],
            acceptor,
        )
        self.assertEqual((201, {'version': 3, 'resent': False}), parse(answer))
        self.assertEqual(
            acceptor.entries[0].content,
            acceptor.entries[2].content,
        )
        versions = loads(history.body)['versions']
        self.assertEqual([3, 2], [each['version'] for each in versions])
        self.assertEqual('roll back to version 1', versions[0]['note'])


def parse(response):
    """Returns the status and the decoded JSON body of a response."""
    return response.status, loads(response.body)


def make_endpoint(instance, state):
    """Returns an endpoint of the service callouts."""
    address = Address('127.0.0.1', 7000)
    return Endpoint(instance, 1, 1, 'callouts', address, 'a', state, 12, 110)


def make_board():
    """Returns a blackboard with version 3 and two endpoints."""
    configuration = parse_configuration(TEXT.decode(), 'text').unwrap()
    accepted = AcceptedVersion(
        3,
        1,
        compute_digest(configuration),
        configuration,
    )
    endpoints = (
        make_endpoint('van-1', EndpointState.READY),
        make_endpoint('van-2', EndpointState.DRAINING),
    )
    board = Board()
    board.accepted.put(accepted)
    board.endpoints.put({each.instance: each for each in endpoints})
    board.snapshot.put(compile_snapshot(accepted, {'callouts': endpoints}))
    board.replica.put(ReplicaStatus('leader', 1, 'van-1', 3, ('van-1',)))
    return board


class AllEjected:
    """Exclusions that cover every endpoint."""

    def get_exclusion_reason(self, endpoint):
        """Returns the same reason for every endpoint."""
        return 'ejected'


class FakeMembership:
    """A membership that removes every given replica."""

    def __init__(self):
        self.removed = []

    async def remove_replica(self, instance, timeout_s):
        """Records the replica as removed."""
        self.removed.append(instance)
        return True


class StatusTest(TestCase):
    """Tests of status, explain and the removal of replicas."""

    def test_status_lists_proxies_behind_with_delay(self):
        """A proxy on an older version is listed with its delay in seconds."""
        board = make_board()
        clock = FakeClock()

        async def read_status():
            async with start_daemon(None, board=board, clock=clock) as address:
                board.proxies.put({'van-2': 2})
                clock.seconds += 4
                return await fetch(address, get('/v1/status'), 5)

        status = loads(run(read_status()).body)
        self.assertEqual(
            [
                {'instance': 'van-1', 'version': 3, 'behind_s': None},
                {'instance': 'van-2', 'version': 2, 'behind_s': 4},
            ],
            status['proxies'],
        )
        self.assertEqual('leader', status['replica']['role'])
        self.assertEqual(
            {'callouts': {'ready': ['van-1'], 'draining': ['van-2']}},
            status['services'],
        )

    def test_status_tells_a_settled_epoch_from_a_holder_with_its_claims(self):
        """The handover may end before this holder has copied the claims."""
        board = make_board()
        board.claim_epoch.put(ClaimEpoch(3, (Holder('van-1', 'h', 9, 'a'),)))
        (behind,) = exchange([get('/v1/status')], board=board)
        board.holds_claims.put(True)
        (caught_up,) = exchange([get('/v1/status')], board=board)
        epochs = [
            loads(answer.body)['claim_epoch'] for answer in (behind, caught_up)
        ]
        self.assertEqual([[], []], [one['handing_over'] for one in epochs])
        self.assertEqual([False, True], [one['caught_up'] for one in epochs])

    def test_explain_lists_exception_and_endpoints(self):
        """An explanation has the exception, its reason and the endpoints."""
        target = '/v1/explain?service=callouts.example&path=/open/4'
        (answer,) = exchange([get(target)], board=make_board())
        explained = loads(answer.body)
        self.assertEqual('night', explained['exception'])
        self.assertEqual('slow', explained['reason'])
        self.assertEqual('2s', explained['policy']['timeout'])
        self.assertEqual(
            {'van-1': True, 'van-2': False},
            {
                each['instance']: each['eligible']
                for each in explained['endpoints']
            },
        )

    def test_explain_gives_exclusion_reason_of_endpoint(self):
        """A ready endpoint that the proxy excludes is not eligible."""
        (answer,) = exchange(
            [get('/v1/explain?service=callouts')],
            board=make_board(),
            exclusions=AllEjected(),
        )
        first = loads(answer.body)['endpoints'][0]
        self.assertEqual((False, 'ejected'), (first['eligible'], first['why']))

    def test_replica_is_removed_by_name(self):
        """Only members can be removed, and only with the token."""
        replicas = FakeMembership()
        authorized = build_put(0)._replace(
            method='DELETE',
            target='/v1/replicas/van-1',
        )
        answers = exchange(
            [
                authorized,
                authorized._replace(headers=()),
                authorized._replace(target='/v1/replicas/van-2'),
            ],
            FakeAcceptor(),
            board=make_board(),
            membership=replicas,
        )
        self.assertEqual([202, 401, 404], [each.status for each in answers])
        self.assertEqual(['van-1'], replicas.removed)

    def test_explain_requests_missing_endpoints(self):
        """Endpoints of a service that got no requests yet are requested."""
        board = make_board()
        whole = board.snapshot.value
        route = whole.routes['callouts']._replace(endpoints=())
        board.snapshot.put(whole._replace(routes={'callouts': route}))

        def deliver(requested):
            self.assertEqual({'callouts'}, requested)
            board.snapshot.put(whole)

        board.requested_services.watch(deliver)
        (answer,) = exchange([get('/v1/explain?service=callouts')], board=board)
        self.assertEqual(2, len(loads(answer.body)['endpoints']))

    def test_daemon_without_acceptor_lists_replicas(self):
        """A daemon without an acceptor refuses changes and lists replicas."""
        answers = exchange([build_put(0), get('/v1/configuration')])
        for answer in answers:
            self.assertEqual(421, answer.status)
            self.assertEqual(
                'van-7',
                read_error(answer)['replicas'][0]['instance'],
            )

    def test_no_response_contains_a_secret(self):
        """Neither the secret nor the token is in any response."""
        targets = ('status', 'explain?service=callouts', 'configuration', 'x')
        answers = exchange(
            [get(f'/v1/{target}') for target in targets]
            + [build_put(0, token='wrong')],
            FakeAcceptor(),
            board=make_board(),
        )
        received = b''.join(str(answer).encode() for answer in answers)
        self.assertNotIn(SECRET, received)
        self.assertNotIn(TOKEN.encode(), received)
