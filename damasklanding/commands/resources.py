"""
damasklanding.commands.resources
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands that read and change profiles, services, organisations, data
centres, backend servers and control hosts.
"""

from dataclasses import dataclass
from functools import partial

import click

from damasklanding.adminclient import api_path
from damasklanding.commands.base import ToolGroup
from damasklanding.commands.base import change_options
from damasklanding.errors import BadInput
from damasklanding.errors import NotFound

__all__ = ['RESOURCE_KINDS', 'ResourceKind', 'resource_group']


@dataclass(frozen=True)
class ResourceKind:
    """
    A resource kind and its commands.

    :ivar collection: path segment of the API.
    :ivar columns: pairs of heading and field name for ``list``.
    :ivar flags: decorators that each add an option of ``put``.
    :ivar actions: command name, path segment and help text of other changes.
    """

    name: str
    collection: str
    columns: tuple
    flags: tuple = ()
    actions: tuple = ()
    deletable: bool = True
    example: str = ''


def _flag(field, kind, text, **extra):
    flag = '--' + field.replace('_', '-')
    return click.option(flag, field, type=kind, help=text, **extra)


def _switch(field, text):
    flag = field.replace('_', '-')
    return click.option(
        f'--{flag}/--no-{flag}', field, default=None, help=text
    )


def _parse_routes(_ctx, _param, texts):
    return [_parse_route(text) for text in texts] or None


def _parse_route(text):
    """Parse a route given as ``PREFIX=PROFILE[,ACCESS][,METHOD+METHOD]``."""
    prefix, _, rest = text.partition('=')
    profile, *options = rest.split(',')
    if not profile:
        raise click.BadParameter(
            f'{text!r} has no profile; give PREFIX=PROFILE, such as '
            '/balance=public-self-service'
        )
    route = {'prefix': prefix, 'profile': profile}
    for option in options:
        if option in ('open', 'internal'):
            route['access'] = option
        else:
            route['methods'] = option.split('+')
    return route


_PROFILE_FLAGS = (
    _flag('importance', int, '0 to 3; higher is shed later.'),
    _switch('idempotent', 'Whether a request may run more than once.'),
    _flag('longest_wait_ms', int, 'Longest wait for a slot.'),
    _flag('timeout_ms', int, 'Deadline of a request that brings none.'),
    _flag('retries', int, 'Attempts beyond the first, over the chain.'),
    _flag(
        'discipline',
        click.Choice(('fifo', 'lifo', 'adaptive')),
        'Order within an organisation.',
    ),
    _flag('weight', int, 'Share among profiles of equal importance.'),
    _flag('claim_retention_ms', int, 'How long idempotency keys are kept.'),
    _flag('objective_ratio', float, 'Objective: good over all requests.'),
    _flag('objective_latency_ms', int, 'Slower answers count as bad.'),
)
_SERVICE_FLAGS = (
    click.option(
        '--route',
        'routes',
        multiple=True,
        callback=_parse_routes,
        metavar='PREFIX=PROFILE[,internal][,METHOD+METHOD]',
        help='A route; give all of them, they replace the present ones.',
    ),
)
_ORGANISATION_FLAGS = (
    _flag('rate_per_s', float, 'Requests a second, over all hosts.'),
    _flag('burst_requests', int, 'Burst, over all hosts.'),
    _flag('weight', int, 'Share under overload.'),
)
_CONTROL_HOST_FLAGS = (
    _flag('peer_address', str, 'Listener for other processes.'),
    _flag('admin_address', str, 'Listener of the administration API.'),
)

