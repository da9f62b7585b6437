"""
damasklanding.control.incarnation
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Gives a data folder its incarnation.  Votes and acknowledgements count only
under the incarnation that the group has on record, so that a host which lost
its disk can't vote accepted entries away.
"""

import os

import gevent

from damasklanding.control.members import BOOTSTRAP_INCARNATION
from damasklanding.control.storage import in_thread
from damasklanding.control.storage import read_file
from damasklanding.control.storage import write_file
from damasklanding.errors import DamasklandingError
from damasklanding.messages import StatusRequest

__all__ = ['choose_incarnation', 'renew_incarnation', 'stored_incarnation']

FILE_NAME = 'incarnation'
ASK_TIMEOUT_MS = 1_000
RETRY_MS = 100


def stored_incarnation(folder):
    """Return the incarnation of a data folder, empty where undecided."""
    data = read_file(os.path.join(folder, FILE_NAME))
    return data.decode() if data else ''


def choose_incarnation(folder, names, groups, send, bootstrap):
    """
    Decide on an incarnation, store it and return it.

    A folder founds a fleet only once every control host has answered and
    none has ever stored a vote or an entry; any sign of an earlier life of
    the fleet makes it join with a random incarnation instead.

    :param names: the other control hosts.
    :param groups: names of the replication groups.
    :param send: function of host name, message and timeout.
    """
    if bootstrap and _all_untouched(names, groups, send):
        return in_thread(_store, folder, BOOTSTRAP_INCARNATION)
    return in_thread(renew_incarnation, folder)


def renew_incarnation(folder):
    """Store a new random incarnation and return it; blocks."""
    return _store(folder, os.urandom(8).hex())


def _store(folder, incarnation):
    write_file(os.path.join(folder, FILE_NAME), incarnation.encode())
    return incarnation


def _all_untouched(names, groups, send):
    waiting = {(name, group) for name in names for group in groups}
    while waiting:
        for name, group in sorted(waiting):
            untouched = _is_untouched(name, group, send)
            if untouched is False:
                return False
            if untouched:
                waiting.discard((name, group))
        if waiting:
            gevent.sleep(RETRY_MS / 1000)
    return True


def _is_untouched(name, group, send):
    """Return None where the host did not answer."""
    try:
        status = send(name, StatusRequest(group), ASK_TIMEOUT_MS)
    except DamasklandingError:
        return None
    return status.term == 0 and status.last_index == 0
