"""
damasklanding.seeds
~~~~~~~~~~~~~~~~~~~

The control hosts that a process starts from, read anew from its settings
file when that has changed.
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

    Without seeds these are the listed control hosts, for good.

    :param settings: :class:`~damasklanding.settings.Settings`.
    """
    if not settings.seed_hosts or not settings.settings_file:
        return lambda: settings.control_hosts
    path = settings.settings_file
    known = [_stamp(path), settings.control_hosts]

    def current():
        stamp = _stamp(path)
        if stamp != known[0]:
            known[0] = stamp
            known[1] = _read(path, known[1])
        return known[1]

    return current


def _stamp(path):
    """Return what changes with each writing of a file, None without it."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_ino, status.st_size, status.st_mtime_ns


def _read(path, known):
    try:
        hosts = load_settings(read_settings_file(path)).control_hosts
    except DamasklandingError as error:
        logger.warning('the settings file was not read again: {}', error)
        return known
    if hosts != known:
        logger.info('the seeds are now {}', ','.join(a for _, a in hosts))
    return hosts
