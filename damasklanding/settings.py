"""
damasklanding.settings
~~~~~~~~~~~~~~~~~~~~~~

Validated settings of the daemon.  Each comes from a flag or an environment
variable; an error names the flag, the value and the remedy.
"""

from dataclasses import dataclass
import ipaddress
import re

import msgspec

from damasklanding.errors import BadSetting

__all__ = [
    'OPTIONS',
    'Option',
    'Settings',
    'control_host_list',
    'load_settings',
    'read_secret',
]

ENVIRONMENT_PREFIX = 'DAMASKLANDING_'
MIN_SECRET_BYTES = 16
NAME = re.compile(r'^[a-z0-9][a-z0-9._-]{0,62}$')


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one daemon process; see :data:`OPTIONS` for meanings."""

    name: str
    roles: tuple[str, ...] = ('node',)
    data_centre: str
    peer_address: str
    secret: bytes
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
    log_level: str = 'info'
    log_json: bool = False


@dataclass(frozen=True)
class Option:
    """
    A flag, its environment variable and how its text is checked.

    :ivar parse: turns the text into the value or raises ValueError.
    """

    field: str
    help: str
    parse: object
    remedy: str

    @property
    def flag(self):
        """Return the flag, dashes included."""
        return '--' + self.field.replace('_', '-')

    @property
    def variable(self):
        """Return the name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.field.upper()


def _name(text):
    if not NAME.match(text):
        raise ValueError('not a name')
    return text


def _address(text):
    host, _, port = text.rpartition(':')
    ipaddress.ip_address(host.strip('[]'))
    if not 0 <= int(port) <= 65_535:
        raise ValueError('not a port')
    return text


def _roles(text):
    roles = tuple(part.strip() for part in text.split(',') if part.strip())
    if not roles or set(roles) - {'node', 'control'}:
        raise ValueError('not a list of roles')
    return roles


def control_host_list(text):
    """Parse ``name=ip:port,...`` to a tuple of pairs."""
    pairs = []
    for part in text.split(','):
        name, _, address = part.strip().partition('=')
        pairs.append((_name(name), _address(address)))
    if len({name for name, _ in pairs}) != len(pairs):
        raise ValueError('a name stands twice')
    return tuple(pairs)


def _whole(low, high):
    def parse(text):
        value = int(text)
        if not low <= value <= high:
            raise ValueError(f'not within {low} to {high}')
        return value

    return parse


def _level(text):
    if text not in ('debug', 'info', 'warning', 'error'):
        raise ValueError('not a level')
    return text


def _flag(text):
    values = {'1': True, 'true': True, '0': False, 'false': False, '': False}
    if text.lower() not in values:
        raise ValueError('not true or false')
    return values[text.lower()]


def read_secret(path):
    """Return the fleet secret from a file, without surrounding space."""
    try:
        with open(path, 'rb') as file:
            secret = file.read().strip()
    except OSError as error:
        raise ValueError(error.strerror) from error
    if len(secret) < MIN_SECRET_BYTES:
        raise ValueError(f'shorter than {MIN_SECRET_BYTES} bytes')
    return secret


def _secret(text):
    secret = text.encode()
    if len(secret) < MIN_SECRET_BYTES:
        raise ValueError(f'shorter than {MIN_SECRET_BYTES} bytes')
    return secret


_ADDRESS_REMEDY = 'give an IP number and a port, such as 127.0.0.1:7400'
_NAME_REMEDY = 'use lower-case letters, digits, dots and dashes, 63 at most'
_SECRET_REMEDY = f'give at least {MIN_SECRET_BYTES} bytes'

