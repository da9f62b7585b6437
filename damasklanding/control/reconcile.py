"""
damasklanding.control.reconcile
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reconciles the members of the replication groups with the control hosts that
operators have put and deleted, and reports how many losses the groups bear.
It makes one change at a time.
"""

import gevent
from loguru import logger

from damasklanding.control.members import MemberChange
from damasklanding.control.members import encode_change
from damasklanding.control.voters import surplus_voter
from damasklanding.errors import DamasklandingError
from damasklanding.fleet.commands import DeleteResource
from damasklanding.fleet.controlhosts import configured_voters

__all__ = ['MemberReconciler', 'lost_learner', 'next_change']

PERIOD_MS = 500
FRESH_LIMIT_MS = 3_000
PROPOSE_TIMEOUT_MS = 2_000
#: A host that restarts answers again before this, so that only one that stays
#: away is deleted from the list.
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


def lost_learner(memberships, silent_ms):
    """
    Return the name of a silent learner, None if there is none.

    A host that votes in one group is not lost for the others.

    :param memberships: members of each group, those of the group in question
        first.
    :param silent_ms: function that returns the time since a member of that
        group last answered.
    """
    voters = {m.name for members in memberships for m in members if m.voter}
    silent = [
        member
        for member in memberships[0]
        if member.name not in voters and silent_ms(member) > LOST_AFTER_MS
    ]
    if not silent:
        return None
    return max(silent, key=lambda m: (silent_ms(m), m.name)).name


class MemberReconciler:
    """
    Reconciles the members of the groups that this control host leads.

    It runs on every control host.
    """

    def __init__(
        self, replicas, view, removed, name='', propose=None, metrics=None
    ):
        """
        Create a reconciler; :meth:`start` starts it.

        :param replicas: dict of group name to replica.
        :param removed: function that returns the names of the control
            hosts that an operator has deleted.
        :param name: name of this control host.
        :param propose: function that proposes a command, used to remove lost
            hosts without an operator; None if only operators remove hosts.
        :param metrics: gauges of the losses that a group bears.
        """
        self._metrics = metrics
        self._logged_losses = {}
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
            for replica in self._replicas.values():
                self._report_losses(replica)
            if self._view.age_ms() > FRESH_LIMIT_MS:
                continue
            for replica in self._replicas.values():
                if replica.leadership is not None:
                    self._reconcile(replica)
                    self._forget_lost(replica)

    def _report_losses(self, replica):
        group = replica.group
        borne, wanted = replica.losses()
        if self._metrics is not None:
            _set_or_unset(self._metrics, 'control_losses_borne', borne, group)
            _set_or_unset(
                self._metrics, 'control_losses_wanted', wanted, group
            )
        leadership = replica.leadership
        if leadership is None or leadership.age_ms() < LOST_AFTER_MS:
            return
        is_short = borne < wanted
        known = self._logged_losses.get(group, (wanted, wanted))
        if known == (borne, wanted):
            return
        self._logged_losses[group] = (borne, wanted)
        logger.log(
            'WARNING' if is_short else 'INFO',
            '{} bears the loss of {} more control hosts and should bear {}; '
            'silent: {}',
            group,
            borne,
            wanted,
            ', '.join(leadership.silent_voters()) or 'none',
        )

    def _forget_lost(self, replica):
        leadership = replica.leadership
        if leadership is None or self._propose is None:
            return
        others = [
            other.membership.current
            for other in self._replicas.values()
            if other is not replica
        ]
        name = lost_learner(
            [replica.membership.current, *others], leadership.silent_ms
        )
        if name is None or self._view.state.get('control_host', name) is None:
            return
        try:
            self._propose(DeleteResource(kind='control_host', name=name))
        except DamasklandingError as error:
            _log_change(
                replica.group, MemberChange('remove', name), f'failed: {error}'
            )

    def _next_change(self, replica):
        state = self._view.state
        addresses = {
            host.name: host.peer_address
            for host in state.all('control_host').values()
        }
        members = replica.membership.current
        change = next_change(members, addresses, self._removed())
        if change is not None or replica.wanted_voters() is None:
            return change
        name = surplus_voter(
            members,
            configured_voters(state),
            replica.leadership.silent_voters(),
            self._name,
        )
        return MemberChange('demote', name) if name else None

    def _reconcile(self, replica):
        change = self._next_change(replica)
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


def _set_or_unset(metrics, name, value, group):
    if value is None:
        metrics.unset(name, group)
    else:
        metrics.set(name, value, group)


def _log_change(group, change, result):
    logger.info(
        '{} {} {} {}: {}',
        group,
        change.action,
        change.name,
        change.address,
        result,
    )
