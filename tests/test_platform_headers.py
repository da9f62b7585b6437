from types import SimpleNamespace

import pytest

from damasklanding.errors import DamasklandingError
from damasklanding.errors import DeadlineExceeded
from damasklanding.errors import KeyRefused
from damasklanding.errors import NotFound
from damasklanding.errors import Overloaded
from damasklanding.errors import OverRate
from damasklanding.errors import Unavailable
from damasklanding.errors import UpstreamFailed
from damasklanding.errors import UpstreamTimeout
from damasklanding.node.answers import NOT_RUN
from damasklanding.node.answers import RAN
from damasklanding.node.answers import UNKNOWN
from damasklanding.node.answers import Answer
from damasklanding.node.requesthead import parse_head
from damasklanding.platform.headers import BACKEND_DIALECT
from damasklanding.platform.headers import CALLER_DIALECT

HEAD = (
    b'GET /leny950/2f?a=b HTTP/1.1\r\n'
    b'Host: Hulo84.example:80\r\n'
    b'Damasklanding-Attempt-Id: 9c41\r\n'
    b'Damasklanding-Deadline-Ms: 6000\r\n'
    b'Damasklanding-Tenant: forged\r\n'
    b'Damasklanding-Caller-Service: forged\r\n'
    b'Damasklanding-Expected-Instance: forged\r\n'
    b'Authorization: Token secretkey\r\n'
    b'X-Own: 1\r\n'
    b'X-Hop: 2\r\n'
    b'Connection: keep-alive, X-Hop'
)


def as_dict(flat):
    return dict(zip(flat[::2], flat[1::2], strict=True))


def test_caller_head():
    head = CALLER_DIALECT.read_head(parse_head(HEAD))
    assert head.request_id == '9c41'
    assert head.host == 'hulo84.example'
    assert head.deadline_ms == 6000
    assert head.key == 'secretkey'


def test_what_the_system_sets_replaces_what_was_sent():
    headers = CALLER_DIALECT.forwarded_headers(
        parse_head(HEAD), 'lender', 'desk'
    )
    assert headers.count('damasklanding-tenant') == 1
    known = as_dict(headers)
    assert known['damasklanding-tenant'] == 'lender'
    assert known['damasklanding-caller-service'] == 'desk'
    assert known['damasklanding-attempt-id'] == '9c41'
    assert known['host'] == 'Hulo84.example:80'
    assert known['x-own'] == '1'
    assert 'x-hop' not in known
    assert 'damasklanding-expected-instance' not in known
    assert 'secretkey' not in repr(headers)


def test_no_organisation_leaves_no_forged_one():
    headers = CALLER_DIALECT.forwarded_headers(parse_head(HEAD), '', 'desk')
    assert 'damasklanding-tenant' not in headers


NOT_RUN_STATUSES = (408, 421, 429, 503)


@pytest.mark.parametrize(
    ('kind', 'status'),
    [
        (Overloaded, 503),
        (OverRate, 429),
        (Unavailable, 503),
        (NotFound, 404),
        (KeyRefused, 401),
        (DeadlineExceeded, 503),
        (UpstreamTimeout, 503),
        (DamasklandingError, 503),
    ],
)
def test_refusal_of_what_has_not_run(kind, status):
    error = kind('no', retry_after_ms=250)
    error.outcome = NOT_RUN
    answer = CALLER_DIALECT.error_answer(error)
    assert answer.status == status
    if status in NOT_RUN_STATUSES:
        assert as_dict(answer.headers)['retry-after'] == '0.250'


@pytest.mark.parametrize(
    'kind', [UpstreamFailed, UpstreamTimeout, Unavailable, Overloaded]
)
def test_what_may_have_run_gets_no_promise(kind):
    error = kind('unknown outcome', retry_after_ms=250)
    error.outcome = UNKNOWN
    answer = CALLER_DIALECT.error_answer(error)
    assert answer.status in (502, 504)
    assert 'retry-after' not in answer.headers


class FakeReply:
    def __init__(self, **header_map):
        self.header_map = {
            k.replace('_', '-'): v for k, v in header_map.items()
        }
        self.flat_headers = [
            x for pair in self.header_map.items() for x in pair
        ]


class FakeCall:
    request_id = '9c41'
    method = 'GET'
    target = '/leny950/2f'
    headers = ('host', 'hulo84.example')


def test_stray_answer_is_told_by_its_id():
    def matches(**header_map):
        reply = FakeReply(**header_map)
        return BACKEND_DIALECT.matches_call(reply, FakeCall, 't')

    assert matches(damasklanding_attempt_id='9c41') is True
    assert matches(damasklanding_attempt_id='77') is False
    assert matches() is None


def outcome_of(status, **header_map):
    answer = Answer(status, [])
    BACKEND_DIALECT.set_outcome(answer, FakeReply(**header_map), FakeCall)
    return answer.outcome


def test_only_a_stated_refusal_has_not_run():
    assert outcome_of(503, damasklanding_not_executed='1') == NOT_RUN
    assert outcome_of(421) == NOT_RUN
    assert outcome_of(503) == RAN
    assert outcome_of(500) == RAN
    assert outcome_of(200, damasklanding_server_signature='s') == RAN


def test_unsigned_success_is_not_trusted():
    with pytest.raises(UpstreamFailed):
        outcome_of(200)


def test_backend_head_names_the_instance_and_the_time_left():
    lines = BACKEND_DIALECT.head_lines(
        FakeCall, 't', '10.0.0.1:80', 'i-1', 740
    )
    assert lines[0] == 'GET /leny950/2f HTTP/1.1'
    assert 'damasklanding-expected-instance: i-1' in lines
    assert 'damasklanding-deadline-ms: 740' in lines


def reply_with(status, **notices):
    header_map = {f'server-{name}': text for name, text in notices.items()}
    header_map['damasklanding-attempt-id'] = '9c41'
    return SimpleNamespace(status=status, header_map=header_map)


@pytest.mark.parametrize(
    ('value', 'rate_per_s'),
    [
        ('28.4', 28.4),
        ('0', 0.0),
        ('28.400000000000002', 28.400000000000002),
        ('-1', None),
        ('nan', None),
        ('inf', None),
        ('1e3', None),
        ('', None),
        ('10,4', None),
        ('9' * 400, None),
        ('1.' + '0' * 400, None),
        ('\u0661', None),
    ],
)
def test_limit_is_read_only_from_a_plain_decimal_number(value, rate_per_s):
    notice = BACKEND_DIALECT.read_notice(reply_with(200, limit=value))
    assert notice.rate_per_s == rate_per_s
    assert not notice.leaving


def test_notice_of_another_instance_is_ignored():
    reply = reply_with(421, limit='1', leaving='1')
    assert BACKEND_DIALECT.read_notice(reply) is None


def test_notice_in_an_answer_that_names_no_request_is_ignored():
    reply = reply_with(200, limit='1', leaving='1')
    del reply.header_map['damasklanding-attempt-id']
    assert BACKEND_DIALECT.read_notice(reply) is None


@pytest.mark.parametrize('status', [200, 500, 503])
def test_every_other_answer_may_say_that_the_server_leaves(status):
    notice = BACKEND_DIALECT.read_notice(reply_with(status, leaving='1'))
    assert notice.leaving
    assert notice.rate_per_s == float('inf')
