"""Elections: a trial vote (pre-vote), then the vote itself.

A replica with a live leader refuses both, so neither a flapping link nor a
returning replica deposes a working leader. Election timeouts are random, so
that replicas that start together seldom split their votes.
"""

from bilberry_core.messages.replica import LogEntry, VoteReply, VoteRequest

from bilberry_replica.member import has_quorum, is_voter
from bilberry_replica.node import (
    EventTime,
    Node,
    Role,
    SaveTerm,
    Send,
    Step,
    move_to_term,
    put_entries,
    reset_election_timer,
    schedule_trial,
)
from bilberry_replica.replication import broadcast, track_members
from bilberry_replica.restart import (
    is_leaderless_since,
    is_unopposed,
    yield_to,
)


def start_trial(node: Node, event_time: EventTime) -> Step:
    """Asks the voters whether they would vote for this replica."""
    node = schedule_trial(node, event_time)
    if node.is_stalled or not node.is_voter:
        return Step(node)
    node = node._replace(
        role=Role.TRIAL,
        leader='',
        votes=frozenset((node.instance,)),
        leaderless={node.instance: node.leaderless_start},
    )
    if _has_won_trial(node, event_time):
        return _start_candidacy(node, event_time)
    return Step(node, _request_votes(node, node.term + 1))


def receive_vote_request(
    node: Node,
    sender: str,
    request: VoteRequest,
    event_time: EventTime,
) -> Step:
    """Replies to a candidate's request for a vote."""
    if request.term < node.term:
        return _refuse(node, sender, request, event_time)
    is_unopposed = is_leaderless_since(node, request.leaderless_start)
    if has_live_leader(node, event_time) and not is_unopposed:
        return _refuse(node, sender, request, event_time)
    if request.trial:
        return _handle_trial_request(node, sender, request, event_time)
    step = move_to_term(node, request.term, event_time)
    node = step.node
    can_vote = node.vote in {'', sender} and node.role is not Role.LEADER
    if not can_vote or not _is_up_to_date(node, request):
        return step.then(_refuse(node, sender, request, event_time))
    node = reset_election_timer(node._replace(vote=sender), event_time)
    effects = (SaveTerm(node.term, sender), _grant(node, sender, request))
    return step.then(Step(node, effects))


def receive_vote_reply(
    node: Node,
    sender: str,
    reply: VoteReply,
    event_time: EventTime,
) -> Step:
    """Counts a vote; a quorum of votes starts the next phase."""
    if not reply.granted and not reply.leaderless_start:
        return move_to_term(node, reply.term, event_time)
    if not _is_awaited(node, reply):
        return Step(node)
    if not is_voter(node.membership, sender, reply.store):
        return Step(node)
    if reply.granted:
        node = node._replace(votes=node.votes | {sender})
    if reply.trial:
        return _count_trial_reply(node, sender, reply, event_time)
    if has_quorum(node.membership, node.votes):
        return _become_leader(node, event_time)
    return Step(node)


def _count_trial_reply(
    node: Node,
    sender: str,
    reply: VoteReply,
    event_time: EventTime,
) -> Step:
    node = node._replace(
        leaderless={**node.leaderless, sender: reply.leaderless_start},
    )
    if _has_won_trial(node, event_time):
        return _start_candidacy(node, event_time)
    return Step(node)


def confirm_own_vote(node: Node, event_time: EventTime) -> Step:
    """Counts the candidate's own vote, which its disk now stores."""
    if not needs_own_vote(node):
        return Step(node)
    node = node._replace(votes=node.votes | {node.instance})
    if has_quorum(node.membership, node.votes):
        return _become_leader(node, event_time)
    return Step(node)


def needs_own_vote(node: Node) -> bool:
    """Tells whether a candidate's own vote is not durable yet."""
    return node.role is Role.CANDIDATE and node.instance not in node.votes


def has_live_leader(node: Node, event_time: EventTime) -> bool:
    """Tells whether a leader was seen within the election timeout.

    This is also true just after a restart: what was received before it is
    unknown, and the leader may still rely on that.
    """
    if node.is_leader:
        return True
    return event_time.now - node.leader_seen_at < node.timing.election_s


def _has_won_trial(node: Node, event_time: EventTime) -> bool:
    """Tells whether a trial is followed by a vote.

    A replica that was just restarted may have promised its vote to a leader,
    unless no voter has one.
    """
    if is_unopposed(node):
        return True
    if has_live_leader(node, event_time):
        return False
    return has_quorum(node.membership, node.votes)


def _start_candidacy(node: Node, event_time: EventTime) -> Step:
    starts = node.leaderless if is_unopposed(node) else {}
    node = reset_election_timer(node, event_time)._replace(
        term=node.term + 1,
        vote=node.instance,
        role=Role.CANDIDATE,
        votes=frozenset(),
    )
    save = SaveTerm(node.term, node.vote)
    requests = _request_votes(node, node.term, starts)
    return Step(node, (save, *requests))


def _become_leader(node: Node, event_time: EventTime) -> Step:
    """Becomes leader and appends an entry of this term without content."""
    first = node.log.last_index + 1
    node = node._replace(
        role=Role.LEADER,
        leader=node.instance,
        peers={},
        leaderless_start=0,
        leading_since=event_time.now,
    )
    node = track_members(node, event_time)
    step = put_entries(node, first, (LogEntry(node.term),))
    return step.then(broadcast(step.node, event_time))


def _request_votes(
    node: Node,
    term: int,
    starts: dict[str, int] = {},  # noqa: B006 - never changed
) -> tuple[Send, ...]:
    """Returns the requests; `starts` names those of voters without a leader."""
    request = VoteRequest(
        term,
        node.store,
        node.log.last_index,
        node.log.last_term,
        trial=node.role is Role.TRIAL,
    )
    return tuple(
        Send(
            member.instance,
            request._replace(leaderless_start=starts.get(member.instance, 0)),
        )
        for member in node.membership.members
        if member.voter and member.instance != node.instance
    )


def _handle_trial_request(
    node: Node,
    sender: str,
    request: VoteRequest,
    event_time: EventTime,
) -> Step:
    if request.term <= node.term or not _is_up_to_date(node, request):
        return _refuse(node, sender, request, event_time)
    return Step(node, (_grant(node, sender, request),))


def _is_awaited(node: Node, reply: VoteReply) -> bool:
    if reply.trial:
        return node.role is Role.TRIAL and reply.term == node.term + 1
    return node.role is Role.CANDIDATE and reply.term == node.term


def _is_up_to_date(node: Node, request: VoteRequest) -> bool:
    theirs = (request.last_term, request.last_index)
    return theirs >= (node.log.last_term, node.log.last_index)


def _grant(node: Node, sender: str, request: VoteRequest) -> Send:
    reply = VoteReply(
        request.term,
        node.store,
        True,
        request.trial,
        node.leaderless_start,
    )
    return Send(sender, reply)


def _refuse(
    node: Node,
    sender: str,
    request: VoteRequest,
    event_time: EventTime,
) -> Step:
    reply = VoteReply(node.term, node.store, False, request.trial)
    is_asked = request.trial and request.term > node.term
    if is_asked and node.leaderless_start and _is_up_to_date(node, request):
        # A trial that is not opposed is answered like a granted one.
        reply = reply._replace(
            term=request.term,
            leaderless_start=node.leaderless_start,
        )
        node = yield_to(node, sender, event_time)
    return Step(node, (Send(sender, reply),))
