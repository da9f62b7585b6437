"""
damasklanding.errors
~~~~~~~~~~~~~~~~~~~~

Typed errors with stable codes.  Every message states the problem and then
the remedy; HTTP status and process exit status derive from the kind.
"""

__all__ = [
    'AlreadyRunning',
    'BadInput',
    'BadSetting',
    'ClaimUnknown',
    'Conflict',
    'ConnectionSilent',
    'CorruptStore',
    'DamasklandingError',
    'DeadlineExceeded',
    'DepartureDeferred',
    'Draining',
    'Forbidden',
    'HeaderTimeout',
    'HeadersTooLarge',
    'KeyRefused',
    'KeyReused',
    'LinkClosed',
    'LinkTimeout',
    'NotAwaited',
    'NotFound',
    'NotImplementedHere',
    'NotInForce',
    'NotLeader',
    'Overloaded',
    'OverRate',
    'PeerLost',
    'Quarantined',
    'Refusal',
    'ServerLimited',
    'StaleState',
    'TooLarge',
    'Unavailable',
    'UpstreamFailed',
    'UpstreamTimeout',
    'WouldEmpty',
    'error_from_code',
]


class DamasklandingError(Exception):
    """
    Base of all errors of this package.

    :ivar code: stable identifier, used on the wire and in problem bodies.
    :ivar http_status: status of the HTTP answer that reports the error.
    :ivar exit_status: process exit status of the command-line tool.
    :ivar remedy: default advice that ends the message.
    :ivar outcome: ``ran``, ``not-run`` or ``unknown`` for the request that
        failed with it; a receiver takes it from the sender's word.
    :ivar may_retry: whether another attempt elsewhere may help.
    :ivar retries_left: allowance that came back with it, None where it did
        not travel.
    """

    code = 'internal'
    http_status = 500
    exit_status = 1
    remedy = 'report it with the log lines around it'
    outcome = 'unknown'
    may_retry = False
    retries_left = None

    def __init__(self, problem, remedy=None, retry_after_ms=None):
        self.problem = problem
        self.remedy = remedy or self.remedy
        self.retry_after_ms = retry_after_ms
        super().__init__(f'{problem}: {self.remedy}')


class BadSetting(DamasklandingError):
    """A flag or environment variable holds an unusable value."""

    code = 'bad-setting'
    exit_status = 2
    remedy = 'correct the value of the named flag'


class BadInput(DamasklandingError):
    """A request or command that does not pass validation."""

    code = 'bad-input'
    http_status = 400
    exit_status = 2
    remedy = 'correct the named field and send it again'


class TooLarge(BadInput):
    """A header block or body above its size limit."""

    code = 'too-large'
    http_status = 413
    remedy = 'send less, or ask the operators to raise the limit'


class HeaderTimeout(BadInput):
    """A caller that did not send its whole request in time."""

    code = 'header-timeout'
    http_status = 408
    remedy = 'send the request without pauses'


class HeadersTooLarge(TooLarge):
    """A header block above its size limit."""

    code = 'headers-too-large'
    http_status = 431


class NotImplementedHere(BadInput):
    """A feature of HTTP that the listener does not offer."""

    code = 'not-implemented'
    http_status = 501
    remedy = 'send the request without it'


class NotFound(DamasklandingError):
    """No such resource or route."""

    code = 'not-found'
    http_status = 404
    exit_status = 3
    remedy = 'list what exists and correct the name'


class Conflict(DamasklandingError):
    """The expected revision is not the current one."""

    code = 'conflict'
    http_status = 409
    exit_status = 4
    remedy = 'read the current revision, decide again and resend'


class WouldEmpty(DamasklandingError):
    """An order that takes the last usable backend servers of a service."""

    code = 'would-empty'
    http_status = 409
    exit_status = 4
    remedy = 'start other backend servers first, or repeat it with --force'


class Forbidden(DamasklandingError):
    """A token or fleet secret that does not match."""

    code = 'forbidden'
    http_status = 403
    exit_status = 5
    remedy = 'present the token or secret that the operators issued'


class KeyRefused(Forbidden):
    """A missing, unknown or withdrawn organisation key."""

    code = 'key-refused'
    http_status = 401
    remedy = 'present a key that the operators granted'


class Unavailable(DamasklandingError):
    """A part of the system that can't answer now."""

    code = 'unavailable'
    http_status = 503
    exit_status = 6
    may_retry = True
    remedy = 'try again after the stated delay'


