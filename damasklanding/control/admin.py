"""
damasklanding.control.admin
~~~~~~~~~~~~~~~~~~~~~~~~~~~

The administration API: a bottle application that every control host serves.
Reads are served from the local state and report how long ago that state was
last confirmed as current; writes become commands that the leader orders.
"""

import functools

import bottle
import gevent
from loguru import logger
import msgspec

from damasklanding.clock import monotonic_ms
from damasklanding.documents import DOCUMENTS
from damasklanding.documents import MAX_DOCUMENT_BYTES
from damasklanding.documents import KeyDocument
from damasklanding.documents import decode_document
from damasklanding.documents import plain_values
from damasklanding.documents import resource_from
from damasklanding.documents import resource_view
from damasklanding.errors import BadInput
from damasklanding.errors import Conflict
from damasklanding.errors import DamasklandingError
from damasklanding.errors import NotFound
from damasklanding.errors import WouldEmpty
from damasklanding.errors import error_from_code
from damasklanding.fleet.availability import services_emptied
from damasklanding.fleet.commands import DeleteResource
from damasklanding.fleet.commands import Envelope
from damasklanding.fleet.commands import GrantKey
from damasklanding.fleet.commands import HoldBackend
from damasklanding.fleet.commands import PutControlGroup
from damasklanding.fleet.commands import PutControlHost
from damasklanding.fleet.commands import PutOrganisation
from damasklanding.fleet.commands import PutProfile
from damasklanding.fleet.commands import PutService
from damasklanding.fleet.commands import SetDataCentre
from damasklanding.fleet.commands import WithdrawKey
from damasklanding.snapshot import encode_snapshot
from damasklanding.viewlog import explain
from damasklanding.webapi import bearer_token
from damasklanding.webapi import expected_revision
from damasklanding.webapi import framework_error
from damasklanding.webapi import json_answer
from damasklanding.webapi import problem_answer
from damasklanding.webapi import request_body
from damasklanding.webapi import request_id
from damasklanding.webapi import whole_number
from damasklanding.wsgi import caller_waits

__all__ = ['admin_app']

FRESH_LIMIT_MS = 5_000
MAX_HISTORY = 1_000
POLL_MS = 5
READ_OWN_WRITE_TIMEOUT_MS = 2_000
PROPOSE_TIMEOUT_MS = 5_000

#: Kind of resource by the path segment that names its collection.
COLLECTIONS = {
    'profiles': 'profile',
    'services': 'service',
    'organisations': 'organisation',
    'data-centres': 'data_centre',
    'backends': 'backend',
    'control-hosts': 'control_host',
    'control-groups': 'control_group',
}

_PUT_COMMANDS = {
    'profile': lambda item: PutProfile(profile=item),
    'service': lambda item: PutService(service=item),
    'organisation': lambda item: PutOrganisation(organisation=item),
    'control_host': lambda item: PutControlHost(control_host=item),
    'control_group': lambda item: PutControlGroup(
        name=item.name, voters=item.voters
    ),
    'data_centre': lambda item: SetDataCentre(
        name=item.name, out=item.out, region=item.region
    ),
}

_HOLD_ACTIONS = {'drain': True, 'return': False}
_OUT_ACTIONS = {'out': True, 'in': False}


class Position(msgspec.Struct):
    """
    Position in the log of the state that a read was served from.

    :ivar age_ms: time since the state was last confirmed as current, None
        if it never was.
    """

    term: int
    revision: int
    age_ms: int | None


class Written(msgspec.Struct, omit_defaults=True):
    """
    Response to a write that has been committed.

    :ivar emptied_services: services whose last usable backend servers it has
        taken.
    """

    revision: int
    request_id: str
    operator: str
    emptied_services: list[str] = []


