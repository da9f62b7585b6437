"""
damasklanding.viewlog
~~~~~~~~~~~~~~~~~~~~~

Log lines for changes of the configuration that this process holds: data
centres that are taken out or back, backend servers that come, drain or leave,
versions that come into force, and services that lose their last usable
backend server.
"""

from damasklanding.fleet.configurations import CONFIGURATION_NAME
from damasklanding.logs import CappedLog

__all__ = ['ViewLog', 'explain']

MAX_NAMED = 4  # backend servers of an empty service that its line explains


class ViewLog:
    """
    Logs how the configuration of a process changes.

    A snapshot may bring everything again, so each resource is compared with
    the one that was logged last.

    :param view: :class:`~damasklanding.node.view.FleetView`.
    :param metrics: its gauge ``services_without_server`` is kept current;
        None sets none.
    :ivar empty: names of the services that have lost their last usable
        backend server.
    """

    def __init__(self, view, metrics=None):
        self.empty = set()
        self._view = view
        self._metrics = metrics
        self._log = CappedLog(view.now_ms)
        self._backends = {}
        self._out = set()
        self._version = 0
        view.subscribe(self._on_changes)
        self._note_changes(
            set(view.state.all('data_centre')), set(view.state.all('backend'))
        )

    def empty_services(self):
        """Return by name why the empty services have no usable server."""
        return {
            name: explain(self._view.unusable_backends(name))
            for name in sorted(self.empty)
        }

    def _on_changes(self, changes):
        names = {'data_centre': set(), 'backend': set()}
        for change in changes:
            if change.kind in names:
                names[change.kind].add(change.name)
        self._note_changes(names['data_centre'], names['backend'])

    def _note_changes(self, data_centres, backends):
        services = self._note_data_centres(data_centres)
        services |= self._note_backends(backends)
        self._note_services(services)
        self._note_version()

    def _note_data_centres(self, names):
        """Log data centres taken out or back; return affected services."""
        moved = set()
        for name in sorted(names):
            is_out = self._view.data_centre_out(name)
            if is_out == (name in self._out):
                continue
            moved.add(name)
            if is_out:
                revision = self._view.state.get('data_centre', name).revision
                self._out.add(name)
                text = f'out of service since revision {revision}'
            else:
                self._out.discard(name)
                text = 'in service again'
            self._write('data centre', f'{name} is {text}', is_out)
        if not moved:
            return set()
        return {
            backend.service
            for backend in self._view.state.all('backend').values()
            if backend.data_centre in moved
        }

    def _note_backends(self, names):
        """Log backend servers that changed; return affected services."""
        services = set()
        for name in sorted(names):
            known = self._backends.get(name)
            backend = self._view.state.get('backend', name)
            if _signature(known) == _signature(backend):
                continue
            services.update(b.service for b in (known, backend) if b)
            if backend is None:
                del self._backends[name]
                self._write('backend server', f'{_title(known)} has left')
                continue
            self._backends[name] = backend
            self._write(
                'backend server',
                f'{_title(backend)} is {_state(backend)}, start '
                f'{backend.start or "unknown"}, node {backend.instance}',
            )
        return services

    def _note_services(self, services):
        for service in sorted(services - {''}):
            reasons = self._view.unusable_backends(service)
            is_empty = len(reasons) == len(self._view.backends(service))
            if is_empty == (service in self.empty):
                continue
            if is_empty:
                self.empty.add(service)
                self._write(
                    'service',
                    f'{service} has no backend server that may be used: '
                    + explain(reasons),
                    True,
                )
            else:
                self.empty.discard(service)
                self._write('service', f'{service} has a backend server again')
        if self._metrics is not None:
            self._metrics.set('services_without_server', len(self.empty))

    def _note_version(self):
        configuration = self._view.state.get(
            'configuration', CONFIGURATION_NAME
        )
        if configuration is None or configuration.version == self._version:
            return
        self._version = configuration.version
        self._write('configuration', f'version {self._version} is in force')

    def _write(self, kind, text, is_warning=False):
        state = self._view.state
        age_ms = self._view.age_ms()
        proof = (
            'never confirmed'
            if age_ms == float('inf')
            else f'confirmed {age_ms:.0f} ms ago'
        )
        self._log.write(
            kind,
            f'{kind} {text} [term {state.term}, revision {state.revision}, '
            f'{proof}]',
            'WARNING' if is_warning else 'INFO',
        )


def explain(reasons):
    """Return why backend servers may not be used, as one text."""
    if not reasons:
        return 'none is registered'
    named = [f'{name}: {why}' for name, why in sorted(reasons.items())]
    left_out = len(named) - MAX_NAMED
    more = [f'{left_out} more'] if left_out > 0 else []
    return '; '.join(named[:MAX_NAMED] + more)


def _signature(backend):
    if backend is None:
        return None
    return (
        backend.service,
        backend.data_centre,
        backend.state,
        backend.held_out,
        backend.instance,
        backend.start,
        backend.departure,
    )


def _title(backend):
    service = backend.service or 'no service'
    return f'{backend.name} of {service} in {backend.data_centre}'


def _state(backend):
    if backend.held_out:
        return 'held out'
    if backend.departure:
        return f'{backend.state}, and leaves ({backend.departure})'
    return backend.state
