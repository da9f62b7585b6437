"""
damasklanding.policy.dependencies
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Services that the call chains of requests need and that have no backend
server.  An entry node learns them from requests that failed for lack of one,
and refuses further requests of the same kind before they run.  While the first
servers of such a service are cold, it admits as many as these can bear.
"""

from damasklanding.errors import Unavailable
from damasklanding.policy.coldturns import Turn

__all__ = ['DependencyCheck']

#: Requests of one kind that must fail in a row before others are refused; a
#: kind of which only some requests need the service is not refused.
MIN_FAILURES_IN_ROW = 8
#: The same for a kind of which no request has been answered yet, while a
#: service is known to have no usable backend server.
MIN_FIRST_FAILURES_IN_ROW = 3
#: Number of consecutive answered requests of one kind which all have called a
#: service, from which on the kind is known to need that service.
MIN_NEEDS_IN_ROW = 3
#: Time between the first requests of such a kind that are admitted.
FIRST_INTERVAL_MS = 250.0
FIRST_RETRY_AFTER_MS = 500
#: Time between the requests that are admitted to find out whether the kind
#: still needs the service; it doubles with each of them that fails.
MIN_PROBE_INTERVAL_MS = 1_000.0
MAX_PROBE_INTERVAL_MS = 16_000.0
RETRY_AFTER_MS = 1_000


class _Kind:
    """
    What is known of the requests of one service and profile.

    :ivar missing: services without a backend server that they needed.
    :ivar failures_in_row: requests that failed for lack of such a service
        since one was answered.
    :ivar first_failure_ms: time of the first of these failures.
    :ivar is_refused: whether such requests are refused.
    :ivar probe_interval_ms: time from one probe to the next.
    :ivar next_probe_ms: time from which one more request is admitted.
    """

    __slots__ = (
        'failures_in_row',
        'first_failure_ms',
        'is_refused',
        'missing',
        'next_probe_ms',
        'probe_interval_ms',
    )

    def __init__(self, now_ms):
        self.missing = frozenset()
        self.failures_in_row = 0
        self.first_failure_ms = now_ms
        self.is_refused = False
        self.probe_interval_ms = MIN_PROBE_INTERVAL_MS
        self.next_probe_ms = 0.0


