"""
damasklanding.headers
~~~~~~~~~~~~~~~~~~~~~

Names of the HTTP headers that the product reads, sets and strips.
"""

__all__ = [
    'CALLER_HEADERS',
    'CONTEXT',
    'DEADLINE_MS',
    'HOP_BY_HOP',
    'IDEMPOTENCY_KEY',
    'IMPORTANCE',
    'KEY',
    'MAY_RETRY',
    'ORGANISATION',
    'OUTCOME',
    'PREFIX',
    'REQUEST_ID',
    'RETRIES_LEFT',
]

PREFIX = 'damasklanding-'

#: The caller's key; never leaves the entry node.
KEY = 'damasklanding-key'
#: Chosen by the caller so that a resend runs at most once.
IDEMPOTENCY_KEY = 'idempotency-key'
#: Time left in milliseconds; a caller may shorten it, a node lowers it.
DEADLINE_MS = 'damasklanding-deadline-ms'
#: ``ran``, ``not-run`` or ``unknown``, on every answer.
OUTCOME = 'damasklanding-outcome'
#: Handle of a running call; a backend server repeats it on onward calls.
CONTEXT = 'damasklanding-context'
#: Organisation that a request runs for, set by the node only.
ORGANISATION = 'damasklanding-organisation'
#: Id of the request that entered the fleet, set by the node only.
REQUEST_ID = 'damasklanding-request-id'
#: Importance of the chain, set by the node only.
IMPORTANCE = 'damasklanding-importance'
#: ``false`` on a failure that a retry elsewhere would not mend.
MAY_RETRY = 'damasklanding-may-retry'
#: Attempts that the chain may still spend.
RETRIES_LEFT = 'damasklanding-retries-left'

#: The headers with our prefix that a caller may send.
CALLER_HEADERS = frozenset((KEY, DEADLINE_MS))

#: Headers that each connection writes anew, the date of its sender included.
HOP_BY_HOP = frozenset(
    (
        'connection',
        'content-length',
        'date',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
