import msgspec
import pytest

from damasklanding.control.configuration import ConfigurationStateMachine
from damasklanding.fleet.commands import DeleteResource
from damasklanding.fleet.commands import Envelope
from damasklanding.fleet.commands import ExpireBackends
from damasklanding.fleet.commands import GrantKey
from damasklanding.fleet.commands import HoldBackend
from damasklanding.fleet.commands import Outcome
from damasklanding.fleet.commands import PutOrganisation
from damasklanding.fleet.commands import PutProfile
from damasklanding.fleet.commands import PutService
from damasklanding.fleet.commands import RegisterBackend
from damasklanding.fleet.commands import SetDataCentre
from damasklanding.fleet.commands import WithdrawKey
from damasklanding.fleet.resources import Backend
from damasklanding.fleet.resources import Change
from damasklanding.fleet.resources import Key
from damasklanding.fleet.resources import Organisation
from damasklanding.fleet.resources import Profile
from damasklanding.fleet.resources import Route
from damasklanding.fleet.resources import Service
from damasklanding.fleet.resources import decode_changes
from damasklanding.fleet.resources import encode_changes
from damasklanding.messages import LogEntry
from damasklanding.node.view import FleetView

DIGEST = 'ab' * 32


class StateMachineDriver:
    """Applies commands to a state machine at consecutive log indexes."""

    def __init__(self):
        self.state_machine = ConfigurationStateMachine(FleetView())
        self.index = 0

    @property
    def state(self):
        return self.state_machine.view.state

    def send(self, command, request_id=None, operator='mia', expected=None):
        self.index += 1
        envelope = Envelope(
            request_id=request_id or f'r{self.index}',
            operator=operator,
            command=command,
            expected_revision=expected,
        )
        payload = msgspec.msgpack.encode(envelope)
        entry = LogEntry(1, self.index, 'command', payload)
        data = self.state_machine.apply(entry)
        return msgspec.msgpack.decode(data, type=Outcome)


def organisation(name='lender', rate=10):
    value = Organisation(name=name, rate_per_s=rate, burst_requests=5)
    return PutOrganisation(organisation=value)


def profile(name='desk', **fields):
    return PutProfile(profile=Profile(name=name, **fields))


def service(name, *prefixes, profile='desk', **fields):
    routes = tuple(
        Route(prefix=prefix, profile=profile, **fields) for prefix in prefixes
    )
    return PutService(service=Service(name=name, routes=routes))


def grant(name='lender', key_id='k1', digest=DIGEST):
    return GrantKey(organisation=name, key=Key(key_id=key_id, digest=digest))


def backend(name, instance='i1', **fields):
    value = Backend(
        name=name,
        instance=instance,
        data_centre='dar-a',
        peer_address='10.0.0.1:7400',
        service='stock',
        **fields,
    )
    return RegisterBackend(backend=value)


def test_of_two_operators_with_equal_numbers_one_wins():
    driver = StateMachineDriver()
    first = driver.send(profile(weight=2), operator='mia', expected=0)
    second = driver.send(profile(weight=3), operator='ken', expected=0)
    assert first.error == ''
    assert (second.error, second.winner) == ('conflict', 'mia')
    assert second.revision == first.revision
    assert driver.state.get('profile', 'desk').weight == 2


def test_resend_gets_the_first_outcome_even_after_later_changes():
    driver = StateMachineDriver()
    first = driver.send(profile(weight=2), 'same', expected=0)
    driver.send(profile(weight=9))
    assert driver.send(profile(weight=2), 'same', expected=0) == first
    assert driver.state.get('profile', 'desk').weight == 9


def test_put_that_changes_nothing_keeps_the_revision():
    driver = StateMachineDriver()
    first = driver.send(profile())
    again = driver.send(profile())
    assert again == first
    assert len(driver.state_machine.history(10)) == 1
    assert driver.state.revision == first.revision


def test_put_organisation_keeps_its_keys():
    driver = StateMachineDriver()
    driver.send(organisation())
    driver.send(grant())
    driver.send(organisation(rate=20))
    known = driver.state.get('organisation', 'lender')
    assert (known.rate_per_s, len(known.keys)) == (20, 1)
    driver.send(WithdrawKey(organisation='lender', key_id='k1'))
    assert not driver.state_machine.view.has_key(DIGEST)


