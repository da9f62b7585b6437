"""
damasklanding.commands.fleet
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The commands ``status``, ``history``, ``watchers``, ``wait`` and ``version``.
"""

import time

import click
import msgspec

from damasklanding import __version__
from damasklanding.adminclient import api_path
from damasklanding.adminclient import successful_replies
from damasklanding.commands.base import ToolCommand
from damasklanding.rollout import wait_in_force
from damasklanding.tables import render_table

__all__ = ['FLEET_COMMANDS']

_HOST_HEADINGS = ['ADDRESS', 'NAME', 'ROLE', 'LEADER', 'TERM', 'REVISION']
_HOST_HEADINGS += ['AGE_MS', 'BEARS', 'PROBLEM']
_NODE_HEADINGS = ['NODE', 'SERVICE', 'DATA_CENTRE', 'STATE', 'LIMIT']
_NODE_HEADINGS += ['RUNNING', 'QUEUED', 'SERVICE_MS', 'WAIT_MS', 'SHED_BELOW']

CONFIG_GROUP = 'config'


class HostLine(msgspec.Struct):
    """
    Status of one control host.

    :ivar bears: on the leader, how many losses of control hosts the group
        bears now, of how many it should bear.
    """

    address: str
    name: str = ''
    role: str = ''
    leader: str = ''
    term: int | None = None
    revision: int | None = None
    age_ms: int | None = None
    bears: str = ''
    problem: str = ''


class NodeLine(msgspec.Struct):
    """Status of one node; load fields are None until it reports."""

    name: str
    service: str
    data_centre: str
    state: str
    limit: int | None = None
    running: int | None = None
    queued: int | None = None
    service_time_ms: float | None = None
    wait_ms: float | None = None
    shed_below: int | None = None


class FleetStatus(msgspec.Struct):
    """
    The status that ``status`` prints.

    :ivar empty_services: services without a usable backend server, each with
        why its servers can't be used.
    """

    control_hosts: list[HostLine]
    nodes: list[NodeLine]
    data_centres_out: list[str]
    empty_services: dict[str, str]


@click.command('status', cls=ToolCommand)
@click.pass_obj
def status(tool):
    """
    Show control hosts, nodes with limits and queues, and what is out.

    STATE is in, cold, draining, held out (by an operator) or out (with its
    data centre).
    """
    replies = tool.client.call_all(api_path('status'))
    bodies = [reply.body for reply in successful_replies(replies)]
    newest = max(bodies, key=lambda body: body['revision'])
    backends = tool.client.call('GET', api_path('backends'))['items']
    out = newest['data_centres_out']
    fleet = FleetStatus(
        [_host_line(reply) for reply in replies],
        [
            _node_line(item, _latest_load(bodies, item['name']), out)
            for item in backends
        ],
        out,
        newest.get('empty_services', {}),
    )
    tool.show(fleet, _status_text(fleet))


def _host_line(reply):
    if reply.error is not None:
        return HostLine(reply.address, problem=reply.error.problem)
    body = reply.body
    host = body['control_host']
    groups = host.get('groups') or [{}]
    group = next(
        (item for item in groups if item.get('group') == CONFIG_GROUP),
        groups[0],
    )
    return HostLine(
        reply.address,
        host.get('name', ''),
        group.get('role', ''),
        group.get('leader', ''),
        group.get('term'),
        body['revision'],
        body['age_ms'],
        _bears(group),
    )


def _bears(group):
    if group.get('losses_borne') is None:
        return ''
    return f'{group["losses_borne"]} of {group["losses_wanted"]}'


def _latest_load(bodies, name):
    known = [body['loads'][name] for body in bodies if name in body['loads']]
    return min(known, key=lambda load: load['age_ms'], default=None)


def _node_line(backend, load, out):
    line = NodeLine(
        backend['name'],
        backend['service'],
        backend['data_centre'],
        _node_state(backend, load, out),
    )
    for field in NodeLine.__struct_fields__[4:]:
        setattr(line, field, load[field] if load else None)
    return line


def _node_state(backend, load, out):
    if backend['data_centre'] in out:
        return 'out'
    if backend['held_out']:
        return 'held out'
    if backend['state'] != 'in' or (load and load['draining']):
        return 'draining'
    if backend.get('departure'):
        return 'leaving'
    if load and load['cold']:
        return 'cold'
    return 'in'


def _status_text(fleet):
    hosts = [msgspec.structs.astuple(line) for line in fleet.control_hosts]
    nodes = [msgspec.structs.astuple(line) for line in fleet.nodes]
    out = ', '.join(fleet.data_centres_out) or 'none'
    empty = [
        f'service {name} has no usable backend server: {why}'
        for name, why in fleet.empty_services.items()
    ]
    return '\n\n'.join(
        (
            render_table(_HOST_HEADINGS, hosts),
            render_table(_NODE_HEADINGS, nodes),
            '\n'.join([f'data centres out: {out}', *empty]),
        )
    )


@click.command('history', cls=ToolCommand)
@click.option('--limit', type=click.IntRange(1, 1000), default=20)
@click.pass_obj
def history(tool, limit):
    """Show the latest changes by operators, newest first."""
    answer = tool.client.call('GET', api_path('history', limit=limit))
    items = answer['items']
    rows = [
        {**item, 'time': _format_utc(item['issued_at_ms'])} for item in items
    ]
    columns = [
        (name.upper(), name)
        for name in ('revision', 'time', 'operator', 'op', 'kind', 'name')
    ]
    tool.show_rows(rows, columns, items)


def _format_utc(wall_ms):
    seconds = time.gmtime(wall_ms / 1000)
    return time.strftime('%Y-%m-%dT%H:%M:%SZ', seconds)


@click.command('watchers', cls=ToolCommand)
@click.option('--revision', type=click.IntRange(0), help='Who lags behind it.')
@click.pass_obj
def watchers(tool, revision):
    """Show which revision is in force on each watching process."""
    path = api_path('watchers', revision=revision)
    replies = tool.client.call_all(path)
    successful = successful_replies(replies)
    newest = max(reply.body['revision'] for reply in successful)
    wanted = newest if revision is None else revision
    items = [
        {**item, 'lags': item['revision'] < wanted, 'host': reply.address}
        for reply in successful
        for item in reply.body['items']
    ]
    columns = [
        (name.upper(), name)
        for name in ('name', 'revision', 'lags', 'silent_ms', 'host')
    ]
    tool.show_rows(items, columns)


@click.command('wait', cls=ToolCommand)
@click.argument('revision', type=click.IntRange(0))
@click.option('--wait-timeout', type=click.FloatRange(0), default=30.0)
@click.pass_obj
def wait(tool, revision, wait_timeout):
    """Return once a revision is in force on every node."""
    state = wait_in_force(tool.client, revision, int(wait_timeout * 1000))
    tool.show(state, f'revision {revision} is in force on {state.nodes} nodes')


@click.command('version', cls=ToolCommand)
@click.pass_obj
def version(tool):
    """Show the version of this tool."""
    tool.show({'version': __version__}, f'damasklanding {__version__}')


FLEET_COMMANDS = (status, history, watchers, wait, version)
