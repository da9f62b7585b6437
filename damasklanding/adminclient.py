"""
damasklanding.adminclient
~~~~~~~~~~~~~~~~~~~~~~~~~

Client of the administration API over urllib3.  A call is sent to the
control hosts in turn until one answers.  All attempts carry the same request
id, so that a change is applied only once.
"""

from dataclasses import dataclass
import time
from urllib.parse import quote
from urllib.parse import urlencode
import uuid

import msgspec
import urllib3

from damasklanding.errors import BadSetting
from damasklanding.errors import Conflict
from damasklanding.errors import DamasklandingError
from damasklanding.errors import Unavailable
from damasklanding.errors import error_from_code
from damasklanding.options import split_address

__all__ = [
    'AdminClient',
    'HostReply',
    'successful_replies',
    'parse_addresses',
    'api_path',
]

CONNECT_TIMEOUT_MS = 1_000
CALL_ALL_TIMEOUT_MS = 3_000
READ_TIMEOUT_MS = 10_000
FIRST_ROUND_TIMEOUT_MS = 1_500
MAX_ROUNDS = 3
ROUND_PAUSE_MS = 300
WILDCARD_ADDRESSES = ('0.0.0.0', '::')
_FAILOVER_CODES = {'unavailable', 'not-leader', 'stale-state', 'link-closed'}
_FAILOVER_CODES |= {'link-timeout'}


@dataclass(frozen=True)
class HostReply:
    """
    Answer of one control host.

    :ivar body: decoded JSON, None on an error.
    :ivar error: :class:`DamasklandingError`, None on success.
    """

    address: str
    body: object = None
    error: DamasklandingError | None = None


def parse_addresses(text):
    """
    Return the list of addresses in ``ip:port,ip:port``.

    :raises BadSetting: if one is malformed or none is given.
    """
    addresses = [part.strip() for part in text.split(',') if part.strip()]
    try:
        for address in addresses:
            split_address(address)
    except ValueError as error:
        raise BadSetting(
            f'--admin (or DAMASKLANDING_ADMIN) is {text!r}, {error}',
            'give addresses such as 127.0.0.1:7600, split by commas',
        ) from error
    if not addresses:
        raise BadSetting(
            '--admin (or DAMASKLANDING_ADMIN) is not set',
            'give the administration addresses of the control hosts',
        )
    return addresses


def api_path(*parts, **query):
    """Return the API path with quoted segments and an optional query."""
    path = '/v1/' + '/'.join(quote(str(part), safe='') for part in parts)
    query = {name: value for name, value in query.items() if value is not None}
    return f'{path}?{urlencode(query)}' if query else path


