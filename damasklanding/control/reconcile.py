"""
damasklanding.control.reconcile
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reconciles the members of the replication groups with the control hosts that
operators have put and deleted.  It makes one change at a time.
"""

import gevent

from damasklanding.control.members import MemberChange
from damasklanding.control.members import encode_change
from damasklanding.errors import DamasklandingError
from damasklanding.fleet.commands import DeleteResource

__all__ = ['MemberReconciler', 'lost_member', 'next_change']

PERIOD_MS = 500
FRESH_LIMIT_MS = 3_000
PROPOSE_TIMEOUT_MS = 2_000
#: A restart takes less than this.  A host that replaces another must become a
#: voter within 4 s, so this must be shorter than that.
LOST_AFTER_MS = 2_500


def next_change(members, addresses, removed):
    """
    Return the next change of members to make, None if there is none.

    :param members: tuple of the group's members.
    :param addresses: address by name of the wanted control hosts.
    :param removed: names of the control hosts that an operator has deleted;
        a member that was never announced is not removed.
    """
    known = {member.name: member.address for member in members}
    for name, address in sorted(addresses.items()):
        if name not in known:
            return MemberChange('add', name, address)
        if known[name] != address:
            return MemberChange('move', name, address)
    for name in sorted(known):
        if name in removed:
            return MemberChange('remove', name)
    return None


def lost_member(members, silent_ms, own_name):
    """
    Return the name of the voter to remove as lost, None if there is none.

    A group with an even number of voters tolerates no more failures than
    with one voter less.  A silent voter can then be removed: a new host has
    taken its place.

    :param members: tuple of the group's members.
    :param silent_ms: function that returns the time since a member last
        answered.
    """
    voters = [member for member in members if member.voter]
    if len(voters) % 2 or len(voters) != len(members):
        return None
    silent = [
        member
        for member in voters
        if member.name != own_name and silent_ms(member) > LOST_AFTER_MS
    ]
    if not silent:
        return None
    return max(silent, key=lambda m: (silent_ms(m), m.name)).name


class MemberReconciler:
    """
    Reconciles the members of the groups that this control host leads.

    It runs on every control host.
    """

    def __init__(self, replicas, view, removed, name='', propose=None):
        """
        Create a reconciler; :meth:`start` starts it.

        :param replicas: dict of group name to replica.
        :param removed: function that returns the names of the control
            hosts that an operator has deleted.
        :param name: name of this control host.
        :param propose: function that proposes a command, used to remove lost
            hosts without an operator; None if only operators remove hosts.
        """
        self._name = name
        self._propose = propose
        self._replicas = replicas
        self._view = view
        self._removed = removed
        self._logged_results = {}
        self._greenlet = None

    def start(self):
        """Start to reconcile periodically."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self):
        """Stop; the next leader continues."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def _run(self):
        while True:
            gevent.sleep(PERIOD_MS / 1000)
            if self._view.age_ms() > FRESH_LIMIT_MS:
                continue
            for replica in self._replicas.values():
                self._reconcile(replica)
                self._remove_lost(replica)

    def _remove_lost(self, replica):
        leadership = replica.leadership
        if leadership is None or self._propose is None:
            return
        name = lost_member(
            replica.membership.current, leadership.silent_ms, self._name
        )
        if name is None:
            return
        try:
            self._propose(DeleteResource(kind='control_host', name=name))
        except DamasklandingError as error:
            _log_change(
                replica.group, MemberChange('remove', name), f'failed: {error}'
            )

    def _reconcile(self, replica):
        if replica.leadership is None:
            return
        addresses = {
            host.name: host.peer_address
            for host in self._view.state.all('control_host').values()
        }
        change = next_change(
            replica.membership.current, addresses, self._removed()
        )
        if change is None:
            return
        problem = ''
        try:
            replica.propose(
                encode_change(change), PROPOSE_TIMEOUT_MS, 'members'
            )
        except DamasklandingError as error:
            problem = str(error)
        if self._logged_results.get(replica.group) != (change, problem):
            self._logged_results[replica.group] = (change, problem)
            _log_change(replica.group, change, problem or 'done')


def _log_change(group, change, result):
    from loguru import logger

    logger.info(
        '{} {} {} {}: {}',
        group,
        change.action,
        change.name,
        change.address,
        result,
    )
