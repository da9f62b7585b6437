"""
damasklanding.control.storage
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Small files that survive a crash: they carry a checksum, are synced and are
replaced as a whole.
"""

from contextlib import contextmanager
from contextlib import suppress
import fcntl
import os
import struct
import zlib

import gevent

from damasklanding.errors import BadSetting
from damasklanding.errors import CorruptStore
from damasklanding.errors import DamasklandingError

__all__ = [
    'create_file',
    'in_thread',
    'locked_folder',
    'read_file',
    'shielded',
    'sync_folder',
    'write_all',
    'write_file',
]

LOCK_NAME = 'lock'

_CHECKSUM = struct.Struct('<I')


def in_thread(function, *arguments):
    """
    Run a blocking function in the thread pool and return its result.

    An expected error is passed on as a value, since the thread pool prints
    the traceback of each error raised in it.
    """
    return _result_of(
        gevent.get_hub().threadpool.apply(
            _capture_outcome, (function, arguments)
        )
    )


def shielded(function, *arguments):
    """
    Run a function in a greenlet of its own and return its result.

    It runs to its end even if the calling greenlet is killed meanwhile.
    """
    return _result_of(
        gevent.spawn(_capture_outcome, function, arguments).get()
    )


def _result_of(outcome):
    result, error = outcome
    if error is not None:
        raise error
    return result


def _capture_outcome(function, arguments):
    try:
        return function(*arguments), None
    except (DamasklandingError, OSError) as error:
        return None, error


def sync_folder(path):
    """Sync a folder, so that files created or renamed in it persist."""
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_all(file, data):
    """Write all bytes to an unbuffered file."""
    view = memoryview(data)
    while view:
        view = view[file.write(view) :]


def create_file(path, parts, sync_file=os.fsync):
    """
    Create a file from consecutive parts and return it, open for writing.

    An existing file at the path is removed first, since pages of it can have
    been dropped by a failed sync.  Blocks the thread until the data is
    durable; the name is durable once the folder has been synced.

    :raises OSError: the disk failed; no file is left.
    """
    with suppress(FileNotFoundError):
        os.unlink(path)
    file = open(path, 'wb', buffering=0)  # noqa: SIM115
    try:
        for part in parts:
            write_all(file, part)
        sync_file(file.fileno())
    except OSError:
        with suppress(OSError):
            file.close()
        with suppress(OSError):
            os.unlink(path)
        raise
    return file


def write_file(path, data, sync_file=os.fsync):
    """
    Replace a file by data and its checksum.

    Blocks the thread until the file is durable.
    """
    temporary = f'{path}.new'
    checksum = _CHECKSUM.pack(zlib.crc32(data))
    create_file(temporary, (checksum, data), sync_file).close()
    os.rename(temporary, path)
    sync_folder(os.path.dirname(path))


def read_file(path):
    """
    Return the data that :func:`write_file` stored, None without a file.

    :raises CorruptStore: the checksum does not match.
    """
    try:
        with open(path, 'rb') as file:
            data = file.read()
    except FileNotFoundError:
        return None
    if len(data) < _CHECKSUM.size:
        raise CorruptStore(f'{path} is truncated')
    (checksum,) = _CHECKSUM.unpack_from(data)
    body = data[_CHECKSUM.size :]
    if zlib.crc32(body) != checksum:
        raise CorruptStore(f'{path} does not match its checksum')
    return body


@contextmanager
def locked_folder(path):
    """
    Lock a data folder for this process, creating the folder if needed.

    :raises BadSetting: the folder can't be used, or another process has
        locked it.
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
                f'--data-folder is {path!r}, locked by another process',
                'stop that process or name another folder',
            ) from error
        yield path
