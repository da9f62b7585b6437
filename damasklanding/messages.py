"""
damasklanding.messages
~~~~~~~~~~~~~~~~~~~~~~

The messages between processes, one class for each member of a frame's union.
"""

from dataclasses import dataclass
from dataclasses import field

import msgspec

__all__ = [
    'Accepted',
    'AppendReply',
    'AppendRequest',
    'Beat',
    'BeatReply',
    'BodyChunk',
    'CallAnswer',
    'CallRequest',
    'Cancel',
    'Challenge',
    'DECODERS',
    'Grant',
    'GrantRequest',
    'GrantReturn',
    'Handover',
    'Hello',
    'LogEntry',
    'MESSAGES',
    'NEVER_CONFIRMED_AGE_MS',
    'PROTOCOL_VERSION',
    'Ping',
    'Pong',
    'Problem',
    'Proof',
    'Propose',
    'ProposeReply',
    'RenewLeases',
    'RenewReply',
    'Resume',
    'SnapshotChunk',
    'SnapshotReply',
    'StatusReply',
    'StatusRequest',
    'VoteReply',
    'VoteRequest',
    'Watch',
    'WatchDelta',
    'WatchSnapshot',
    'pack',
    'Window',
]

NEVER_CONFIRMED_AGE_MS = 0xFFFFFFFF  # stands for a source without any proof
PROTOCOL_VERSION = 2

#: Message classes by the name of their union member.
MESSAGES = {}

#: Decoders of those messages that are packed by msgspec.
DECODERS = {}
pack = msgspec.msgpack.Encoder().encode


def message(member):
    """Register a data class as the message of a union member."""

    def register(cls):
        cls = dataclass(slots=True)(cls)
        cls.member = member
        MESSAGES[member] = cls
        return cls

    return register


@message('hello')
class Hello:
    """First frame of a connection, from the side that opened it."""

    name: str
    role: str
    instance: str
    nonce: bytes
    version: int = PROTOCOL_VERSION


@message('challenge')
class Challenge:
    """Answer to a hello: proves the secret and asks for proof."""

    name: str
    role: str
    instance: str
    nonce: bytes
    proof: bytes


@message('proof')
class Proof:
    """The opener's proof that it holds the fleet secret."""

    proof: bytes


@message('ping')
class Ping:
    """
    Heartbeat of a connection, with the sender's load.

    :ivar sent_ms: sender's time since the link was made.
    """

    seq: int
    load: bytes = b''
    sent_ms: int = 0


@message('pong')
class Pong:
    """Answer to a ping with the same number."""

    seq: int
    load: bytes = b''


@message('problem')
class Problem:
    """
    Ends an exchange with an error.

    :ivar outcome: ``ran``, ``not-run`` or ``unknown``.
    :ivar may_retry: false where a retry elsewhere would not help.
    """

    code: str
    problem: str
    remedy: str = ''
    retry_after_ms: int = 0
    outcome: str = 'unknown'
    retries_left: int = 0
    may_retry: bool = False
    load: bytes = b''


@message('cancel')
class Cancel:
    """Ends an exchange that its opener no longer wants."""

    reason: str = ''


def packed_message(member):
    """
    Register a struct as the message of a union member that holds bytes.

    Messages of every call travel so: a frame with many members takes Cap'n
    Proto's binding several times as long as one with a single member.
    """

    def register(cls):
        cls.member = member
        MESSAGES[member] = cls
        DECODERS[member] = msgspec.msgpack.Decoder(cls).decode
        return cls

    return register


@packed_message('callRequest')
class CallRequest(msgspec.Struct, array_like=True, gc=False):
    """
    A request for the backend server beside the receiving node.

    :ivar deadline_ms: time left when sent.
    :ivar sent_ms: sender's time since the link was made, which shows the
        receiver how long the frame was held up.
    :ivar headers: names in lower case and values, alternating.
    :ivar body_length: size of a streamed body, -1 where unknown.
    :ivar serial: unique among the calls that the sending process makes.
    """

    request_id: str
    service: str
    profile: str
    organisation: str
    importance: int
    deadline_ms: int
    sent_ms: int
    retries_left: int
    depth: int
    method: str
    path: str
    headers: list[str]
    body: bytes = b''
    body_follows: bool = False
    body_length: int = 0
    idempotent: bool = False
    attempt: int = 0
    serial: int = 0


@packed_message('callAnswer')
class CallAnswer(msgspec.Struct, array_like=True, gc=False):
    """
    Head of an answer, with the body where it is small.

    :ivar body_length: size of a streamed body, -1 where unknown.
    """

    status: int
    headers: list[str]
    body: bytes = b''
    body_follows: bool = False
    body_length: int = 0
    retries_left: int = 0
    may_retry: bool = False
    outcome: str = 'ran'
    retry_after_ms: int = 0
    load: bytes = b''


@packed_message('resume')
class Resume(msgspec.Struct, array_like=True, gc=False):
    """
    Asks for the answer to a call that was sent over a broken connection.

    :ivar serial: that of the call.
    :ivar deadline_ms: time left when sent.
    """

    serial: int
    deadline_ms: int


@message('bodyChunk')
class BodyChunk:
    """A part of a streamed body; the last one is marked."""

    data: bytes
    last: bool = False


@message('window')
class Window:
    """Lets the sender of a body send so many bytes more."""

    credit: int


