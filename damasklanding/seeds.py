"""
damasklanding.seeds
~~~~~~~~~~~~~~~~~~~

The control hosts that a process contacts first.  They are read again from the
settings file whenever it changes.
"""

import os

from loguru import logger

from damasklanding.errors import DamasklandingError
from damasklanding.settings import load_settings
from damasklanding.settings import read_settings_file

__all__ = ['seed_hosts_reader']


def seed_hosts_reader(settings):
    """
    Return a function that returns pairs of name and peer address.

    If no seed hosts or no settings file are set, it always returns the control
    hosts of the settings.

    :param settings: :class:`~damasklanding.settings.Settings`.
    """
    if not settings.seed_hosts or not settings.settings_file:
        return lambda: settings.control_hosts
    path = settings.settings_file
    cached = [_file_version(path), settings.control_hosts]

    def read_hosts():
        version = _file_version(path)
        if version != cached[0]:
            cached[0] = version
            cached[1] = _reload(path, cached[1])
        return cached[1]

    return read_hosts


def _file_version(path):
    """Return a value that changes with each write, None without a file."""
    try:
        file_stat = os.stat(path)
    except OSError:
        return None
    return file_stat.st_ino, file_stat.st_size, file_stat.st_mtime_ns


def _reload(path, current_hosts):
    """Return the control hosts in a file, the current ones if it is bad."""
    try:
        hosts = load_settings(read_settings_file(path)).control_hosts
    except DamasklandingError as error:
        logger.warning('cannot reload the settings file: {}', error)
        return current_hosts
    if hosts != current_hosts:
        logger.info(
            'the seed hosts changed to {}', ','.join(a for _, a in hosts)
        )
    return hosts
