import io
import json
import time

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from damasklanding.node.presence import BackendPresence
from damasklanding.platform.announcements import announcement_app

ADDRESS = '10.0.0.1:80'
NESTED = '[' * 20_000 + ']' * 20_000


class Announcer:
    """Sends announcements to the application of a node."""

    def __init__(self):
        self.announced = []
        self.app = announcement_app(
            BackendPresence(
                ADDRESS,
                self.announced.append,
                {'desk', 'ledger'}.__contains__,
            )
        )
        self.born = int(time.time() * 1000) - 20_000
        self.sequence = 10

    def send(self, method='PUT', instance='i-1', data=None, **changes):
        """Send an announcement; return the status of the answer."""
        if data is None:
            data = json.dumps(self.document(**changes))
        data = data.encode()
        environ = {
            'REQUEST_METHOD': method,
            'PATH_INFO': f'/instances/{instance}',
            'CONTENT_LENGTH': str(len(data)),
            'wsgi.input': io.BytesIO(data),
        }
        statuses = []
        self.app(environ, lambda status, _headers: statuses.append(status))
        return int(statuses[0][:3])

    def document(self, **changes):
        self.sequence += 1
        info = {'service': 'desk', 'maxConcurrency': 50}
        status = {
            'state': 'ready',
            'sequence': self.sequence,
            'warmupLeft': '0ms',
        }
        document = {
            'address': ADDRESS,
            'born': self.born,
            'info': info,
            'status': status,
        }
        for name, value in changes.items():
            for part in (info, status, document):
                if name in part:
                    part[name] = value
        return document

    def nested(self):
        """Return a document with an unknown field that is nested deeply."""
        text = json.dumps(self.document())
        return f'{text[:-1]}, "more": {NESTED}}}'

    def is_heard(self):
        """Return whether a true announcement takes effect."""
        before = len(self.announced)
        status = self.send(maxConcurrency=50 + self.sequence)
        return status == 200 and len(self.announced) == before + 1


@pytest.fixture
def announcer():
    made = Announcer()
    assert made.send() == 200
    return made


@pytest.mark.parametrize('value', [2**63, 10**30, 10**400, -1, 1.5, '7'])
@pytest.mark.parametrize('name', ['sequence', 'born', 'maxConcurrency'])
def test_number_out_of_range_is_refused_and_the_server_stays(
    announcer, name, value
):
    before = list(announcer.announced)
    assert 400 <= announcer.send(**{name: value}) < 500
    assert announcer.announced == before
    assert announcer.is_heard()


@pytest.mark.parametrize(
    ('name', 'value'),
    [
        ('warmupLeft', '9' * 400 + 'ms'),
        ('warmupLeft', '100000s'),
        ('warmupLeft', 'nan'),
        ('maxConcurrency', 2**31),
        ('maxConcurrency', 0),
        ('service', '\0' * 3_000),
        ('service', 'a' * 3_000),
        ('service', ''),
        ('service', 'not-named-anywhere'),
        ('state', 'resting'),
        ('address', '10.0.0.1:99999'),
        ('address', '10.0.0.1:' + '9' * 400),
    ],
)
def test_odd_value_is_refused_and_the_server_stays(announcer, name, value):
    before = list(announcer.announced)
    assert 400 <= announcer.send(**{name: value}) < 500
    assert announcer.announced == before
    assert announcer.is_heard()


@pytest.mark.parametrize('method', ['PUT', 'DELETE'])
def test_deeply_nested_document_is_refused(announcer, method):
    assert 400 <= announcer.send(method, data=announcer.nested()) < 500
    assert announcer.is_heard()


@pytest.mark.parametrize('data', ['', '{', '\0', '[]', 'null', '{"born": {}}'])
def test_document_that_cannot_be_read_is_refused(announcer, data):
    assert 400 <= announcer.send(data=data) < 500
    assert announcer.is_heard()


@pytest.mark.parametrize('instance', ['', 'i-1\r\nHost: x', 'i' * 3_000, '\0'])
def test_odd_instance_is_refused_and_the_server_stays(announcer, instance):
    assert 400 <= announcer.send(instance=instance) < 500
    assert announcer.is_heard()


@pytest.mark.parametrize('name', ['sequence', 'born'])
def test_single_report_far_ahead_does_not_outdate_the_true_ones(
    announcer, name
):
    ahead = {'sequence': 100_000, 'born': announcer.born + 3_600_000}[name]
    assert 400 <= announcer.send(**{name: ahead}) < 500
    assert announcer.is_heard()


def test_departure_of_a_start_in_the_future_is_refused(announcer):
    data = json.dumps({'born': announcer.born + 3_600_000})
    assert 400 <= announcer.send('DELETE', data=data) < 500
    assert announcer.is_heard()


def test_count_that_goes_on_after_a_long_gap_is_heard(announcer):
    announcer.sequence += 5_000
    announcer.send()
    assert announcer.is_heard()


def test_node_that_restarts_hears_a_server_that_has_run_for_long():
    announcer = Announcer()
    announcer.born -= 86_400_000
    announcer.sequence = 50_000
    assert announcer.is_heard()


ODD_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=20)
    | st.sampled_from([2**31, 2**53, 2**63, 2**64, 10**30, 10**400, 1e308]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
FIELDS = (
    'address',
    'born',
    'info',
    'maxConcurrency',
    'sequence',
    'service',
    'state',
    'status',
    'warmupLeft',
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.sampled_from(FIELDS), ODD_VALUES)
def test_no_single_odd_announcement_takes_the_server_out(name, value):
    announcer = Announcer()
    assert announcer.send() == 200
    assert announcer.send(**{name: value}) < 500
    # Other plausible values hold until the next true announcement.
    assert announcer.is_heard()
    assert announcer.announced[-1].state == 'in'
    assert announcer.announced[-1].service == 'desk'
