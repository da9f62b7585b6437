"""
damasklanding.commands.keys
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Commands that grant, withdraw and list organisation keys.  A key is
generated in this process and shown once; only its digest is sent.
"""

import hashlib
import os
import secrets

import click
import msgspec

from damasklanding.adminclient import api_path
from damasklanding.commands.base import ToolGroup
from damasklanding.commands.base import change_options
from damasklanding.errors import BadInput
from damasklanding.errors import Unavailable
from damasklanding.logs import KEY_PREFIX

__all__ = ['key_group']

KEY_BYTES = 32

key_group = ToolGroup(
    'key',
    help="""Grant, withdraw and list organisation keys.

\b
Examples:
  damasklanding key grant lender-1 --wait
  damasklanding key list lender-1
  damasklanding key withdraw lender-1 k-0a1b2c3d --wait
""",
)


class GrantedKey(msgspec.Struct):
    """A newly granted key, which is shown only once."""

    organisation: str
    key_id: str
    key: str
    revision: int


@key_group.command('grant')
@click.argument('organisation')
@click.option('--key-id', metavar='ID', help='Handle; made up if absent.')
@click.option(
    '--output', metavar='FILE', help='Write the key to a new file instead.'
)
@change_options
def grant(change, organisation, key_id, output):
    """Grant a new key and print it, once."""
    key_id = key_id or f'k-{secrets.token_hex(4)}'
    key = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
    if output:
        _write_key_file(output, key)
    body = {
        'key_id': key_id,
        'digest': hashlib.sha256(key.encode()).hexdigest(),
    }
    path = api_path('organisations', organisation, 'keys')
    try:
        written = change.send('POST', path, body)
    except Unavailable as error:
        raise Unavailable(
            f'{error.problem}; key {key_id} may have been granted',
            f'withdraw {key_id} if it is listed, and grant another',
        ) from error
    shown = '' if output else key
    granted = GrantedKey(organisation, key_id, shown, written['revision'])
    change.finish(
        msgspec.to_builtins(granted),
        f'key {key_id} of {organisation} granted, revision '
        f'{written["revision"]}\n{output or key}',
    )


def _write_key_file(path, key):
    try:
        number = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
        with open(number, 'w') as file:
            file.write(key + '\n')
    except OSError as error:
        raise BadInput(
            f'--output is {path!r}, {error.strerror}',
            'name a file that does not exist in a folder you may write',
        ) from error


@key_group.command('withdraw')
@click.argument('organisation')
@click.argument('key_id')
@change_options
def withdraw(change, organisation, key_id):
    """Withdraw a key, also from connections that are open."""
    path = api_path('organisations', organisation, 'keys', key_id)
    written = change.send('DELETE', path)
    change.finish(
        written,
        f'key {key_id} of {organisation} withdrawn, revision '
        f'{written["revision"]}',
    )


@key_group.command('list')
@click.argument('organisation')
@click.pass_obj
def list_keys(tool, organisation):
    """List the handles of an organisation's keys."""
    path = api_path('organisations', organisation, 'keys')
    items = tool.client.call('GET', path)['items']
    tool.show(items, '\n'.join(items) or 'no keys')
