"""
damasklanding.options
~~~~~~~~~~~~~~~~~~~~~

The flags and environment variables of the daemon: one declaration each,
with the check of its text and the remedy for a wrong one.
"""

from dataclasses import dataclass
import ipaddress
from math import isfinite
import re

__all__ = [
    'ENVIRONMENT_PREFIX',
    'OPTIONS',
    'Option',
    'SECRET_REMEDY',
    'control_host_list',
    'is_loopback',
    'parse_duration_ms',
    'option_of',
    'read_secret',
    'split_address',
]

ENVIRONMENT_PREFIX = 'DAMASKLANDING_'
MAX_PORT = 65_535
MIN_SECRET_BYTES = 16
INTERFACES = ('own', 'platform')
NAME = re.compile(r'^[a-z0-9][a-z0-9._-]{0,62}$')


@dataclass(frozen=True)
class Option:
    """
    A flag, its environment variable and how its text is checked.

    :ivar parse: turns the text into the value or raises ValueError.
    :ivar metavar: what the help shows in place of the value.
    :ivar switch: whether the flag may stand without a value.
    """

    field: str
    help: str
    parse: object
    remedy: str
    metavar: str = 'TEXT'
    switch: bool = False

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


def split_address(text):
    """
    Split ``ip:port`` to the IP number and the port.

    :raises ValueError: where either is malformed.
    """
    host, _, port = text.rpartition(':')
    if not port.isascii() or not port.isdigit():
        raise ValueError('without a port')
    if int(port) > MAX_PORT:
        raise ValueError('not a port')
    return str(ipaddress.ip_address(host.strip('[]'))), int(port)


def is_loopback(text):
    """Return whether only this host can reach an address."""
    return ipaddress.ip_address(split_address(text)[0]).is_loopback


def _address(text):
    split_address(text)
    return text


def _roles(text):
    roles = tuple(part.strip() for part in text.split(',') if part.strip())
    if not roles or set(roles) - {'node', 'control'}:
        raise ValueError('not a list of roles')
    if len(set(roles)) != len(roles):
        raise ValueError('a role stands twice')
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


def _seeds(text):
    """Parse ``ip:port,ip:port`` to a tuple of addresses."""
    return tuple(_address(part.strip()) for part in text.split(','))


_UNITS_MS = {'ms': 1, 's': 1_000}
_DURATION = re.compile(r'([0-9]+(?:\.[0-9]+)?)(ms|s)').fullmatch


def parse_duration_ms(text):
    """
    Return the milliseconds of a text such as ``1500ms`` or ``2.5s``.

    :raises ValueError: it is no number with one of these units, or too large.
    """
    found = _DURATION(text)
    if found is None:
        raise ValueError('not a number with the unit ms or s')
    duration_ms = float(found[1]) * _UNITS_MS[found[2]]
    if not isfinite(duration_ms):
        raise ValueError('too large a number')
    return duration_ms


def _within(convert, low, high, unit=''):
    """Return a parser of a value between two bounds."""

    def parse(text):
        value = convert(text)
        if not low <= value <= high:
            raise ValueError(f'not within {low}{unit} to {high}{unit}')
        return value

    return parse


def _whole(low, high):
    return _within(int, low, high)


def _fraction(low, high):
    return _within(float, low, high)


def _duration_ms(low, high):
    return _within(
        lambda text: round(parse_duration_ms(text)), low, high, ' ms'
    )


def _interface(text):
    if text not in INTERFACES:
        raise ValueError(f'none of {", ".join(INTERFACES)}')
    return text


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
SECRET_REMEDY = f'give at least {MIN_SECRET_BYTES} bytes'