def admin_app(host, tokens, metrics, telemetry=None):
    """
    Return the WSGI application of the administration API.

    :param host: control host; ``view``, ``order(envelope, timeout_ms,
        is_awaited)``, ``status()``, ``history(limit)`` and ``watchers()``
        are used.
    :param tokens: :class:`damasklanding.operators.OperatorTokens`.
    :param metrics: counter of malformed and refused requests.
    :param telemetry: :class:`damasklanding.telemetry.FleetTelemetry`.
    """
    bottle.BaseRequest.MEMFILE_MAX = MAX_DOCUMENT_BYTES
    app = bottle.Bottle()
    app.default_error_handler = framework_error
    for routes in (_read_routes, _write_routes, _fleet_routes):
        for method, path, handler in routes(host, telemetry):
            app.route(path, method, _guard(handler, tokens, metrics), apply=())
    return app


def _guard(handler, tokens, metrics):
    @functools.wraps(handler)
    def guarded(**arguments):
        try:
            operator = tokens.operator_of(bearer_token())
            return json_answer(handler(operator=operator, **arguments))
        except DamasklandingError as error:
            metrics.add('input_errors_total', 'admin', error.code)
            return problem_answer(error)
        except Exception:
            metrics.add('input_errors_total', 'admin', 'internal')
            logger.exception('administration call failed')
            raise

    return guarded


def _position(view):
    age_ms = view.age_ms()
    return Position(
        view.state.term,
        view.state.revision,
        None if age_ms == float('inf') else int(age_ms),
    )


def _read_response(host, **parts):
    """Return the response to a read: its parts and its position."""
    if bottle.request.query.get('fresh') == '1':
        host.view.require_fresh(FRESH_LIMIT_MS)
    return {**msgspec.structs.asdict(_position(host.view)), **parts}


def _kind(collection):
    kind = COLLECTIONS.get(collection)
    if kind is None:
        raise NotFound(
            f'no collection {collection}',
            f'use one of {", ".join(COLLECTIONS)}',
        )
    return kind


def _require_resource(host, kind, name):
    resource = host.view.state.get(kind, name)
    if resource is None:
        raise NotFound(f'no {kind.replace("_", " ")} {name}')
    return resource


def _read_routes(host, _telemetry):
    def list_resources(operator, collection):
        resources = host.view.state.all(_kind(collection))
        items = [resource_view(item) for _, item in sorted(resources.items())]
        return _read_response(host, items=items)

    def get_resource(operator, collection, name):
        resource = _require_resource(host, _kind(collection), name)
        bottle.response.set_header('ETag', f'"{resource.revision}"')
        return _read_response(host, item=resource_view(resource))

    def list_keys(operator, name):
        organisation = _require_resource(host, 'organisation', name)
        return _read_response(
            host, items=[key.key_id for key in organisation.keys]
        )

    return (
        ('GET', '/v1/<collection>', list_resources),
        ('GET', '/v1/<collection>/<name>', get_resource),
        ('GET', '/v1/organisations/<name>/keys', list_keys),
    )


def _write_routes(host, _telemetry):
    def put_resource(operator, collection, name):
        kind = _kind(collection)
        if kind not in DOCUMENTS:
            raise BadInput(
                f'{collection} are not written by operators',
                'use drain or return',
            )
        document = decode_document(request_body(), DOCUMENTS[kind], name)
        command = _PUT_COMMANDS[kind](resource_from(kind, document))
        return _propose(host, operator, command)

    def delete_resource(operator, collection, name):
        command = DeleteResource(kind=_kind(collection), name=name)
        return _propose(host, operator, command)

    def grant_key(operator, name):
        document = decode_document(request_body(), KeyDocument)
        key = msgspec.convert(
            document, KeyDocument.__base__, from_attributes=True
        )
        return _propose(host, operator, GrantKey(organisation=name, key=key))

    def withdraw_key(operator, name, key_id):
        command = WithdrawKey(organisation=name, key_id=key_id)
        return _propose(host, operator, command)

    def move_data_centre(operator, name, action):
        if action not in _OUT_ACTIONS:
            raise NotFound(f'no action {action}', 'use out or in')
        region = _require_resource(host, 'data_centre', name).region
        out = _OUT_ACTIONS[action]
        emptied = _services_emptied(
            host,
            lambda backend: out and backend.data_centre == name,
        )
        command = SetDataCentre(name=name, out=out, region=region)
        return _propose(host, operator, command, emptied)

    def hold_backend(operator, name, action):
        if action not in _HOLD_ACTIONS:
            raise NotFound(f'no action {action}', 'use drain or return')
        held_out = _HOLD_ACTIONS[action]
        emptied = _services_emptied(
            host,
            lambda backend: held_out and backend.name == name,
        )
        command = HoldBackend(name=name, held_out=held_out)
        return _propose(host, operator, command, emptied)

    return (
        ('PUT', '/v1/<collection>/<name>', put_resource),
        ('DELETE', '/v1/<collection>/<name>', delete_resource),
        ('POST', '/v1/organisations/<name>/keys', grant_key),
        ('DELETE', '/v1/organisations/<name>/keys/<key_id>', withdraw_key),
        ('POST', '/v1/data-centres/<name>/<action>', move_data_centre),
        ('POST', '/v1/backends/<name>/<action>', hold_backend),
    )


