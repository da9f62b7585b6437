"""
damasklanding.control.reconcile
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Brings the members of the replication groups in line with the control hosts
that operators have put and deleted, one change at a time.
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
#: Longer than a restart takes, and within the 4 s in which a host that
#: replaces another is to count.
LOST_AFTER_MS = 2_500


def next_change(members, addresses, removed):
    """
    Return the next change towards what operators want, None if it stands.

    :param members: tuple of the group's members.
    :param addresses: address by name of the wanted control hosts.
    :param removed: names that an operator has deleted; a member that was
        merely never announced stays.
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
    Return the name of the voter to remove as lost, None without one.

    With an even number of voters, one that is silent adds nothing to what
    the group can bear: a newcomer has taken its place.

    :param members: tuple of the group's members.
    :param silent_ms: function of a member; time since it last answered.
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
    """Runs on every control host and acts for the groups led there."""

    def __init__(self, replicas, view, removed, name='', propose=None):
        """
        Start with :meth:`start`.

        :param replicas: dict of group name to replica.
        :param removed: function that returns the names of the control
            hosts that an operator has deleted.
        :param name: own name.
        :param propose: function of a command that has it accepted, where
            hosts that are lost for good are removed without an operator;
            None elsewhere.
        """
        self._name = name
        self._propose = propose
        self._replicas = replicas
        self._view = view
        self._removed = removed
        self._problems = {}
        self._greenlet = None

    def start(self):
        """Start to compare now and then."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self):
        """Stop; the next leader goes on."""
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
            _log(
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
        if self._problems.get(replica.group) != (change, problem):
            self._problems[replica.group] = (change, problem)
            _log(replica.group, change, problem or 'done')


def _log(group, change, result):
    from loguru import logger

    logger.info(
        '{} {} {} {}: {}',
        group,
        change.action,
        change.name,
        change.address,
        result,
    )
