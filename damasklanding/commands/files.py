"""
damasklanding.commands.files
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The commands ``apply`` and ``snapshot``, which read and write whole
configurations as files.
"""

import click
import msgspec

from damasklanding.adminclient import api_path
from damasklanding.adminclient import successful_replies
from damasklanding.commands.base import ToolCommand
from damasklanding.commands.base import ToolGroup
from damasklanding.commands.base import change_options
from damasklanding.documents import decode_configuration
from damasklanding.documents import plain_values
from damasklanding.errors import BadInput
from damasklanding.errors import CorruptStore
from damasklanding.errors import NotFound
from damasklanding.snapshot import decode_snapshot

__all__ = ['apply_file', 'snapshot_group']

COLLECTIONS = {
    'profile': 'profiles',
    'service': 'services',
    'organisation': 'organisations',
    'data_centre': 'data-centres',
    'control_host': 'control-hosts',
}
#: Kinds that ``restore`` writes; a kind comes after those it refers to.
RESTORED_KINDS = ('profile', 'service', 'organisation', 'data_centre')

_RESULT_COLUMNS = (
    ('KIND', 'kind'),
    ('NAME', 'name'),
    ('RESULT', 'result'),
    ('REVISION', 'revision'),
)


class AppliedResource(msgspec.Struct):
    """Result for one resource of a file."""

    kind: str
    name: str
    result: str
    revision: int


def _read_file(path):
    try:
        with click.open_file(path, 'rb') as file:
            return file.read()
    except OSError as error:
        raise BadInput(
            f'{path!r} can not be read, {error.strerror}',
            'name a readable file, or - for standard input',
        ) from error


@click.command('apply', cls=ToolCommand)
@click.argument('file')
@click.option('--dry-run', is_flag=True, help='Only show what would change.')
@change_options
def apply_file(change, file, dry_run):
    """
    Put all resources of a configuration FILE in JSON.

    The file holds lists of profiles, services, organisations, data_centres
    and control_hosts. What is equal already stays as it is, what the file
    does not name stays too, and keys are granted on their own. Running it
    again after a failure goes on where it stopped.
    """
    configuration = decode_configuration(_read_file(file))
    items = [
        (kind, plain_values(document))
        for kind, document in configuration.resources()
    ]
    _print_results(change, _put_each(change, items, dry_run))


def _put_each(change, items, dry_run=False):
    return [_put(change, kind, item, dry_run) for kind, item in items]


def _print_results(change, done):
    rows = [msgspec.structs.asdict(line) for line in done]
    change.tool.show_rows(rows, _RESULT_COLUMNS)
    revision = max((line.revision for line in done), default=0)
    if change.wait and revision:
        state = change.await_revision(revision)
        change.tool.note(
            f'revision {revision} is in force on {state.nodes} nodes'
        )


def _put(change, kind, item, dry_run):
    name = item['name']
    path = api_path(COLLECTIONS[kind], name)
    try:
        present = change.tool.client.call('GET', path)['item']
    except NotFound:
        present = None
    body = _body_to_put(item, present)
    if present is not None and all(
        present[field] == value for field, value in body.items()
    ):
        return AppliedResource(kind, name, 'unchanged', present['revision'])
    result = 'created' if present is None else 'changed'
    if dry_run:
        return AppliedResource(kind, name, f'would be {result}', 0)
    expected = present['revision'] if present else 0
    written = change.tool.client.call('PUT', path, body, expected)
    return AppliedResource(kind, name, result, written['revision'])


def _body_to_put(item, present):
    """Drop fields that files do not set; keep ``out`` as operators set it."""
    body = {
        field: value
        for field, value in item.items()
        if field not in ('name', 'revision', 'keys')
    }
    if present is not None and 'out' in body:
        body['out'] = present['out']
    return body


snapshot_group = ToolGroup(
    'snapshot',
    help="""Fetch, verify and restore snapshots of the configuration.

\b
Examples:
  damasklanding snapshot fetch fleet.snapshot
  damasklanding snapshot verify fleet.snapshot
  damasklanding snapshot verify
  damasklanding snapshot restore fleet.snapshot --wait
""",
)


class SnapshotSummary(msgspec.Struct):
    """Source, revision, checksum and resource counts of a snapshot."""

    source: str
    revision: int
    checksum: str
    resources: dict[str, int]


def _summarise(source, data):
    snapshot = decode_snapshot(data)
    counts = {kind: len(items) for kind, items in snapshot.resources.items()}
    return SnapshotSummary(
        source, snapshot.revision, snapshot.checksum, counts
    )


def _summary_text(line):
    counts = ', '.join(f'{kind} {n}' for kind, n in line.resources.items())
    return (
        f'{line.source}: revision {line.revision}, checksum '
        f'{line.checksum[:16]}, {counts or "empty"}'
    )


@snapshot_group.command('fetch')
@click.argument('file')
@click.pass_obj
def fetch(tool, file):
    """Write a checked snapshot to FILE."""
    data = tool.client.download(api_path('snapshot', fresh=1))
    line = _summarise(file, data)
    try:
        with click.open_file(file, 'wb', atomic=file != '-') as target:
            target.write(data)
    except OSError as error:
        raise BadInput(
            f'{file!r} can not be written, {error.strerror}',
            'name a file in a folder that you may write',
        ) from error
    if file == '-':
        return
    tool.show(line, _summary_text(line))


@snapshot_group.command('verify')
@click.argument('file', required=False)
@click.pass_obj
def verify(tool, file):
    """
    Check the snapshot in FILE, or compare those of all control hosts.

    Control hosts at the same revision must have the same checksum.
    """
    if file:
        line = _summarise(file, _read_file(file))
        tool.show(line, _summary_text(line))
        return
    replies = successful_replies(
        tool.client.download_all(api_path('snapshot'))
    )
    lines = [_summarise(reply.address, reply.body) for reply in replies]
    tool.show(lines, '\n'.join(map(_summary_text, lines)))
    _check_equal_checksums(lines)


def _check_equal_checksums(lines):
    checksums = {}
    for line in lines:
        checksums.setdefault(line.revision, set()).add(line.checksum)
    for revision, found in checksums.items():
        if len(found) > 1:
            raise CorruptStore(
                f'control hosts differ at revision {revision}',
                'verify again; if they still differ, replace those in the '
                'minority one at a time',
            )


@snapshot_group.command('restore')
@click.argument('file')
@change_options
def restore(change, file):
    """
    Put the resources of a snapshot into this fleet, keys included.

    Meant for a newly founded fleet after every control host was lost.
    """
    resources = decode_snapshot(_read_file(file)).resources
    items = [
        (kind, plain_values(resource))
        for kind in RESTORED_KINDS
        for resource in resources.get(kind, ())
    ]
    done = _put_each(change, items)
    for organisation in resources.get('organisation', ()):
        done += _restore_keys(change, organisation)
    _print_results(change, done)


def _restore_keys(change, organisation):
    path = api_path('organisations', organisation.name, 'keys')
    client = change.tool.client
    present = client.call('GET', path)['items']
    return [
        AppliedResource(
            'key',
            f'{organisation.name}/{key.key_id}',
            'granted',
            client.call('POST', path, plain_values(key))['revision'],
        )
        for key in organisation.keys
        if key.key_id not in present
    ]
