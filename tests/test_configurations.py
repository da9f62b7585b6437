import pytest

from damasklanding.errors import BadInput
from damasklanding.errors import Conflict
from damasklanding.errors import Unavailable
from damasklanding.fleet.commands import ApplyConfiguration
from damasklanding.fleet.configurations import CONFIGURATION_NAME
from damasklanding.fleet.configurations import AppliedConfigurations
from damasklanding.fleet.configurations import apply_configuration
from damasklanding.fleet.resources import Configuration
from damasklanding.fleet.resources import HostRoute
from damasklanding.fleet.resources import Profile
from damasklanding.fleet.resources import Service
from damasklanding.fleet.resources import WeightedService
from damasklanding.fleet.state import FleetState


def route(prefix, service='desk'):
    return HostRoute(
        name=f'r{len(prefix)}',
        host='h.example',
        prefix=prefix,
        profile='p',
        parts=(WeightedService(service),),
    )


def command(version, base, *routes):
    return ApplyConfiguration(
        base_version=base,
        configuration=Configuration(
            name=CONFIGURATION_NAME, version=version, digest=f'd{version}'
        ),
        profiles=[Profile(name='p')],
        services=[Service(name='desk'), Service(name='ledger')],
        organisations=[],
        host_routes=list(routes),
        document=b'doc-%d' % version,
    )


@pytest.fixture()
def state():
    state = FleetState()
    first = command(3, 0, route('/a/'), route('/bb/'))
    state.apply_changes(1, 1, apply_configuration(state, first, 1))
    return state


def test_only_what_differs_is_a_change(state):
    changes = apply_configuration(
        state, command(4, 3, route('/a/'), route('/bb/', 'ledger')), 2
    )
    assert [(c.kind, c.name) for c in changes] == [
        ('host_route', 'r4'),
        ('configuration', CONFIGURATION_NAME),
    ]


def test_what_is_left_out_goes(state):
    changes = apply_configuration(state, command(9, 3, route('/a/')), 2)
    state.apply_changes(1, 2, changes)
    assert list(state.all('host_route')) == ['r3']
    assert state.get('configuration', CONFIGURATION_NAME).version == 9


@pytest.mark.parametrize('base', [0, 2, 4])
def test_other_base_loses(state, base):
    with pytest.raises(Conflict):
        apply_configuration(state, command(10, base), 2)


@pytest.mark.parametrize('version', [1, 3])
def test_version_must_rise(state, version):
    with pytest.raises(BadInput):
        apply_configuration(state, command(version, 3), 2)


def test_document_is_kept_and_known_by_its_digest():
    applied = AppliedConfigurations()
    with pytest.raises(Unavailable):
        applied.current_document()
    applied.record_applied(command(3, 0), 7)
    applied.record_applied(command(4, 3), 9)
    copy = AppliedConfigurations()
    copy.restore(applied.document, applied.digest_revisions())
    assert copy.current_document() == b'doc-4'
    assert copy.revision_of('d3') == 7
    assert copy.revision_of('d5') is None
