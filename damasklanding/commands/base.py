"""
damasklanding.commands.base
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Parts shared by all commands: the connection options, output as text or JSON,
exit statuses of errors, and the options of commands that change resources.
"""

from dataclasses import dataclass
import functools

import click
import msgspec

from damasklanding.adminclient import AdminClient
from damasklanding.adminclient import parse_addresses
from damasklanding.errors import BadSetting
from damasklanding.errors import DamasklandingError
from damasklanding.rollout import wait_in_force
from damasklanding.tables import render_table

__all__ = [
    'ChangeRequest',
    'ToolContext',
    'ToolCommand',
    'ToolGroup',
    'change_options',
    'shared_options',
]

DEFAULT_TIMEOUT_S = 10.0
DEFAULT_WAIT_S = 30.0

_SHARED_OPTIONS = (
    ('--admin', 'IP:PORT,...', str, 'Administration addresses.'),
    ('--token', 'TOKEN', str, 'Operator token; prefer --token-file.'),
    ('--token-file', 'FILE', str, 'File with the token, or the tokens file.'),
    ('--operator', 'NAME', str, 'Whose line of the tokens file to use.'),
    ('--timeout', 'SECONDS', float, 'Longest wait for one answer.'),
)


def shared_options(with_environment):
    """Return the options that every command accepts."""
    options = [
        click.Option(
            [flag],
            metavar=metavar,
            type=kind,
            help=text,
            envvar=_environment_variable(flag) if with_environment else None,
            show_envvar=with_environment,
        )
        for flag, metavar, kind, text in _SHARED_OPTIONS
    ]
    json_output = click.Option(
        ['--json', 'json_output'],
        is_flag=True,
        default=None,
        help='Print JSON.',
        envvar='DAMASKLANDING_JSON' if with_environment else None,
    )
    return [*options, json_output]


def _environment_variable(flag):
    return 'DAMASKLANDING_' + flag.strip('-').replace('-', '_').upper()


class ToolCommand(click.Command):
    """A command that accepts the shared options and reports errors."""

    def __init__(self, *arguments, **fields):
        super().__init__(*arguments, **fields)
        self._shared = [option.name for option in shared_options(False)]
        self.params = [*self.params, *shared_options(False)]

    def invoke(self, ctx):
        """Run the command with a :class:`ToolContext`."""
        values = dict(ctx.find_root().params)
        for name in self._shared:
            given = ctx.params.pop(name, None)
            if given is not None:
                values[name] = given
        ctx.obj = ToolContext(values)
        try:
            return super().invoke(ctx)
        except DamasklandingError as error:
            ctx.obj.show_error(error)
            ctx.exit(error.exit_status)
        finally:
            ctx.obj.close()


class ToolGroup(click.Group):
    """A group of commands; its subgroups are of the same class."""

    command_class = ToolCommand
    group_class = type


class ProblemLine(msgspec.Struct, omit_defaults=True):
    """An error as ``--json`` prints it."""

    code: str
    problem: str
    remedy: str
    winner: str = ''


