"""
damasklanding.messages
~~~~~~~~~~~~~~~~~~~~~~

The messages between processes: one class for each member of the union in the
struct ``Frame`` of messages.capnp.
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
    'CONTROL_HOSTS_LEVEL',
    'CallAnswer',
    'CallRequest',
    'Cancel',
    'CRASH_NEWS_LEVEL',
    'Challenge',
    'CrashNews',
    'Grant',
    'GrantRequest',
    'GrantReturn',
    'Handover',
    'Hello',
    'LogEntry',
    'MESSAGES',
    'MESSAGE_LEVEL',
    'NEVER_CONFIRMED_AGE_MS',
    'PACKED_DECODERS',
    'PROOF_AGE_LEVEL',
    'PROTOCOL_VERSION',
    'Ping',
    'Pong',
    'Problem',
    'Proof',
    'ProofAgeReply',
    'ProofAgeRequest',
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
    'Window',
    'encode_packed',
]

#: Value of ``age_ms`` for a sender whose state was never confirmed as current.
NEVER_CONFIRMED_AGE_MS = 0xFFFFFFFF
PROTOCOL_VERSION = 2
#: Counts the additions of messages within a protocol version.  A process
#: closes a link that brings a message which it does not know, so each end
#: tells its level in the handshake.
MESSAGE_LEVEL = 3
CRASH_NEWS_LEVEL = 1  # from which on CrashNews is understood
PROOF_AGE_LEVEL = 3  # from which on ProofAgeRequest is understood
CONTROL_HOSTS_LEVEL = 2  # from which on a Watch may ask for hosts only

#: Message classes by the name of their union member.
MESSAGES = {}

#: Decoders of the messages that are encoded as MessagePack by msgspec, by the
#: name of their union member.
PACKED_DECODERS = {}
encode_packed = msgspec.msgpack.Encoder().encode


def message(member):
    """Make a class a data class and register it for a union member."""

    def register(cls):
        cls = dataclass(slots=True)(cls)
        cls.member = member
        MESSAGES[member] = cls
        return cls

    return register


@message('hello')
class Hello:
    """
    First frame of a connection, sent by the side that opened it.

    :ivar level: :data:`MESSAGE_LEVEL` of the sender.
    """

    name: str
    role: str
    instance: str
    nonce: bytes
    version: int = PROTOCOL_VERSION
    level: int = MESSAGE_LEVEL


@message('challenge')
class Challenge:
    """
    Answer to a hello: proves the secret and requests the peer's proof.

    :ivar level: :data:`MESSAGE_LEVEL` of the sender.
    """

    name: str
    role: str
    instance: str
    nonce: bytes
    proof: bytes
    level: int = MESSAGE_LEVEL


@message('proof')
class Proof:
    """Proof that the side that opened the connection holds the secret."""

    proof: bytes


@message('ping')
class Ping:
    """
    Heartbeat of a connection, with the sender's load report.

    :ivar sent_ms: age of the link at the sender when this was sent.
    """

    seq: int
    load: bytes = b''
    sent_ms: int = 0


@message('pong')
class Pong:
    """Answer to the ping with the same ``seq``."""

    seq: int
    load: bytes = b''


@message('problem')
class Problem:
    """
    Ends an exchange with an error.

    :ivar outcome: ``ran``, ``not-run`` or ``unknown``.
    :ivar may_retry: false if a retry on another node would not help.
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
    """
    Cancels an exchange; sent by the side that opened it.

    :ivar reason: ``unless-started`` cancels only a request that the receiver
        has not started.
    """

    reason: str = ''


def packed_message(member):
    """
    Register a struct for a union member, to be encoded by msgspec.

    The messages of each call use this encoding, because the Python binding of
    Cap'n Proto takes several times as long for a struct with many fields as
    for one with a single field.
    """

    def register(cls):
        cls.member = member
        MESSAGES[member] = cls
        PACKED_DECODERS[member] = msgspec.msgpack.Decoder(cls).decode
        return cls

    return register


@packed_message('callRequest')
class CallRequest(msgspec.Struct, array_like=True, gc=False):
    """
    A request for the backend server of the receiving node.

    :ivar deadline_ms: time that was left when this was sent.
    :ivar sent_ms: age of the link at the sender when this was sent; the
        receiver computes the delay of the frame from it.
    :ivar headers: names in lower case and values, alternating.
    :ivar body_length: size of a streamed body, -1 if unknown.
    :ivar serial: unique among the calls that the sending process makes.
    :ivar answered_before: number of earlier calls of the same parent that
        were answered.
    :ivar level: of the request that began the chain, -1 if unknown.
    :ivar begins_chain: whether it is the first call of its parent to the
        service.
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
    answered_before: int = 0
    level: int = -1
    begins_chain: bool = True


@packed_message('callAnswer')
class CallAnswer(msgspec.Struct, array_like=True, gc=False):
    """
    Status and headers of an answer, with the body if it is small.

    :ivar body_length: size of a streamed body, -1 if unknown.
    :ivar missing_services: services without a backend server that onward
        calls of the request needed.
    :ivar bottleneck: service of the chain with the highest admission level,
        and that level.
    :ivar leaving_services: services that its chain called and whose last
        usable backend server leaves.
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
    missing_services: tuple[str, ...] = ()
    bottleneck: tuple[str, int] = ('', -1)
    leaving_services: tuple[str, ...] = ()


@packed_message('resume')
class Resume(msgspec.Struct, array_like=True, gc=False):
    """
    Asks for the answer to a call whose connection broke.

    :ivar serial: ``serial`` of the call.
    :ivar deadline_ms: time that was left when this was sent.
    """

    serial: int
    deadline_ms: int