RESOURCE_KINDS = (
    ResourceKind(
        'profile',
        'profiles',
        (
            ('NAME', 'name'),
            ('IMPORTANCE', 'importance'),
            ('IDEMPOTENT', 'idempotent'),
            ('WAIT_MS', 'longest_wait_ms'),
            ('TIMEOUT_MS', 'timeout_ms'),
            ('RETRIES', 'retries'),
            ('OBJECTIVE', 'objective_ratio'),
            ('REVISION', 'revision'),
        ),
        _PROFILE_FLAGS,
        example='profile put bookings --importance 3 --no-idempotent --wait',
    ),
    ResourceKind(
        'service',
        'services',
        (('NAME', 'name'), ('ROUTES', 'prefixes'), ('REVISION', 'revision')),
        _SERVICE_FLAGS,
        example='service put plan-office --route /plans=bookings',
    ),
    ResourceKind(
        'organisation',
        'organisations',
        (
            ('NAME', 'name'),
            ('RATE_PER_S', 'rate_per_s'),
            ('BURST', 'burst_requests'),
            ('WEIGHT', 'weight'),
            ('KEYS', 'keys'),
            ('REVISION', 'revision'),
        ),
        _ORGANISATION_FLAGS,
        example='organisation put lender-1 --rate-per-s 50 '
        '--burst-requests 100',
    ),
    ResourceKind(
        'data-centre',
        'data-centres',
        (
            ('NAME', 'name'),
            ('REGION', 'region'),
            ('OUT', 'out'),
            ('REVISION', 'revision'),
        ),
        (_flag('region', str, 'Region of the data centre.'),),
        (
            ('out', 'out', 'Keep new work away from a data centre.'),
            ('in', 'in', 'Bring a data centre back, gradually.'),
        ),
        example='data-centre out obihiro --wait',
    ),
    ResourceKind(
        'backend',
        'backends',
        (
            ('NAME', 'name'),
            ('SERVICE', 'service'),
            ('DATA_CENTRE', 'data_centre'),
            ('STATE', 'state'),
            ('HELD_OUT', 'held_out'),
            ('SLOTS', 'slots'),
            ('ADDRESS', 'peer_address'),
        ),
        actions=(
            ('drain', 'drain', 'Send no new work to a backend server.'),
            ('return', 'return', 'Return a drained backend server.'),
        ),
        deletable=False,
        example='backend drain node-3 --wait',
    ),
    ResourceKind(
        'control-host',
        'control-hosts',
        (
            ('NAME', 'name'),
            ('PEER_ADDRESS', 'peer_address'),
            ('ADMIN_ADDRESS', 'admin_address'),
            ('REVISION', 'revision'),
        ),
        _CONTROL_HOST_FLAGS,
        example='control-host replace c3 --peer-address 127.0.0.9:7500',
    ),
    ResourceKind(
        'control-group',
        'control-groups',
        (
            ('NAME', 'name'),
            ('VOTERS', 'voters'),
            ('FOUNDERS', 'founders'),
            ('REVISION', 'revision'),
        ),
        (_flag('voters', int, 'How many control hosts vote; an odd number.'),),
        deletable=False,
        example='control-group put control --voters 5',
    ),
)

#: Actions that may take the last usable backend servers of a service.
_EMPTYING_VERBS = frozenset(('out', 'drain'))

_RESULT_WORDS = {
    'out': 'out',
    'in': 'in',
    'drain': 'drained',
    'return': 'returned',
}


def resource_group(kind):
    """Return the group of commands of a resource kind."""
    title = kind.collection.replace('-', ' ')
    group = ToolGroup(
        kind.name,
        help=f'Read and change {title}.\n\n\b\nExample:\n'
        f'  damasklanding {kind.example}',
    )
    _add_reads(group, kind, title)
    if kind.flags:
        _add_put(group, kind)
    if kind.deletable:
        _add_delete(group, kind)
    for verb, segment, text in kind.actions:
        _add_action(group, kind, verb, segment, text)
    return group


