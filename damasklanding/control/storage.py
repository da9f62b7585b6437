"""
damasklanding.control.storage
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Files that survive a crash: checksummed, synced and replaced as a whole.
"""

from contextlib import contextmanager
import fcntl
import os
import struct
import zlib

import gevent

from damasklanding.errors import BadSetting
from damasklanding.errors import CorruptStore
from damasklanding.errors import DamasklandingError

__all__ = [
    'in_thread',
    'locked_folder',
    'read_file',
    'shielded',
    'sync_folder',
    'write_file',
]

LOCK_NAME = 'lock'

_CHECKSUM = struct.Struct('<I')


def in_thread(function, *arguments):
    """Run a blocking function in the thread pool and return its result."""
    return gevent.get_hub().threadpool.apply(function, arguments)


def shielded(function, *arguments):
    """Run a function to its end even if the caller is killed meanwhile."""
    result, error = gevent.spawn(_outcome, function, arguments).get()
    if error is not None:
        raise error
    return result


def _outcome(function, arguments):
    try:
        return function(*arguments), None
    except (DamasklandingError, OSError) as error:
        return None, error


def sync_folder(path):
    """Make the names in a folder durable."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_file(path, data):
    """Replace a file by bytes with their checksum; blocks until durable."""
    temporary = f'{path}.new'
    with open(temporary, 'wb') as file:
        file.write(_CHECKSUM.pack(zlib.crc32(data)))
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.rename(temporary, path)
    sync_folder(os.path.dirname(path))


def read_file(path):
    """
    Return the bytes that :func:`write_file` stored, None without a file.

    :raises CorruptStore: where the checksum does not match.
    """
    try:
        with open(path, 'rb') as file:
            data = file.read()
    except FileNotFoundError:
        return None
    if len(data) < _CHECKSUM.size:
        raise CorruptStore(f'{path} is cut short')
    (checksum,) = _CHECKSUM.unpack_from(data)
    body = data[_CHECKSUM.size :]
    if zlib.crc32(body) != checksum:
        raise CorruptStore(f'{path} fails its checksum')
    return body


@contextmanager
def locked_folder(path):
    """
    Hold a data folder for this process alone, creating it where needed.

    :raises BadSetting: where it can't be used or another process holds it.
    """
    try:
        os.makedirs(path, exist_ok=True)
        file = open(os.path.join(path, LOCK_NAME), 'w')  # noqa: SIM115
    except OSError as error:
        raise BadSetting(
            f'--data-folder is {path!r}, {error.strerror}',
            'name a folder that this user may write',
        ) from error
    with file:
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            raise BadSetting(
                f'--data-folder is {path!r}, held by another process',
                'stop that process or name another folder',
            ) from error
        yield path