OPTIONS = (
    Option('name', 'Name of this process in the fleet.', _name, _NAME_REMEDY),
    Option(
        'roles',
        'Roles of this process: node, control or node,control.',
        _roles,
        'give node, control or both, split by a comma',
    ),
    Option('data_centre', 'Data centre of this host.', _name, _NAME_REMEDY),
    Option(
        'peer_address',
        'Listener for other processes of the fleet.',
        _address,
        _ADDRESS_REMEDY,
    ),
    Option(
        'secret',
        'Fleet secret; prefer --secret-file.',
        _secret,
        _SECRET_REMEDY,
    ),
    Option(
        'secret_file',
        'File with the fleet secret.',
        read_secret,
        'name a readable file with at least 16 bytes',
    ),
    Option(
        'caller_address',
        'Listener for callers (node).',
        _address,
        _ADDRESS_REMEDY,
    ),
    Option(
        'egress_address',
        'Loopback listener for the backend server: announcements and '
        'onward calls (node).',
        _address,
        _ADDRESS_REMEDY,
    ),
    Option(
        'backend_address',
        'Where the backend server beside this node listens; empty for a '
        'node without one.',
        _address,
        _ADDRESS_REMEDY,
    ),
    Option(
        'operations_address',
        'Listener for metrics, health and status.',
        _address,
        _ADDRESS_REMEDY,
    ),
    Option(
        'control_hosts',
        'All control hosts, as name=ip:port,name=ip:port.',
        control_host_list,
        'give pairs such as c1=127.0.0.1:7500, split by commas',
    ),
    Option(
        'data_folder',
        'Folder for durable state (control).',
        str,
        'name a folder on a local disk',
    ),
    Option(
        'admin_address',
        'Listener of the administration API (control).',
        _address,
        _ADDRESS_REMEDY,
    ),
    Option(
        'operator_tokens_file',
        'File with one operator and token a line, split by a space (control).',
        str,
        'name a readable file',
    ),
    Option(
        'bootstrap',
        'Allow an empty data folder to found a new fleet (control).',
        _flag,
        'give true or false',
    ),
    Option(
        'fresh_limit_ms',
        'Age of the configuration above which keyed routes are refused.',
        _whole(500, 60_000),
        'give 500 to 60000',
    ),
    Option(
        'drain_timeout_ms',
        'Longest time that a planned stop waits for running requests.',
        _whole(0, 600_000),
        'give 0 to 600000',
    ),
    Option(
        'max_header_bytes',
        'Largest header block of a request.',
        _whole(1_024, 262_144),
        'give 1024 to 262144',
    ),
    Option(
        'max_body_bytes',
        'Largest body of a request.',
        _whole(0, 1 << 40),
        'give 0 to 1099511627776',
    ),
    Option(
        'header_timeout_ms',
        'Longest time that a caller may take to send its headers.',
        _whole(100, 600_000),
        'give 100 to 600000',
    ),
    Option(
        'idle_timeout_ms',
        'Longest time that a caller connection may stay idle.',
        _whole(100, 3_600_000),
        'give 100 to 3600000',
    ),
    Option(
        'log_level',
        'Lowest level that is logged.',
        _level,
        'give debug, info, warning or error',
    ),
    Option(
        'log_json',
        'Log one JSON object a line.',
        _flag,
        'give true or false',
    ),
)

_REQUIRED = ('name', 'data_centre', 'peer_address', 'control_hosts')
_REQUIRED_BY_ROLE = {
    'node': ('caller_address', 'egress_address'),
    'control': ('data_folder', 'admin_address', 'operator_tokens_file'),
}


def load_settings(texts):
    """
    Check texts by field name and return the settings.

    :param texts: dict of field name to text; absent or None for defaults.
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
            shown = '***' if option.field == 'secret' else repr(text)
            raise BadSetting(
                f'{option.flag} (or {option.variable}) is {shown}, {error}',
                option.remedy,
            ) from error
    secret = values.pop('secret_file', None)
    if secret is not None:
        values['secret'] = secret
    _check_required(values)
    return Settings(**values)


def _check_required(values):
    if 'secret' not in values:
        raise BadSetting(
            'neither --secret-file nor --secret is set', _SECRET_REMEDY
        )
    needed = list(_REQUIRED)
    for role in values.get('roles', ('node',)):
        needed.extend(_REQUIRED_BY_ROLE[role])
    for field in needed:
        if field not in values:
            option = next(item for item in OPTIONS if item.field == field)
            raise BadSetting(f'{option.flag} is not set', option.remedy)