def _add_reads(group, kind, title):
    @group.command('list', help=f'List {title}.')
    @click.option('--fresh', is_flag=True, help='Refuse stale state.')
    @click.pass_obj
    def list_items(tool, fresh):
        path = api_path(kind.collection, fresh=1 if fresh else None)
        answer = tool.client.call('GET', path)
        items = [
            {**item, 'prefixes': _prefixes(item)} for item in answer['items']
        ]
        tool.show_rows(items, kind.columns, answer['items'])

    @group.command('get', help=f'Show one {kind.name}.')
    @click.argument('name')
    @click.option('--fresh', is_flag=True, help='Refuse stale state.')
    @click.pass_obj
    def get(tool, name, fresh):
        path = api_path(kind.collection, name, fresh=1 if fresh else None)
        item = tool.client.call('GET', path)['item']
        rows = [{'field': key, 'value': item[key]} for key in item]
        tool.show_rows(rows, (('FIELD', 'field'), ('VALUE', 'value')), item)


def _prefixes(item):
    return [
        f'{route["prefix"]}={route["profile"]}'
        for route in item.get('routes', ())
    ]


def _get_or_none(client, kind, name):
    try:
        return client.call('GET', api_path(kind.collection, name))['item']
    except NotFound:
        return None


def _merge_fields(present, flags):
    kept = {
        field: value
        for field, value in (present or {}).items()
        if field not in ('name', 'revision', 'keys')
    }
    return {**kept, **flags}


def _put(change, kind, name, flags, present):
    flags = {
        field: value for field, value in flags.items() if value is not None
    }
    if present is not None and not flags:
        raise BadInput(
            f'{kind.name} {name} exists and no flag says what to change',
            'give at least one flag; see --help',
        )
    written = change.send(
        'PUT',
        api_path(kind.collection, name),
        _merge_fields(present, flags),
        present['revision'] if present else 0,
    )
    verb = 'changed' if present else 'created'
    revision = written['revision']
    change.finish(written, f'{kind.name} {name} {verb}, revision {revision}')


def _add_put(group, kind):
    @change_options
    def put(change, name, **flags):
        present = _get_or_none(change.tool.client, kind, name)
        _put(change, kind, name, flags, present)

    @change_options
    def replace(change, name, **flags):
        path = api_path(kind.collection, name)
        present = change.tool.client.call('GET', path)['item']
        _put(change, kind, name, flags, present)

    _register(
        group,
        kind,
        'put',
        put,
        f'Create or change one {kind.name}; fields that no flag names stay '
        'as they are.',
    )
    if kind.name == 'control-host':
        _register(
            group,
            kind,
            'replace',
            replace,
            'Move a control host to other addresses after its host was lost.',
        )


def _register(group, kind, verb, function, text):
    function = click.argument('name')(function)
    for flag in reversed(kind.flags):
        function = flag(function)
    group.command(verb, help=text)(function)


def _add_delete(group, kind):
    @group.command('delete', help=f'Remove one {kind.name}.')
    @click.argument('name')
    @change_options
    def delete(change, name):
        written = change.send('DELETE', api_path(kind.collection, name))
        revision = written['revision']
        change.finish(
            written,
            f'{kind.name} {name} removed, revision {revision}',
        )


def _add_action(group, kind, verb, segment, text):
    def send(change, name, force):
        path = api_path(
            kind.collection,
            name,
            segment,
            unless_emptying=None if force else 1,
        )
        written = change.send('POST', path)
        revision = written['revision']
        emptied = ', '.join(written.get('emptied_services', ()))
        if emptied:
            change.tool.note(
                f'warning: no usable backend server is left of {emptied}'
            )
        change.finish(
            written,
            f'{kind.name} {name} is {_RESULT_WORDS[verb]}, '
            f'revision {revision}',
        )

    if verb in _EMPTYING_VERBS:
        _register_action(group, verb, text, _force_option(send))
    else:
        _register_action(group, verb, text, partial(send, force=True))


def _force_option(send):
    return click.option(
        '--force',
        is_flag=True,
        help='Also where a service is left without a usable backend server.',
    )(send)


def _register_action(group, verb, text, send):
    function = click.argument('name')(change_options(send))
    group.command(verb, help=text)(function)
