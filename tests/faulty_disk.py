"""
faulty_disk
~~~~~~~~~~~

Disk that can refuse to sync, in place of ``os.fsync``.  A refused sync drops
what the file got since its last sync, and reports that only once, as a kernel
does.
"""

import errno
import os

__all__ = ['FaultyDisk']


class FaultyDisk:
    """
    Syncs of the files of one host.

    :ivar failing: whether the disk refuses to sync.
    :ivar refuses: function called at each sync that returns whether this one
        is refused, in place of ``failing``.
    """

    def __init__(self):
        self.failing = False
        self.refuses = lambda: self.failing
        self._synced_bytes = {}

    def sync(self, number):
        """
        Sync a file, given its descriptor.

        :raises OSError: the sync is refused.
        """
        status = os.fstat(number)
        if self.refuses():
            kept = self._synced_bytes.get(status.st_ino, 0)
            os.ftruncate(number, min(kept, status.st_size))
            raise OSError(errno.ENOSPC, 'no space left on device')
        self._synced_bytes[status.st_ino] = status.st_size
