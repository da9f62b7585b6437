"""A control host without replication, for tests of the administration API."""

from contextlib import contextmanager

import msgspec

from damasklanding.control.admin import admin_app
from damasklanding.errors import NotFound
from damasklanding.fleet.commands import Outcome
from damasklanding.fleet.resources import Change
from damasklanding.fleet.resources import ControlGroup
from damasklanding.fleet.resources import DataCentre
from damasklanding.fleet.resources import Organisation
from damasklanding.metrics import Metrics
from damasklanding.node.view import FleetView
from damasklanding.operators import OperatorTokens
from damasklanding.telemetry import FleetTelemetry
from damasklanding.wsgi import wsgi_server

TOKENS = 'emi emi-token-0123456789\njun jun-token-0123456789\n'


class Watcher(msgspec.Struct):
    name: str
    instance: str
    revision: int
    silent_ms: int


class FakeControlHost:
    def __init__(self, name='c1', now_ms=lambda: 0):
        self.name = name
        self.view = FleetView(now_ms)
        self.view.confirm(0)
        self.envelopes = []
        self.outcomes = {}
        self.watching = []
        self.last_operators = {}

    def order(self, envelope, _timeout_ms, is_awaited):
        assert is_awaited()
        return self.propose(envelope)

    def propose(self, envelope):
        self.envelopes.append(envelope)
        known = self.outcomes.get(envelope.request_id)
        if known is None:
            try:
                known = self._execute(envelope)
            except NotFound as error:
                known = Outcome(
                    revision=0, error=error.code, problem=error.problem
                )
            self.outcomes[envelope.request_id] = known
        return known

    def _execute(self, envelope):
        kind, name, resource = self._target_and_resource(envelope.command)
        current = self.view.state.get(kind, name)
        revision = current.revision if current else 0
        if envelope.expected_revision not in (None, revision):
            return Outcome(
                revision=revision,
                error='conflict',
                problem=f'{kind} {name} is at revision {revision}',
                winner=self.last_operators.get((kind, name), ''),
            )
        if resource is None and current is None:
            return Outcome(
                revision=0, error='not-found', problem=f'no {kind} {name}'
            )
        return self._write(kind, name, resource, envelope.operator)

    def _write(self, kind, name, resource, operator=''):
        revision = self.view.state.revision + 1
        change = Change(kind, name)
        if resource is not None:
            resource = msgspec.structs.replace(resource, revision=revision)
            change = Change.put(kind, resource)
        self.view.apply(1, revision, [change])
        self.last_operators[kind, name] = operator
        return Outcome(revision=revision)

    def put(self, kind, resource):
        return self._write(kind, resource.name, resource)

    def _target_and_resource(self, command):
        op = type(command).__name__
        if op == 'DeleteResource':
            return command.kind, command.name, None
        if op == 'SetDataCentre':
            item = DataCentre(
                name=command.name, out=command.out, region=command.region
            )
            return 'data_centre', command.name, item
        if op == 'HoldBackend':
            item = self.view.state.get('backend', command.name)
            if item is not None:
                item = msgspec.structs.replace(item, held_out=command.held_out)
            return 'backend', command.name, item
        if op in ('GrantKey', 'WithdrawKey'):
            return (
                'organisation',
                command.organisation,
                self._with_changed_keys(command),
            )
        if op == 'PutControlGroup':
            item = ControlGroup(name=command.name, voters=command.voters)
            return 'control_group', command.name, item
        kind = op.removeprefix('Put').lower().replace('host', '_host')
        item = getattr(command, kind)
        known = self.view.state.get(kind, item.name)
        if isinstance(known, Organisation):
            item = msgspec.structs.replace(item, keys=known.keys)
        return kind, item.name, item

    def _with_changed_keys(self, command):
        item = self.view.state.get('organisation', command.organisation)
        if item is None:
            return None
        if hasattr(command, 'key'):
            keys = (*item.keys, command.key)
        else:
            keys = tuple(
                key for key in item.keys if key.key_id != command.key_id
            )
            if keys == item.keys:
                raise NotFound(f'no key {command.key_id}')
        return msgspec.structs.replace(item, keys=keys)

    def status(self):
        return Watcher(self.name, 'leader', self.view.state.revision, 0)

    def history(self, limit):
        return [
            {'revision': number, 'operator': envelope.operator}
            for number, envelope in enumerate(self.envelopes, 1)
        ][-limit:]

    def watchers(self):
        return self.watching


def make_app(tmp_path, host=None):
    path = tmp_path / 'tokens'
    path.write_text(TOKENS)
    host = host or FakeControlHost()
    metrics = Metrics()
    telemetry = FleetTelemetry(host.view.now_ms)
    app = admin_app(host, OperatorTokens(str(path)), metrics, telemetry)
    return app, host, metrics, telemetry


@contextmanager
def run_server(app):
    server = wsgi_server(('127.0.0.1', 0), app)
    server.start()
    try:
        yield f'127.0.0.1:{server.server_port}'
    finally:
        server.stop(timeout=0)