class ToolContext:
    """
    State of one run of the tool: the client and the output format.

    :ivar json_output: whether to print JSON.
    """

    def __init__(self, values):
        self._values = values
        self._client = None
        self.json_output = bool(values.get('json_output'))

    @property
    def client(self):
        """Return the client, which is created on first use."""
        if self._client is None:
            timeout_s = self._values.get('timeout') or DEFAULT_TIMEOUT_S
            self._client = AdminClient(
                parse_addresses(self._values.get('admin') or ''),
                self._token(),
                int(timeout_s * 1000),
            )
        return self._client

    def close(self):
        """Close the client's connections."""
        if self._client is not None:
            self._client.close()

    def show(self, value, text):
        """Print a value as JSON, or its text."""
        if self.json_output:
            click.echo(msgspec.json.encode(value))
        else:
            click.echo(text)

    def show_rows(self, items, columns, value=None):
        """
        Print rows.

        :param items: list of dicts.
        :param columns: pairs of heading and field name.
        :param value: printed as JSON instead of the items.
        """
        rows = [[item.get(field) for _, field in columns] for item in items]
        text = render_table([heading for heading, _ in columns], rows)
        self.show(items if value is None else value, text)

    def show_error(self, error):
        """Print an error on standard error."""
        if self.json_output:
            line = ProblemLine(
                error.code,
                error.problem,
                error.remedy,
                getattr(error, 'winner', ''),
            )
            click.echo(msgspec.json.encode(line), err=True)
            return
        winner = getattr(error, 'winner', '')
        by = f' (changed by {winner})' if winner else ''
        click.echo(
            f'error: {error.problem}{by}\nremedy: {error.remedy}', err=True
        )

    def note(self, text):
        """Print a message on standard error."""
        click.echo(text, err=True)

    def _token(self):
        token = self._values.get('token')
        if token:
            return token
        path = self._values.get('token_file')
        if not path:
            raise BadSetting(
                'neither --token-file nor --token is set',
                'give the token that the operators of the fleet issued',
            )
        return _read_token(path, self._values.get('operator'))


def _read_token(path, operator):
    try:
        with open(path, encoding='utf-8') as file:
            lines = [line.partition('#')[0].split() for line in file]
    except (OSError, UnicodeError) as error:
        raise BadSetting(
            f'--token-file is {path!r}, {error}', 'name a readable text file'
        ) from error
    lines = [line for line in lines if line]
    chosen = [
        line[-1]
        for line in lines
        if not operator or len(line) == 1 or line[0] == operator
    ]
    if len(chosen) != 1:
        raise BadSetting(
            f'--token-file {path!r} holds {len(chosen)} tokens for '
            f'--operator {operator or "(any)"}',
            'name one operator whose line it holds',
        )
    return chosen[0]


@dataclass(frozen=True)
class ChangeRequest:
    """
    Sends a change with the options given on the command line.

    :ivar expected_revision: revision that the resource must still have, None
        to use the one that the tool has read.
    """

    tool: ToolContext
    expected_revision: int | None
    request_id: str | None
    wait: bool
    wait_timeout_ms: int

    def send(self, method, path, body=None, expected_revision=None):
        """Send the change and return the committed answer."""
        expected = self.expected_revision
        return self.tool.client.call(
            method,
            path,
            body,
            expected_revision if expected is None else expected,
            self.request_id,
        )

    def finish(self, written, text):
        """Print the committed change, after waiting for it with ``--wait``."""
        if not self.wait:
            self.tool.show(written, text)
            return
        state = self.await_revision(written['revision'])
        written = {**written, 'in_force': msgspec.to_builtins(state)}
        self.tool.show(
            written,
            f'{text}\nin force on {state.nodes} nodes after '
            f'{state.waited_ms} ms',
        )

    def await_revision(self, revision):
        """Wait until a revision is in force on every node."""
        state = wait_in_force(self.tool.client, revision, self.wait_timeout_ms)
        for address in state.unreachable:
            self.tool.note(f'control host at {address} did not answer')
        return state


def change_options(function):
    """Add the options of a change and pass them as one ChangeRequest."""

    @click.option(
        '--expect',
        type=click.IntRange(0),
        metavar='REVISION',
        help='Fail unless the resource is still at this revision; 0 for a '
        'new one.',
    )
    @click.option(
        '--request-id',
        metavar='ID',
        help='Id of an earlier send, to resend it safely.',
    )
    @click.option(
        '--wait',
        is_flag=True,
        help='Return once the change is in force on every node.',
    )
    @click.option(
        '--wait-timeout',
        type=click.FloatRange(0),
        default=DEFAULT_WAIT_S,
        show_default=True,
        metavar='SECONDS',
        help='Give up after this time and name those that lag.',
    )
    @click.pass_obj
    @functools.wraps(function)
    def command(tool, expect, request_id, wait, wait_timeout, **arguments):
        change = ChangeRequest(
            tool, expect, request_id, wait, int(wait_timeout * 1000)
        )
        return function(change, **arguments)

    return command
