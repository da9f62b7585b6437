"""
damasklanding.control.incarnation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

The incarnation of a data folder: a fixed value in a newly bootstrapped fleet,
otherwise random.  Votes and acknowledgements count only from the incarnation
that the group has recorded.  Otherwise a host that lost its disk could vote
for a leader that lacks committed entries.
"""

import os

import gevent

from damasklanding.control.members import BOOTSTRAP_INCARNATION
from damasklanding.control.storage import in_thread
from damasklanding.control.storage import read_file
from damasklanding.control.storage import write_file
from damasklanding.errors import DamasklandingError
from damasklanding.logs import StateLog
from damasklanding.messages import StatusRequest

__all__ = ['choose_incarnation', 'renew_incarnation', 'stored_incarnation']

FILE_NAME = 'incarnation'
STATUS_TIMEOUT_MS = 1_000
RETRY_MS = 100


def stored_incarnation(folder):
    """Return the incarnation of a data folder, empty if it has none."""
    data = read_file(os.path.join(folder, FILE_NAME))
    return data.decode() if data else ''


def choose_incarnation(folder, names, groups, send, bootstrap):
    """
    Choose an incarnation, store it and return it.

    A folder bootstraps a new fleet only once every other control host has
    answered and none of them has ever stored a vote or an entry.  If any has,
    the fleet exists already, and the folder joins it with a random
    incarnation.  Storing is tried until the disk takes it.

    :param names: names of the other control hosts.
    :param groups: names of the replication groups.
    :param send: function of host name, message and timeout in milliseconds
        that returns the reply.
    :param bootstrap: whether this host may bootstrap a new fleet.
    """
    incarnation = os.urandom(8).hex()
    if bootstrap and _all_groups_empty(names, groups, send):
        incarnation = BOOTSTRAP_INCARNATION
    disk_log = StateLog()
    while True:
        try:
            return in_thread(_store, folder, incarnation)
        except OSError as error:
            disk_log.note(folder, 'can not be written', str(error))
            gevent.sleep(RETRY_MS / 1000)


def renew_incarnation(folder):
    """
    Store a new random incarnation and return it.

    Blocks the thread until the file is durable.
    """
    return _store(folder, os.urandom(8).hex())


def _store(folder, incarnation):
    write_file(os.path.join(folder, FILE_NAME), incarnation.encode())
    return incarnation


def _all_groups_empty(names, groups, send):
    waiting = {(name, group) for name in names for group in groups}
    while waiting:
        for name, group in sorted(waiting):
            is_empty = _is_group_empty(name, group, send)
            if is_empty is False:
                return False
            if is_empty:
                waiting.discard((name, group))
        if waiting:
            gevent.sleep(RETRY_MS / 1000)
    return True


def _is_group_empty(name, group, send):
    """Return whether a group is empty on a host, None without an answer."""
    try:
        status = send(name, StatusRequest(group), STATUS_TIMEOUT_MS)
    except DamasklandingError:
        return None
    return status.term == 0 and status.last_index == 0