@message('voteRequest')
class VoteRequest:
    """
    A candidate's request for a vote or, before it, a pre-vote.

    :ivar transfer: the leader itself asked for this election.
    """

    group: str
    term: int
    candidate: str
    last_index: int
    last_term: int
    pre_vote: bool
    incarnation: str
    transfer: bool = False


@message('voteReply')
class VoteReply:
    """A replica's vote."""

    term: int
    granted: bool
    incarnation: str


@dataclass(slots=True)
class LogEntry:
    """One entry of a replicated log."""

    term: int
    index: int
    kind: str
    payload: bytes


@message('appendRequest')
class AppendRequest:
    """
    Entries and heartbeat from the leader.

    :ivar confirmed_age_ms: time since the latest heartbeat that a quorum
        has acknowledged was sent.
    :ivar campaign: the leader hands over; the receiver calls an election.
    """

    group: str
    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: list[LogEntry] = field(default_factory=list)
    commit_index: int = 0
    seq: int = 0
    confirmed_age_ms: int = 0
    campaign: bool = False


@message('appendReply')
class AppendReply:
    """A follower's answer to entries and heartbeats."""

    term: int
    success: bool
    match_index: int
    incarnation: str
    seq: int


@message('snapshotChunk')
class SnapshotChunk:
    """A part of the leader's snapshot."""

    group: str
    term: int
    leader: str
    last_index: int
    last_term: int
    offset: int
    data: bytes
    last: bool


@message('snapshotReply')
class SnapshotReply:
    """Acknowledges a part of a snapshot."""

    term: int
    offset: int
    incarnation: str


@message('statusRequest')
class StatusRequest:
    """Asks a control host about one of its replicas."""

    group: str


@message('statusReply')
class StatusReply:
    """What a control host knows about one of its replicas."""

    name: str
    role: str
    term: int
    leader: str
    last_index: int
    commit_index: int
    incarnation: str
    cluster_id: str
    detail: bytes = b''


@message('propose')
class Propose:
    """
    An encoded envelope for a replicated log.

    :ivar kind: ``command``, or ``members`` for a change of the group's
        own members.
    """

    group: str
    payload: bytes
    forwarded: bool = False
    kind: str = 'command'


@message('proposeReply')
class ProposeReply:
    """The encoded outcome of a proposal."""

    outcome: bytes


@message('watch')
class Watch:
    """
    Asks for all changes after a revision.

    :ivar services: whose backend servers are wanted.
    :ivar all_services: whether all backend servers are wanted.
    """

    name: str
    instance: str
    term: int
    revision: int
    services: list[str] = field(default_factory=list)
    all_services: bool = False


@message('watchSnapshot')
class WatchSnapshot:
    """The whole state, or one service's backend servers, at a revision."""

    term: int
    revision: int
    changes: bytes
    service: str = ''


@message('watchDelta')
class WatchDelta:
    """The changes of one or more consecutive revisions."""

    term: int
    revision: int
    changes: bytes


@message('beat')
class Beat:
    """A watcher's heartbeat; renews its lease and asks for freshness."""

    seq: int
    revision: int
    services: list[str] = field(default_factory=list)
    status: bytes = b''


@message('beatReply')
class BeatReply:
    """
    States how old the source's proof of freshness is.

    The state at ``revision`` was current ``age_ms`` before this was sent.
    """

    seq: int
    term: int
    revision: int
    age_ms: int
    leader: str = ''


@message('renewLeases')
class RenewLeases:
    """A control host's report to the leader: nodes it has heard from."""

    names: list[str]
    instances: list[str]
    seq: int


@message('renewReply')
class RenewReply:
    """The leader's answer, with the age of its quorum's confirmation."""

    seq: int
    term: int
    age_ms: int
    commit_index: int


@message('grantRequest')
class GrantRequest:
    """
    Asks the budget owner for tokens.

    :ivar epoch: of the ownership, as the asker knows it.
    :ivar wanted: tokens to use now.
    :ivar waiting: how many of those requests wait for; later ones do, too.
    :ivar wait_ms: longest time that one of these requests may wait.
    """

    organisation: str
    epoch: int
    wanted: int
    waiting: int
    wait_ms: int
    node: str


@message('grant')
class Grant:
    """
    Tokens that lapse after their time to live.

    :ivar tokens: may be used at once.
    :ivar later: further tokens, the first usable after ``later_ms``, the
        others ``spacing_ms`` apart.
    :ivar next_ms: time until a token beyond these may be used.
    :ivar scarce: unused tokens are wanted back.
    """

    epoch: int
    serial: int
    ttl_ms: int
    tokens: int
    later: int = 0
    later_ms: float = 0.0
    spacing_ms: float = 0.0
    next_ms: float = 0.0
    scarce: bool = False


@message('grantReturn')
class GrantReturn:
    """
    Hands back unused tokens of a grant that has not lapsed.

    :ivar returned: tokens of this grant handed back so far.
    """

    organisation: str
    epoch: int
    returned: int
    serial: int


@message('handover')
class Handover:
    """
    A previous owner's last word to the next one; it issues no more.

    :ivar epoch: of the new ownership.
    :ivar state: encoded buckets of the shard.
    """

    shard: str
    epoch: int
    state: bytes


@message('accepted')
class Accepted:
    """Plain acknowledgement."""

    revision: int = 0
