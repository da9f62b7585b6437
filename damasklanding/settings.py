"""
damasklanding.settings
~~~~~~~~~~~~~~~~~~~~~~

Validated settings of the daemon.  Each comes from a flag or an environment
variable; an error names the flag, the value and the remedy.
"""

from collections import Counter
import os

import msgspec

from damasklanding.errors import BadSetting
from damasklanding.errors import DamasklandingError
from damasklanding.options import OPTIONS
from damasklanding.options import SECRET_REMEDY
from damasklanding.options import Option
from damasklanding.options import control_host_list
from damasklanding.options import is_loopback
from damasklanding.options import option_of
from damasklanding.options import read_secret
from damasklanding.options import split_address

__all__ = [
    'OPTIONS',
    'Option',
    'Settings',
    'control_host_list',
    'daemon_command',
    'load_settings',
    'read_secret',
    'read_settings_file',
    'seed_control_hosts',
]

CONTROL_HOST_COUNTS = (1, 3, 5, 7, 9)
CONFIG_FLAG = '--config (or DAMASKLANDING_CONFIG)'


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one daemon process; see :data:`OPTIONS` for meanings."""

    name: str
    roles: tuple[str, ...] = ('node',)
    data_centre: str
    peer_address: str
    secret: bytes
    advertise_address: str = ''
    caller_address: str = ''
    egress_address: str = ''
    backend_address: str = ''
    operations_address: str = ''
    control_hosts: tuple[tuple[str, str], ...] = ()
    data_folder: str = ''
    admin_address: str = ''
    operator_tokens_file: str = ''
    bootstrap: bool = False
    fresh_limit_ms: int = 5_000
    drain_timeout_ms: int = 30_000
    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_073_741_824
    header_timeout_ms: int = 5_000
    idle_timeout_ms: int = 60_000
    max_connections: int = 2_500
    max_held_bytes: int = 67_108_864
    max_document_elements: int = 200_000
    interface: str = 'own'
    seed_hosts: tuple[str, ...] = ()
    announce_address: str = ''
    readiness_address: str = ''
    operator_address: str = ''
    backend_service: str = ''
    retry_ratio: float = 0.1
    retry_reserve: int = 10
    retry_fleet_ratio: float = 0.0
    retry_fleet_slack: int = 0
    retry_window_ms: int = 10_000
    stop_grace_ms: int = 30_000
    leave_confirm_ms: int = 0
    leave_drain_ms: int = 0
    report_interval_ms: int = 1_500
    log_level: str = 'info'
    log_json: bool = False
    settings_file: str = ''

    def __repr__(self):
        return f'Settings(name={self.name!r}, roles={self.roles!r})'


_REQUIRED = {
    'own': ('name', 'data_centre', 'peer_address', 'control_hosts'),
    'platform': ('name', 'data_centre', 'peer_address', 'seed_hosts'),
}
_REQUIRED_BY_ROLE = {
    ('own', 'node'): ('caller_address', 'egress_address'),
    ('own', 'control'): (
        'data_folder',
        'admin_address',
        'operator_tokens_file',
    ),
    ('platform', 'node'): (
        'caller_address',
        'announce_address',
        'readiness_address',
        'backend_service',
    ),
    ('platform', 'control'): ('data_folder', 'operator_address'),
}
_ADDRESSES = (
    'peer_address',
    'caller_address',
    'egress_address',
    'backend_address',
    'operations_address',
    'admin_address',
    'announce_address',
    'readiness_address',
    'operator_address',
)
_WILDCARDS = ('0.0.0.0', '::')


def load_settings(texts, settings_file=''):
    """
    Check texts by field name and return the settings.

    :param texts: dict of field name to text; absent or None for defaults.
    :param settings_file: path of the file that some of them came from.
    :return: :class:`Settings`.
    :raises BadSetting: names the flag, the value and the remedy.
    """
    values = {}
    for option in OPTIONS:
        text = texts.get(option.field)
        if text is None or text == '':
            continue
        try:
            values[option.field] = option.parse(text)
        except ValueError as error:
            raise _bad(option.field, text, error) from error
    secret = values.pop('secret_file', None)
    if secret is not None:
        values['secret'] = secret
    _check_required(values)
    if 'seed_hosts' in values:
        values['control_hosts'] = seed_control_hosts(
            values['seed_hosts'], values['peer_address']
        )
    settings = Settings(**values, settings_file=settings_file)
    for check in _CHECKS:
        check(settings)
    return settings


def seed_control_hosts(seed_hosts, peer_address):
    """
    Return seeds as pairs of name and peer address.

    A control host that is known by a seed only is named by its IP number,
    and its peer listener has the port of the own one.

    :param seed_hosts: addresses ``ip:port`` of any listener there.
    """
    _, port = split_address(peer_address)
    hosts = sorted({split_address(address)[0] for address in seed_hosts})
    return tuple((host, f'{host}:{port}') for host in hosts)


def read_settings_file(path):
    """
    Return the texts by field name of a settings file.

    Each line is ``VARIABLE=text`` with the name of an environment variable;
    empty lines and those that start with ``#`` are passed over.

    :raises BadSetting: a line is malformed or names no setting.
    """
    fields = {option.variable: option.field for option in OPTIONS}
    texts = {}
    try:
        with open(path, encoding='utf-8') as file:
            lines = file.read().splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise BadSetting(
            f'{CONFIG_FLAG} is {path!r}, which can not be read ({error})',
            'name a readable file of VARIABLE=text lines',
        ) from error
    for number, line in enumerate(lines, 1):
        if not line.strip() or line.startswith('#'):
            continue
        variable, _, text = line.partition('=')
        field = fields.get(variable.strip())
        if field is None:
            raise BadSetting(
                f'{path} line {number} sets {variable!r}, which is no setting',
                'use the names of the environment variables',
            )
        texts[field] = text.strip()
    return texts


def _bad(field, value, problem, remedy=None):
    option = option_of(field)
    shown = '***' if field == 'secret' else repr(value)
    return BadSetting(
        f'{option.flag} (or {option.variable}) is {shown}, {problem}',
        remedy or option.remedy,
    )


def _check_required(values):
    if 'secret' not in values:
        raise BadSetting(
            'neither --secret-file nor --secret is set', SECRET_REMEDY
        )
    interface = values.get('interface', 'own')
    needed = list(_REQUIRED[interface])
    for role in values.get('roles', ('node',)):
        needed.extend(_REQUIRED_BY_ROLE[interface, role])
    for field in needed:
        if field not in values:
            option = option_of(field)
            raise BadSetting(
                f'{option.flag} (or {option.variable}) is not set',
                option.remedy,
            )


def _check_address_clash(settings):
    seen = {}
    for field in _ADDRESSES:
        text = getattr(settings, field)
        if not text:
            continue
        host, port = split_address(text)
        for other_host, other_port, other in seen.values():
            wild = host in _WILDCARDS or other_host in _WILDCARDS
            if port and port == other_port and (wild or host == other_host):
                raise _bad(
                    field,
                    text,
                    f'the same as {option_of(other).flag}',
                    'give each listener an address of its own',
                )
        seen[field] = (host, port, field)


def _check_egress(settings):
    if settings.egress_address and not is_loopback(settings.egress_address):
        raise _bad(
            'egress_address',
            settings.egress_address,
            'which other hosts can reach',
            'give a loopback address; only the backend server beside this '
            'node may use the listener',
        )


def _check_control_hosts(settings):
    if settings.seed_hosts:
        return
    hosts = settings.control_hosts
    shown = ','.join(f'{name}={address}' for name, address in hosts)
    if len(hosts) not in CONTROL_HOST_COUNTS:
        raise _bad(
            'control_hosts',
            shown,
            f'{len(hosts)} hosts',
            'name 1, 3, 5, 7 or 9 control hosts',
        )
    repeated = Counter(address for _, address in hosts).most_common(1)[0]
    if repeated[1] > 1:
        raise _bad(
            'control_hosts',
            shown,
            f'{repeated[0]} stands twice',
            'give each control host an address of its own',
        )
    if 'control' not in settings.roles:
        return
    if dict(hosts).get(settings.name) != settings.peer_address:
        raise _bad(
            'control_hosts',
            shown,
            f'without {settings.name}={settings.peer_address}',
            'list this control host under its --name and --peer-address',
        )


def _check_data_folder(settings):
    if 'control' not in settings.roles:
        return
    folder = os.path.abspath(settings.data_folder)
    while not os.path.exists(folder):
        folder = os.path.dirname(folder)
    if not os.path.isdir(folder) or not os.access(folder, os.W_OK | os.X_OK):
        raise _bad(
            'data_folder',
            settings.data_folder,
            f'and {folder} is not a writable folder',
            'name a folder that this process may create or write',
        )


def _check_tokens_file(settings):
    if 'control' not in settings.roles or not settings.operator_tokens_file:
        return
    path = settings.operator_tokens_file
    if not os.path.isfile(path) or not os.access(path, os.R_OK):
        raise _bad('operator_tokens_file', path, 'not a readable file')


_CHECKS = (
    _check_address_clash,
    _check_egress,
    _check_control_hosts,
    _check_data_folder,
    _check_tokens_file,
)

_EPILOGUE = """\
A flag goes before its environment variable.