@pytest.mark.parametrize(
    ('earlier', 'command', 'error'),
    [
        ([], grant(), 'not-found'),
        ([organisation(), grant()], grant(key_id='k2'), 'bad-input'),
        (
            [organisation(), grant(), organisation('utility')],
            grant('utility', 'k2'),
            'bad-input',
        ),
        (
            [organisation()],
            WithdrawKey(organisation='lender', key_id='k9'),
            'not-found',
        ),
        ([], service('stock', '/stock'), 'bad-input'),
        (
            [profile(), service('stock', '/s')],
            service('x', '/s'),
            'bad-input',
        ),
        ([profile()], service('stock', '/s', '/s'), 'bad-input'),
        ([profile()], service('stock', '/s', access='any'), 'bad-input'),
        ([], profile(discipline='random'), 'bad-input'),
        (
            [profile(), service('stock', '/s')],
            DeleteResource(kind='profile', name='desk'),
            'bad-input',
        ),
        ([], DeleteResource(kind='profile', name='desk'), 'not-found'),
        ([], DeleteResource(kind='budget_shard', name='a'), 'bad-input'),
        ([], DeleteResource(kind='nonsense', name='a'), 'bad-input'),
        ([], HoldBackend(name='n1', held_out=True), 'not-found'),
        ([], backend('n1', state='gone'), 'bad-input'),
        (
            [SetDataCentre(name='dar-a'), backend('n1')],
            DeleteResource(kind='data_centre', name='dar-a'),
            'bad-input',
        ),
    ],
)
def test_command_that_breaks_a_rule_changes_nothing(earlier, command, error):
    driver = StateMachineDriver()
    for sent in earlier:
        assert driver.send(sent).error == ''
    before = driver.state.snapshot()
    assert driver.send(command).error == error
    assert driver.state.snapshot() == before


def test_hold_outlives_a_new_instance_and_an_expiry():
    driver = StateMachineDriver()
    driver.send(backend('n1'))
    driver.send(HoldBackend(name='n1', held_out=True))
    driver.send(backend('n1', 'i2'))
    assert driver.state.get('backend', 'n1').held_out
    driver.send(ExpireBackends(instances={'n1': 'i1'}))
    assert driver.state.get('backend', 'n1').instance == 'i2'
    driver.send(ExpireBackends(instances={'n1': 'i2'}))
    driver.send(backend('n1', 'i3'))
    assert driver.state.get('backend', 'n1').held_out
    driver.send(ExpireBackends(instances={'n1': 'i3'}))
    driver.send(HoldBackend(name='n1', held_out=False))
    assert driver.state.get('backend', 'n1') is None


def test_malformed_payload_is_refused_and_changes_nothing():
    driver = StateMachineDriver()
    data = driver.state_machine.apply(
        LogEntry(1, 1, 'command', b'\xc1nonsense')
    )
    assert msgspec.msgpack.decode(data, type=Outcome).error == 'bad-input'
    assert driver.state.position() == (0, 0)


def test_snapshot_restores_everything_exactly():
    driver = StateMachineDriver()
    for number in range(50):
        driver.send(profile(weight=number + 1), operator=f'o{number % 3}')
        driver.send(backend(f'n{number}'))
    data = driver.state_machine.snapshot()
    copy = StateMachineDriver()
    copy.state_machine.restore(data)
    copy.index = driver.index
    assert copy.state_machine.snapshot() == data
    command = profile(weight=70)
    for sent in (('r3', None), ('new', 0)):
        arguments = {'request_id': sent[0], 'expected': sent[1]}
        expected = driver.send(command, **arguments)
        assert copy.send(command, **arguments) == expected
    assert copy.state_machine.snapshot() == driver.state_machine.snapshot()
    assert copy.state_machine.history(500) == driver.state_machine.history(500)


def test_changes_survive_their_encoding():
    changes = [
        Change.put('profile', Profile(name='desk', weight=3)),
        Change('profile', 'gone'),
    ]
    assert decode_changes(encode_changes(changes)) == changes