OPTIONS = (
    Option(
        'name',
        'Name of this process in the fleet.',
        _name,
        _NAME_REMEDY,
        'NAME',
    ),
    Option(
        'roles',
        'Roles of this process: node, control or node,control.',
        _roles,
        'give node, control or both, split by a comma',
        'ROLES',
    ),
    Option(
        'data_centre', 'Data centre of this host.', _name, _NAME_REMEDY, 'NAME'
    ),
    Option(
        'peer_address',
        'Listener for other processes of the fleet.',
        _address,
        _ADDRESS_REMEDY,
        'IP:PORT',
    ),
    Option(
        'secret',
        'Fleet secret; prefer --secret-file.',
        _secret,
        SECRET_REMEDY,
    ),
    Option(
        'secret_file',
        'File with the fleet secret.',
        read_secret,
        'name a readable file with at least 16 bytes',
        'FILE',
    ),
    Option(
        'advertise_address',
        'Where other processes reach the peer listener, if elsewhere.',
        _address,
        _ADDRESS_REMEDY,
        'IP:PORT',
    ),
    Option(
        'caller_address',
        'Listener for callers (node).',
        _address,
        _ADDRESS_REMEDY,
        'IP:PORT',
    ),
    Option(
        'egress_address',
        'Loopback listener for the backend server: announcements and '
        'onward calls (node).',
        _address,
        _ADDRESS_REMEDY,
        'IP:PORT',
    ),
    Option(
        'backend_address',
        'Where the backend server beside this node listens; empty for a '
        'node without one.',
        _address,
        _ADDRESS_REMEDY,
        'IP:PORT',
    ),
    Option(
        'operations_address',
        'Listener for metrics, health and status.',
        _address,
        _ADDRESS_REMEDY,
        'IP:PORT',
    ),
    Option(
        'control_hosts',
        'All control hosts, as name=ip:port,name=ip:port.',
        control_host_list,
        'give pairs such as c1=127.0.0.1:7500, split by commas',
        'PAIRS',
    ),
    Option(
        'data_folder',
        'Folder for durable state (control).',
        str,
        'name a folder on a local disk',
        'FOLDER',
    ),
    Option(
        'admin_address',
        'Listener of the administration API (control).',
        _address,
        _ADDRESS_REMEDY,
        'IP:PORT',
    ),
    Option(
        'operator_tokens_file',
        'File with one operator and token a line, split by a space (control).',
        str,
        'name a readable file',
        'FILE',
    ),
    Option(
        'bootstrap',
        'Allow an empty data folder to found a new fleet (control).',
        _flag,
        'give true or false',
        'BOOLEAN',
        True,
    ),
    Option(
        'fresh_limit_ms',
        'Age of the configuration above which keyed routes are refused.',
        _whole(500, 60_000),
        'give 500 to 60000',
        'MS',
    ),
    Option(
        'drain_timeout_ms',
        'Longest time that a planned stop waits for running requests.',
        _whole(0, 600_000),
        'give 0 to 600000',
        'MS',
    ),
    Option(
        'max_header_bytes',
        'Largest header block of a request.',
        _whole(1_024, 262_144),
        'give 1024 to 262144',
        'BYTES',
    ),
    Option(
        'max_body_bytes',
        'Largest body of a request.',
        _whole(0, 1 << 40),
        'give 0 to 1099511627776',
        'BYTES',
    ),
    Option(
        'header_timeout_ms',
        'Longest time that a caller may take to send its headers.',
        _whole(100, 600_000),
        'give 100 to 600000',
        'MS',
    ),
    Option(
        'idle_timeout_ms',
        'Longest time that a caller connection may stay idle.',
        _whole(100, 3_600_000),
        'give 100 to 3600000',
        'MS',
    ),
    Option(
        'max_connections',
        'Most connections of a listener for callers; a fifth may have to show '
        'the fleet secret yet, and other listeners may have a twentieth.',
        _whole(8, 1_000_000),
        'give 8 to 1000000',
        'COUNT',
    ),
    Option(
        'max_held_bytes',
        'Most bytes of requests and unread answers that are held for all '
        'clients and peers together.',
        _whole(4_194_304, 1 << 40),
        'give 4194304 to 1099511627776',
        'BYTES',
    ),
    Option(
        'max_document_elements',
        'Most values in the document of an operator (control).',
        _whole(1_000, 100_000_000),
        'give 1000 to 100000000',
        'COUNT',
    ),
    Option(
        'interface',
        'What callers, backend servers and operators speak: own or platform.',
        _interface,
        'give own or platform',
        'NAME',
    ),
    Option(
        'seed_hosts',
        'Some control hosts, by any of their addresses; replaces '
        '--control-hosts where no list of all is known.',
        _seeds,
        'give addresses such as 10.1.0.2:8540, split by commas',
        'ADDRESSES',
    ),
    Option(
        'announce_address',
        'Listener for the announcements of the backend server beside this '
        'node (platform interface).',
        _address,
        _ADDRESS_REMEDY,
        'IP:PORT',
    ),
    Option(
        'readiness_address',
        'Listener for the questions whether this node is ready (platform '
        'interface).',
        _address,
        _ADDRESS_REMEDY,
        'IP:PORT',
    ),
    Option(
        'operator_address',
        'Listener for whole configurations, and for data centres to take '
        'out (platform interface, control).',
        _address,
        _ADDRESS_REMEDY,
        'IP:PORT',
    ),
    Option(
        'backend_service',
        'Service of the backend server beside this node; callers and the '
        'backend server call in its name (platform interface).',
        _name,
        _NAME_REMEDY,
        'NAME',
    ),
    Option(
        'retry_ratio',
        'Second sends a request that all nodes together may make.',
        _fraction(0, 1),
        'give a share from 0 to 1',
        'SHARE',
    ),
    Option(
        'retry_reserve',
        'Second sends that one node may make before any request.',
        _whole(0, 1_000),
        'give 0 to 1000',
        'COUNT',
    ),
    Option(
        'retry_fleet_ratio',
        'Repeats to one service that all nodes together may send, a request '
        'that callers made to it.',
        _fraction(0, 1),
        'give a share from 0 to 1',
        'SHARE',
    ),
    Option(
        'retry_fleet_slack',
        'Repeats to one service beyond that ratio in a window; 0 sets no '
        'bound for all nodes together.',
        _whole(0, 1_000_000),
        'give 0 to 1000000',
        'COUNT',
    ),
    Option(
        'retry_window_ms',
        'Window in which these repeats are counted, with its unit.',
        _duration_ms(100, 600_000),
        'give a time such as 10s',
        'DURATION',
    ),
    Option(
        'stop_grace_ms',
        'Time from SIGTERM to SIGKILL, with its unit (platform interface).',
        _duration_ms(500, 600_000),
        'give a time such as 6s',
        'DURATION',
    ),
    Option(
        'leave_confirm_ms',
        'Time within which the departure of the backend server must be '
        'confirmed, with its unit; the last usable one of its service is kept '
        'in use meanwhile. 0ms confirms each at once (platform interface).',
        _duration_ms(0, 600_000),
        'give a time such as 4s',
        'DURATION',
    ),
    Option(
        'leave_drain_ms',
        'Time for which the backend server serves after the confirmation of '
        'its departure, with its unit (platform interface).',
        _duration_ms(0, 600_000),
        'give a time such as 2s',
        'DURATION',
    ),
    Option(
        'report_interval_ms',
        'Time between two reports of the backend server, with its unit '
        '(platform interface).',
        _duration_ms(1, 600_000),
        'give a time such as 1500ms',
        'DURATION',
    ),
    Option(
        'log_level',
        'Lowest level that is logged.',
        _level,
        'give debug, info, warning or error',
        'LEVEL',
    ),
    Option(
        'log_json',
        'Log one JSON object a line.',
        _flag,
        'give true or false',
        'BOOLEAN',
        True,
    ),
)

_OPTIONS_BY_FIELD = {option.field: option for option in OPTIONS}


def option_of(field):
    """Return the option of a settings field."""
    return _OPTIONS_BY_FIELD[field]