\b
A control host that founds a fleet of one:
  damasklandingd --roles control --name c1 --data-centre kushiro \\
    --peer-address 127.0.0.1:7500 --control-hosts c1=127.0.0.1:7500 \\
    --secret-file secret --data-folder data/c1 --bootstrap \\
    --admin-address 127.0.0.1:7600 --operator-tokens-file tokens

\b
A node beside a backend server:
  damasklandingd --name n1 --data-centre kushiro \\
    --peer-address 127.0.0.1:7401 --control-hosts c1=127.0.0.1:7500 \\
    --secret-file secret --caller-address 127.0.0.1:8001 \\
    --egress-address 127.0.0.1:8101 --backend-address 127.0.0.1:9001

SIGTERM is the planned stop: running requests end first.
"""


def daemon_command(run):
    """
    Return the click command of the daemon.

    :param run: called with the validated :class:`Settings`.
    """
    import click

    from damasklanding import __version__

    def main(config, **texts):
        try:
            if config:
                given = {k: text for k, text in texts.items() if text}
                texts = {**read_settings_file(config), **given}
            run(load_settings(texts, config or ''))
        except DamasklandingError as error:
            click.echo(f'damasklandingd: {error}', err=True)
            raise SystemExit(error.exit_status) from error

    command = click.command(
        'damasklandingd',
        help='Run a node, a control host, or both in one process.',
        epilog=_EPILOGUE,
        context_settings={'help_option_names': ['-h', '--help']},
    )(main)
    command.params.append(
        click.Option(
            ['--config'],
            envvar='DAMASKLANDING_CONFIG',
            show_envvar=True,
            metavar='FILE',
            help='Settings file; flags and other variables go before it.',
        )
    )
    for option in OPTIONS:
        command.params.append(_click_option(click, option))
    return click.version_option(__version__, prog_name='damasklandingd')(
        command
    )


def _click_option(click, option):
    switch = {}
    if option.switch:
        switch = {'is_flag': False, 'flag_value': 'true'}
    return click.Option(
        [option.flag, option.field],
        envvar=option.variable,
        show_envvar=True,
        metavar=option.metavar,
        help=option.help,
        **switch,
    )