class AdminClient:
    """
    Calls the administration API of a fleet.

    :ivar addresses: ``ip:port`` of each control host, asked in this order.
    """

    def __init__(self, addresses, token, timeout_ms=READ_TIMEOUT_MS):
        self.addresses = list(addresses)
        self._token = token
        self._timeout_ms = timeout_ms
        self._pools = {}
        self._discovered = False

    def call(
        self, method, path, body=None, expected_revision=None, request_id=None
    ):
        """
        Call the first control host that answers.

        :param body: encoded as JSON unless it is None.
        :param expected_revision: 0 for a resource that must not exist yet.
        :param request_id: id of an earlier send, to resend it safely.
        :return: decoded JSON.
        :raises DamasklandingError: the error that the API reported.
        :raises Unavailable: if no control host answered.
        """
        headers = self._headers(expected_revision, request_id)
        return self._call_first(method, path, body, headers, _decode_json)

    def download(self, path):
        """Return the body from the first control host that answers."""
        return self._call_first('GET', path, None, self._headers(), bytes)

    def call_all(self, path):
        """
        Call every control host, including those announced to the fleet.

        :return: list of :class:`HostReply`.
        """
        return self._call_every(path, _decode_json)

    def download_all(self, path):
        """Download from every control host; see :meth:`call_all`."""
        return self._call_every(path, bytes)

    def close(self):
        """Close all connections."""
        for pool in self._pools.values():
            pool.close()
        self._pools.clear()

    def _call_every(self, path, decode):
        self._discover()
        headers = self._headers()
        replies = []
        for address in self.addresses:
            try:
                body = self._send(
                    address,
                    'GET',
                    path,
                    None,
                    headers,
                    decode,
                    min(self._timeout_ms, CALL_ALL_TIMEOUT_MS),
                )
                replies.append(HostReply(address, body))
            except DamasklandingError as error:
                replies.append(HostReply(address, error=error))
        return replies

    def _call_first(self, method, path, body, headers, decode):
        failures = {}
        for attempt in range(MAX_ROUNDS):
            timeout_ms = self._timeout_ms
            if attempt:
                time.sleep(ROUND_PAUSE_MS / 1000)
            elif len(self.addresses) > 1:
                timeout_ms = min(timeout_ms, FIRST_ROUND_TIMEOUT_MS)
            for address in list(self.addresses):
                try:
                    answer = self._send(
                        address,
                        method,
                        path,
                        body,
                        headers,
                        decode,
                        timeout_ms,
                    )
                except Unavailable as error:
                    if error.code not in _FAILOVER_CODES:
                        raise
                    failures[address] = error
                    continue
                self._prefer(address)
                return answer
        raise _all_failed(failures)

    def _discover(self):
        """Add the administration addresses that control hosts announced."""
        if self._discovered:
            return
        try:
            items = self.call('GET', api_path('control-hosts'))['items']
        except DamasklandingError:
            return
        self._discovered = True
        known = [item['admin_address'] for item in items]
        self.addresses += [
            address
            for address in known
            if address not in self.addresses and _is_reachable(address)
        ]

    def _prefer(self, address):
        self.addresses.remove(address)
        self.addresses.insert(0, address)

    def _headers(self, expected_revision=None, request_id=None):
        headers = {
            'Authorization': f'Bearer {self._token}',
            'Content-Type': 'application/json',
            'Request-Id': request_id or uuid.uuid4().hex,
        }
        if expected_revision == 0:
            headers['If-None-Match'] = '*'
        elif expected_revision is not None:
            headers['If-Match'] = f'"{expected_revision}"'
        return headers

    def _send(self, address, method, path, body, headers, decode, timeout_ms):
        data = None if body is None else msgspec.json.encode(body)
        try:
            answer = self._pool(address).urlopen(
                method,
                path,
                body=data,
                headers=headers,
                retries=False,
                redirect=False,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_MS / 1000, read=timeout_ms / 1000
                ),
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise Unavailable(
                f'{address} does not answer ({_error_name(error)})',
                'check that the control host runs and the path to it',
            ) from error
        if answer.status >= 400:
            raise _error_from_answer(address, answer)
        return decode(answer.data)

    def _pool(self, address):
        pool = self._pools.get(address)
        if pool is None:
            host, port = split_address(address)
            pool = self._pools[address] = urllib3.HTTPConnectionPool(
                host, port, maxsize=1, retries=False
            )
        return pool


def _is_reachable(address):
    """Return whether an announced address is valid and not a wildcard."""
    try:
        host, port = split_address(address)
    except ValueError:
        return False
    return port > 0 and host not in WILDCARD_ADDRESSES


def successful_replies(replies):
    """
    Return the replies without errors.

    :raises DamasklandingError: if all failed; an error other than
        Unavailable is preferred, since it is more specific.
    """
    good = [reply for reply in replies if reply.error is None]
    if good:
        return good
    errors = [reply.error for reply in replies]
    for error in errors:
        if not isinstance(error, Unavailable):
            raise error
    raise _all_failed(dict(enumerate(errors)))


def _decode_json(data):
    try:
        return msgspec.json.decode(data)
    except msgspec.MsgspecError as error:
        raise DamasklandingError(
            'the answer is not JSON',
            'check that --admin names the administration API',
        ) from error


def _error_from_answer(address, answer):
    try:
        fields = msgspec.json.decode(answer.data)
        error = error_from_code(
            fields['code'],
            fields['detail'],
            fields['remedy'],
            fields.get('retry_after_ms'),
        )
    except (msgspec.MsgspecError, KeyError, TypeError):
        return DamasklandingError(
            f'{address} answered {answer.status}',
            'check that --admin names the administration API',
        )
    if isinstance(error, Conflict):
        error.winner = fields.get('winner', '')
        error.revision = fields.get('revision')
    return error


def _error_name(error):
    cause = getattr(error, 'reason', None) or error
    return type(cause).__name__


def _all_failed(failures):
    problems = '; '.join(error.problem for error in failures.values())
    return Unavailable(
        f'no control host could serve the call ({problems})',
        'check that a majority of the control hosts runs and is reachable',
    )