class NotLeader(Unavailable):
    """The contacted control host does not lead and knows no leader."""

    code = 'not-leader'
    remedy = 'try another control host'


class NotAwaited(DamasklandingError):
    """The sender of an order may have given it up; it was not carried out."""

    code = 'not-awaited'
    http_status = 503
    remedy = 'send the order again, if it is still wanted'


class NotInForce(DamasklandingError):
    """An accepted change that some processes have not applied in time."""

    code = 'not-in-force'
    http_status = 504
    exit_status = 8
    remedy = (
        'it stays accepted; check the named processes, which refuse keyed '
        'requests once they can prove no fresh state'
    )


class StaleState(Unavailable):
    """The node can't prove that its configuration is current."""

    code = 'stale-state'
    remedy = 'try another node, and restore the path to the control hosts'


class LinkClosed(Unavailable):
    """A peer connection that closed under an exchange."""

    code = 'link-closed'
    remedy = 'open a new connection'


class LinkTimeout(Unavailable):
    """A peer that did not answer in time."""

    code = 'link-timeout'
    remedy = 'check the peer and the path to it'


class CorruptStore(DamasklandingError):
    """A stored file that fails its checksum before its end."""

    code = 'corrupt-store'
    exit_status = 7
    remedy = (
        'move the data folder aside and start this control host empty; '
        'it catches up from the others'
    )


class Refusal(DamasklandingError):
    """A request refused before it reached a backend server."""

    code = 'refused'
    http_status = 503
    exit_status = 6
    remedy = 'try again after the stated delay'
    outcome = 'not-run'


class Overloaded(Refusal):
    """No capacity for a request of this importance."""

    code = 'overloaded'
    may_retry = True


class ServerLimited(Overloaded):
    """The backend server has named a rate, which is used up."""

    code = 'server-limited'


class Draining(Refusal):
    """The backend server or data centre takes no new work."""

    code = 'draining'
    remedy = 'send the request to another node'
    may_retry = True


class DepartureDeferred(Refusal):
    """A departure that is not confirmed yet."""

    code = 'departure-deferred'
    remedy = 'report the departure again'


class Quarantined(Refusal):
    """Requests like this one have ended several backend servers."""

    code = 'quarantined'
    remedy = (
        'do not repeat it before the stated delay, and report it to those '
        'who run the service'
    )


class OverRate(Refusal):
    """The organisation is above its rate and burst."""

    code = 'over-rate'
    http_status = 429
    remedy = 'slow down to the agreed rate'


class DeadlineExceeded(Refusal):
    """The request's time ran out before it was handed over."""

    code = 'deadline-exceeded'
    http_status = 504
    remedy = 'allow more time, or send it when load is lower'


class AlreadyRunning(DamasklandingError):
    """An earlier request with the same idempotency key has no outcome yet."""

    code = 'already-running'
    http_status = 409
    exit_status = 4
    remedy = 'ask again later with the same idempotency key'


class ClaimUnknown(DamasklandingError):
    """An earlier request with the same key has no outcome that is known."""

    code = 'claim-unknown'
    http_status = 409
    exit_status = 4
    remedy = 'look up what the first request did before any other'


class KeyReused(DamasklandingError):
    """An idempotency key that came before with another request."""

    code = 'key-reused'
    http_status = 422
    exit_status = 4
    outcome = 'not-run'
    remedy = 'choose a new idempotency key for each request'


class UpstreamFailed(DamasklandingError):
    """The backend server failed after the request was handed to it."""

    code = 'upstream-failed'
    http_status = 502
    remedy = 'check the outcome before any resend'
    may_retry = True


class ConnectionSilent(UpstreamFailed):
    """A connection to a backend server brings nothing any more."""

    code = 'connection-silent'


class PeerLost(UpstreamFailed):
    """The connection to the serving node broke after the request was sent."""

    code = 'peer-lost'


class UpstreamTimeout(UpstreamFailed):
    """The time ran out after the request was handed over."""

    code = 'upstream-timeout'
    http_status = 504
    may_retry = False


def _subclasses(kind):
    yield kind
    for child in kind.__subclasses__():
        yield from _subclasses(child)


_KINDS = {kind.code: kind for kind in _subclasses(DamasklandingError)}


def error_from_code(code, problem, remedy=None, retry_after_ms=None):
    """
    Rebuild an error received from another process.

    :param code: one of the stable codes; unknown codes give the base kind.
    :return: an instance of the matching error class.
    """
    kind = _KINDS.get(code, DamasklandingError)
    return kind(problem, remedy, retry_after_ms)