@message('bodyChunk')
class BodyChunk:
    """A part of a streamed body; ``last`` marks its end."""

    data: bytes
    last: bool = False


@message('window')
class Window:
    """Allows the sender of a body to send ``credit`` more bytes."""

    credit: int


@message('voteRequest')
class VoteRequest:
    """
    A candidate's request for a vote or a pre-vote.

    :ivar transfer: the leader requested this election to transfer its
        leadership.
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
    Log entries or a heartbeat from the leader.

    :ivar confirmed_age_ms: time since the leader sent the latest heartbeat
        that a quorum has acknowledged.
    :ivar campaign: the leader transfers its leadership; the receiver starts
        an election.
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
    """A follower's answer to log entries and heartbeats."""

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
    """Status of one of the replicas of a control host."""

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
    Proposes an encoded envelope for a replicated log.

    :ivar kind: ``command``, or ``members`` for a change of the members of
        the group.
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

    :ivar services: services whose backend servers are to be sent.
    :ivar all_services: whether to send the backend servers of all services.
    :ivar compressed: whether the watcher reads compressed changes.
    :ivar hosts_only: whether to send nothing but the control hosts, once.
    """

    name: str
    instance: str
    term: int
    revision: int
    services: list[str] = field(default_factory=list)
    all_services: bool = False
    compressed: bool = False
    hosts_only: bool = False


@message('watchSnapshot')
class WatchSnapshot:
    """The state, or one service's backend servers, at a revision."""

    term: int
    revision: int
    changes: bytes
    service: str = ''
    compressed: bool = False


@message('watchDelta')
class WatchDelta:
    """The changes of one or more consecutive revisions."""

    term: int
    revision: int
    changes: bytes
    compressed: bool = False


@message('beat')
class Beat:
    """Heartbeat of a watcher; renews its lease, answered by BeatReply."""

    seq: int
    revision: int
    services: list[str] = field(default_factory=list)
    status: bytes = b''


@message('beatReply')
class BeatReply:
    """
    Tells a watcher when the sender's state was last confirmed as current.

    The state at ``revision`` was current ``age_ms`` before this was sent.
    """

    seq: int
    term: int
    revision: int
    age_ms: int
    leader: str = ''


@message('renewLeases')
class RenewLeases:
    """Tells the leader which nodes have sent heartbeats to a control host."""

    names: list[str]
    instances: list[str]
    seq: int


@message('renewReply')
class RenewReply:
    """
    The leader's answer to :class:`RenewLeases`.

    :ivar age_ms: time since a quorum last confirmed the leader.
    """

    seq: int
    term: int
    age_ms: int
    commit_index: int


@message('grantRequest')
class GrantRequest:
    """
    Asks the owner of an organisation's budget for tokens.

    :ivar epoch: epoch of the ownership, as far as the sender knows.
    :ivar wanted: tokens to use now.
    :ivar waiting: how many of these tokens queued requests wait for; requests
        that arrive later queue as well.
    :ivar wait_ms: longest time that one of these requests may wait.
    :ivar spent: total of the requests that the sender has admitted from its
        local share in this epoch, while the owner issued nothing.
    """

    organisation: str
    epoch: int
    wanted: int
    waiting: int
    wait_ms: int
    node: str
    spent: int = 0


@message('grant')
class Grant:
    """
    Tokens that expire after ``ttl_ms``.

    :ivar tokens: tokens that may be used at once.
    :ivar later: number of further tokens; the first may be used after
        ``later_ms``, the others follow at intervals of ``spacing_ms``.
    :ivar next_ms: time until a token beyond these may be used.
    :ivar scarce: whether unused tokens are to be returned.
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
    Returns unused tokens of a grant that has not expired.

    :ivar returned: total of the tokens of this grant returned so far.
    """

    organisation: str
    epoch: int
    returned: int
    serial: int


@message('handover')
class Handover:
    """
    Passes a shard of budgets from its previous owner to the next one.

    The previous owner issues no more tokens after sending this.

    :ivar epoch: epoch of the new ownership.
    :ivar state: encoded token buckets of the shard.
    """

    shard: str
    epoch: int
    state: bytes


@message('accepted')
class Accepted:
    """Acknowledgement without further content."""

    revision: int = 0


@message('crashNews')
class CrashNews:
    """
    What a node knows about crashes of its service's backend servers.

    A request brings news, fetches some, or only compares the digests.  The
    reply is of the same class.

    :ivar digest: identifies all that the sender knows.
    :ivar news: encoded news, empty if there are none.
    :ivar known: hashes of the entries that the sender knows, one after the
        other; sent where something is fetched or the digests differ.
    :ivar fetches: whether news is asked for.
    """

    service: str
    digest: bytes
    news: bytes = b''
    known: bytes = b''
    fetches: bool = False


@message('proofAgeRequest')
class ProofAgeRequest:
    """
    Asks a node how old its proof of the configuration is.

    :ivar about: peer address of a third node, empty to ask of none.
    """

    node: str
    about: str = ''


@message('proofAgeReply')
class ProofAgeReply:
    """
    Tells how old the proof of a node's configuration is.

    :ivar age_ms: :data:`NEVER_CONFIRMED_AGE_MS` without a proof.
    :ivar silent_ms: time since the third node was heard of,
        :data:`NEVER_CONFIRMED_AGE_MS` without an open link to it.
    """

    age_ms: int
    silent_ms: int = NEVER_CONFIRMED_AGE_MS