class DependencyCheck:
    """
    Refuses requests whose call chains need a service without backend servers.

    Once the service has backend servers again, they are admitted: in turns
    while all of these are cold, and all as soon as one is warm.

    :param now_ms: function that returns the current time in milliseconds.
    :param has_backend: function of a service's name; returns whether one of
        its backend servers accepts calls.
    :param watch_service: function of a service's name that makes its backend
        servers known; must not block.
    :param on_change: function of a service, a profile, the names of the
        missing services and whether requests are refused from now on; called
        when that changes.
    :param cold_turns: :class:`~damasklanding.policy.coldturns.ColdTurns`.
    :param empty_services: function that returns the names of the services
        that are known to have lost their last usable backend server.
    """

    def __init__(
        self,
        now_ms,
        has_backend,
        watch_service,
        on_change,
        cold_turns,
        empty_services=tuple,
    ):
        self._now_ms = now_ms
        self._cold_turns = cold_turns
        self._has_backend = has_backend
        self._watch_service = watch_service
        self._on_change = on_change
        self._empty_services = empty_services
        self._kinds = {}
        self._needs = {}
        self._had_backend = set()
        self._answered = set()
        self._next_first_ms = {}

    def check(self, service, profile):
        """
        Refuse a request that would fail for lack of a service.

        :raises Unavailable: the request is refused and has not been run.
        """
        if self._needs:
            self._refuse_without_needs(service, profile)
        kind = self._kinds.get((service, profile))
        if kind is None:
            if (service, profile) not in self._answered:
                self._check_first(service, profile)
            return
        if self._is_usable(kind):
            if kind.is_refused:
                self._admit_to_cold(service, profile, kind)
            return
        if kind.failures_in_row < self._min_failures(service, profile):
            if (service, profile) not in self._answered:
                self._check_first(service, profile)
            return
        if not kind.is_refused:
            self._refuse(service, profile, kind)
        now_ms = self._now_ms()
        if now_ms >= kind.next_probe_ms:
            kind.next_probe_ms = now_ms + kind.probe_interval_ms
            kind.probe_interval_ms = min(
                MAX_PROBE_INTERVAL_MS, 2 * kind.probe_interval_ms
            )
            return
        names = ', '.join(sorted(kind.missing))
        raise Unavailable(
            f'requests like this one need {names}, which has no backend '
            f'server that accepts calls',
            retry_after_ms=RETRY_AFTER_MS,
        )

    def note(
        self, service, profile, succeeded, missing, admitted_ms, leaving=()
    ):
        """
        Record the end of an admitted request.

        A success proves nothing if the request was admitted before the first
        failure, since its calls may have ended before the service lost its
        last backend server.

        :param succeeded: whether its answer reports no failure.
        :param missing: names of the services without a backend server that
            its call chain needed.
        :param admitted_ms: time at which the request was admitted.
        :param leaving: names of the services that its call chain called and
            whose last usable backend server leaves.
        """
        if succeeded and (leaving or self._needs):
            # A request to the leaving service itself begins no chain.
            self._note_needs((service, profile), set(leaving) - {service})
        kind = self._kinds.get((service, profile))
        if succeeded:
            self._answered.add((service, profile))
        if kind is not None and kind.is_refused and self._is_usable(kind):
            for name in kind.missing:
                self._cold_turns.note(name, succeeded)
        elif succeeded:
            if kind is not None and admitted_ms >= kind.first_failure_ms:
                self._forget(service, profile)
        elif missing:
            self._note_failure(service, profile, frozenset(missing))

    def _note_needs(self, key, leaving):
        """Count in a row the answered requests that called a service."""
        needs = self._needs.pop(key, {})
        if not leaving:
            return
        for name in leaving - needs.keys():
            self._watch_service(name)
        self._needs[key] = {name: needs.get(name, 0) + 1 for name in leaving}

    def _refuse_without_needs(self, service, profile):
        """
        Refuse a kind that needs a service whose last server has left.

        Its answers said so while the server was still in use, so that no
        request has to fail first.
        """
        key = (service, profile)
        missing = set()
        for name, answered in self._needs.get(key, {}).items():
            if self._has_backend(name):
                self._had_backend.add(name)
            elif name in self._had_backend and answered >= MIN_NEEDS_IN_ROW:
                missing.add(name)
        if not missing:
            return
        kind = self._kinds.get(key)
        if kind is None:
            kind = self._kinds[key] = _Kind(self._now_ms())
        if not kind.is_refused:
            kind.missing = frozenset(missing)
            kind.failures_in_row = MIN_FAILURES_IN_ROW

    def _note_failure(self, service, profile, missing):
        kind = self._kinds.get((service, profile))
        if kind is None:
            kind = self._kinds[service, profile] = _Kind(self._now_ms())
        for name in missing - kind.missing:
            self._watch_service(name)
        kind.missing = missing
        kind.failures_in_row += 1
        # Another node may know of a departure before the configuration does.
        if (
            kind.failures_in_row >= self._min_failures(service, profile)
            and not kind.is_refused
            and not self._is_usable(kind)
        ):
            self._refuse(service, profile, kind)

    def _min_failures(self, service, profile):
        if (service, profile) in self._answered or not self._empty_services():
            return MIN_FAILURES_IN_ROW
        return MIN_FIRST_FAILURES_IN_ROW

    def _check_first(self, service, profile):
        """
        Admit few requests of a kind until one of them has been answered.

        A node that has just started does not know which requests need a
        service without usable backend servers.

        :raises Unavailable: the request is refused and has not been run.
        """
        empty = self._empty_services()
        if not empty:
            return
        now_ms = self._now_ms()
        if now_ms >= self._next_first_ms.get((service, profile), now_ms):
            self._next_first_ms[service, profile] = now_ms + FIRST_INTERVAL_MS
            return
        names = ', '.join(sorted(empty))
        raise Unavailable(
            f'it is not known yet whether requests like this one need '
            f'{names}, which has no backend server that accepts calls',
            retry_after_ms=FIRST_RETRY_AFTER_MS,
        )

    def _admit_to_cold(self, service, profile, kind):
        """
        Admit a request whose service has just got backend servers again.

        :raises Unavailable: they are cold, and it is not this node's turn.
        """
        usable = filter(self._has_backend, kind.missing)
        verdicts = {name: self._cold_turns.take(name) for name in usable}
        if Turn.WARM in verdicts.values():
            self._forget(service, profile)
        elif Turn.DUE not in verdicts.values():
            names = ', '.join(sorted(verdicts))
            raise Unavailable(
                f'requests like this one need {names}, whose backend servers '
                f'are cold',
                retry_after_ms=RETRY_AFTER_MS,
            )

    def _is_usable(self, kind):
        return any(map(self._has_backend, kind.missing))

    def _refuse(self, service, profile, kind):
        kind.is_refused = True
        kind.next_probe_ms = self._now_ms() + kind.probe_interval_ms
        self._on_change(service, profile, kind.missing, True)

    def _forget(self, service, profile):
        kind = self._kinds.pop((service, profile), None)
        if kind is not None and kind.is_refused:
            self._on_change(service, profile, kind.missing, False)