def _fleet_routes(host, telemetry):
    def status(operator):
        loads = telemetry.loads() if telemetry else {}
        return _read_response(
            host,
            control_host=plain_values(host.status()),
            loads=loads,
            data_centres_out=[
                item.name
                for item in host.view.state.all('data_centre').values()
                if item.out
            ],
            empty_services={
                name: explain(reasons)
                for name, reasons in host.view.empty_services().items()
            },
        )

    def history(operator):
        limit = whole_number('limit', 50, MAX_HISTORY)
        return _read_response(host, items=plain_values(host.history(limit)))

    def watchers(operator):
        revision = whole_number('revision', host.view.state.revision, 1 << 63)
        items = list(host.watchers())
        return _read_response(
            host,
            name=host.status().name,
            items=items,
            lagging=[item.name for item in items if item.revision < revision],
        )

    def burn(operator):
        if telemetry is None:
            return _read_response(host, burn=None)
        with_series = bottle.request.query.get('series') == '1'
        return _read_response(host, burn=telemetry.burn.report(with_series))

    def snapshot(operator):
        if bottle.request.query.get('fresh') == '1':
            host.view.require_fresh(FRESH_LIMIT_MS)
        bottle.response.content_type = 'application/octet-stream'
        return encode_snapshot(host.view.state)

    return (
        ('GET', '/v1/status', status),
        ('GET', '/v1/history', history),
        ('GET', '/v1/watchers', watchers),
        ('GET', '/v1/burn', burn),
        ('GET', '/v1/snapshot', snapshot),
    )


def _services_emptied(host, is_taken):
    """
    Return the services that an order leaves without a usable server.

    :raises WouldEmpty: it takes the last one of some, and the query has
        ``unless_emptying``.
    """
    state = host.view.state
    newly = services_emptied(state, is_taken, newly=True)
    if newly and bottle.request.query.get('unless_emptying') == '1':
        raise WouldEmpty(
            'this takes the last usable backend servers of ' + ', '.join(newly)
        )
    return services_emptied(state, is_taken)


def _propose(host, operator, command, emptied=()):
    resend_id = request_id()
    bottle.response.set_header('Request-Id', resend_id)
    envelope = Envelope(
        request_id=f'{operator}:{resend_id}',
        operator=operator,
        command=command,
        expected_revision=expected_revision(),
    )
    is_awaited = caller_waits(bottle.request.environ)
    outcome = host.order(envelope, PROPOSE_TIMEOUT_MS, is_awaited)
    if outcome.error:
        raise _error_from(outcome)
    _await_revision(host.view, outcome.revision)
    bottle.response.set_header('ETag', f'"{outcome.revision}"')
    return Written(outcome.revision, resend_id, operator, list(emptied))


def _await_revision(view, revision):
    """
    Wait until a revision is applied on this host, which may be a follower.

    The operator's next read on this host then sees the change.
    """
    until_ms = monotonic_ms() + READ_OWN_WRITE_TIMEOUT_MS
    while view.state.revision < revision and monotonic_ms() < until_ms:
        gevent.sleep(POLL_MS / 1000)


def _error_from(outcome):
    error = error_from_code(outcome.error, outcome.problem)
    if isinstance(error, Conflict):
        error.winner = outcome.winner
        error.revision = outcome.revision
    return error
