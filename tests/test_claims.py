from collections import deque

import gevent
import pytest

from damasklanding.claims import state_machine as state_machine_module
from damasklanding.claims.client import ClaimClient
from damasklanding.claims.commands import Expire
from damasklanding.claims.commands import SettleRequest
from damasklanding.claims.commands import claim_digest
from damasklanding.claims.commands import decode_reply
from damasklanding.claims.commands import encode
from damasklanding.claims.commands import request_fingerprint
from damasklanding.claims.state_machine import ClaimStateMachine
from damasklanding.claims.ticker import Ticker
from damasklanding.clock import monotonic_ms
from damasklanding.errors import Overloaded
from damasklanding.errors import Unavailable
from damasklanding.messages import LogEntry
from damasklanding.metrics import Metrics

RETENTION_MS = 60_000
BODY = request_fingerprint('POST', '/plans', b'{}')


class Log:
    """
    A claims log without replicas, which can lose proposals and answers.

    :ivar faults: faults of the next proposals.
    :ivar delayed: proposals that are not applied yet.
    """

    def __init__(self):
        self.machine = ClaimStateMachine()
        self.index = 0
        self.faults = deque()
        self.delayed = []

    def propose(self, _group, payload, _timeout_ms):
        fault = self.faults.popleft() if self.faults else None
        if fault == 'delayed':
            self.delayed.append(payload)
        if fault in ('lost', 'delayed'):
            raise Unavailable('no quorum')
        outcome = self.apply(payload)
        if fault == 'answer lost':
            raise Unavailable('no answer')
        return outcome

    def apply(self, payload):
        self.index += 1
        return self.machine.apply(LogEntry(1, self.index, 'command', payload))

    def expire(self, total_ms, ticker='t'):
        self.apply(encode(Expire(ticker=ticker, total_ms=total_ms)))


def client_of(log):
    return ClaimClient(
        log, monotonic_ms, Metrics(), sleep=lambda _s: gevent.sleep(0.001)
    )


def claim(client, key='k', body=BODY, wait_ms=0):
    return client.claim('acme', key, body, RETENTION_MS, wait_ms)


def settle(client, reply, outcome='ran', key='k', **answer):
    client.settle('acme', key, reply.attempt, outcome, **answer)
    gevent.sleep(0.01)


def test_resend_gets_the_first_answer():
    log = Log()
    first, second = client_of(log), client_of(log)
    reply = claim(first)
    assert reply.verdict == 'granted'
    settle(first, reply, status=201, headers=('a', 'b'), body=b'done')
    again = claim(second)
    assert (again.verdict, again.outcome, again.kept) == ('settled', 'ran', 1)
    assert (again.status, again.headers, again.body) == (
        201,
        ['a', 'b'],
        b'done',
    )


@pytest.mark.parametrize(
    ('outcome', 'verdict', 'reported'),
    [('ran', 'settled', 'ran'), ('unknown', 'settled', 'unknown')],
)
def test_outcome_without_an_answer_is_kept(outcome, verdict, reported):
    log = Log()
    client = client_of(log)
    settle(client, claim(client), outcome)
    again = claim(client)
    assert (again.verdict, again.outcome, again.kept) == (verdict, reported, 0)


def test_one_of_two_racing_attempts_runs():
    log = Log()
    replies = [claim(client_of(log)) for _ in range(2)]
    assert [reply.verdict for reply in replies] == ['granted', 'running']


def test_waiting_resend_gets_the_outcome():
    log = Log()
    first, second = client_of(log), client_of(log)
    reply = claim(first)
    job = gevent.spawn(claim, second, wait_ms=2_000)
    gevent.sleep(0.01)
    settle(first, reply, status=200, body=b'x')
    assert job.get(timeout=2).body == b'x'


def test_same_key_with_another_request_is_told_apart():
    client = client_of(Log())
    claim(client)
    other = request_fingerprint('POST', '/plans', b'{"other": 1}')
    assert claim(client, body=other).verdict == 'mismatch'


def test_not_run_frees_the_key_for_another_attempt():
    client = client_of(Log())
    settle(client, claim(client), 'not-run')
    reply = claim(client)
    assert reply.verdict == 'granted'
    settle(client, reply)
    assert claim(client).outcome == 'ran'


def test_settle_of_an_earlier_attempt_changes_nothing():
    client = client_of(Log())
    first = claim(client)
    settle(client, first, 'not-run')
    second = claim(client)
    settle(client, first, 'not-run')
    settle(client, first, 'unknown')
    assert claim(client).verdict == 'running'
    settle(client, second)
    assert claim(client).outcome == 'ran'


def test_unknown_stays_unknown():
    client = client_of(Log())
    reply = claim(client)
    settle(client, reply, 'unknown')
    settle(client, reply, 'not-run')
    assert claim(client).outcome == 'unknown'


@pytest.mark.parametrize('fault', ['lost', 'answer lost'])
def test_claim_of_unknown_outcome_is_released(fault):
    log = Log()
    log.faults.append(fault)
    client = client_of(log)
    with pytest.raises(Unavailable) as caught:
        claim(client)
    assert caught.value.outcome == 'not-run'
    gevent.sleep(0.02)
    assert claim(client_of(log)).verdict == 'granted'


def test_claim_that_commits_after_its_release_is_not_granted():
    log = Log()
    log.faults.append('delayed')
    client = client_of(log)
    with pytest.raises(Unavailable):
        claim(client)
    gevent.sleep(0.02)
    assert decode_reply(log.apply(log.delayed[0])).verdict == 'released'
    assert claim(client_of(log)).verdict == 'granted'


def test_settle_is_retried_until_it_is_acknowledged():
    log = Log()
    client = client_of(log)
    reply = claim(client)
    log.faults.extend(['lost', 'answer lost', 'lost'])
    settle(client, reply, status=200, body=b'x')
    gevent.sleep(0.05)
    assert claim(client).body == b'x'


def test_claim_lasts_for_its_retention_and_no_longer():
    log = Log()
    client = client_of(log)
    log.expire(0)
    settle(client, claim(client))
    log.expire(RETENTION_MS - 1)
    assert claim(client).outcome == 'ran'
    log.expire(RETENTION_MS)
    assert claim(client).verdict == 'granted'


def test_no_clock_of_a_control_host_moves_time_twice():
    log = Log()
    log.expire(1_000, 'a')
    log.expire(5_000, 'a')
    log.expire(5_000, 'a')
    log.expire(2_000, 'a')
    assert log.machine.now_ms == 4_000
    log.expire(900_000, 'b')
    assert log.machine.now_ms == 4_000
    log.expire(900_500, 'b')
    log.expire(9_000, 'a')
    assert log.machine.now_ms == 4_500


def test_ticker_ticks_only_while_it_leads():
    log = Log()
    clock = [0.0]
    leads = [False]
    ticker = Ticker(
        lambda payload, _timeout_ms: log.apply(payload),
        lambda: leads[0],
        lambda: clock[0],
    )
    ticker.tick()
    assert log.index == 0
    leads[0] = True
    for clock[0] in (1_000, 4_000):
        ticker.tick()
    assert log.machine.now_ms == 3_000


def test_snapshot_is_exact():
    log = Log()
    client = client_of(log)
    log.expire(0)
    for number in range(30):
        reply = claim(client, f'k{number}')
        outcome = ('ran', 'unknown', 'not-run')[number % 3]
        if number % 4:
            settle(client, reply, outcome, f'k{number}', status=200, body=b'b')
        log.expire(number * 7_000)
    copy = ClaimStateMachine()
    copy.restore(log.machine.snapshot())
    assert copy.snapshot() == log.machine.snapshot()
    for total_ms in range(210_000, 400_000, 7_000):
        entry = LogEntry(
            1, 1, 'command', encode(Expire(ticker='t', total_ms=total_ms))
        )
        assert copy.apply(entry) == log.machine.apply(entry)
        assert copy.snapshot() == log.machine.snapshot()
    assert len(copy) == copy.answer_bytes == 0
    assert not copy._expiry_slots


def test_full_machine_refuses_new_claims_and_keeps_the_old(monkeypatch):
    monkeypatch.setattr(state_machine_module, 'MAX_ORGANISATION_CLAIMS', 2)
    client = client_of(Log())
    settle(client, claim(client, 'k0'), key='k0')
    claim(client, 'k1')
    with pytest.raises(Overloaded):
        claim(client, 'k2')
    reply = client.claim('other', 'k2', BODY, RETENTION_MS, 0)
    assert reply.verdict == 'granted'
    assert claim(client, 'k0').outcome == 'ran'


def test_oldest_answers_go_first_and_their_outcome_stays(monkeypatch):
    monkeypatch.setattr(state_machine_module, 'MAX_ANSWER_BYTES', 2_500)
    client = client_of(Log())
    for number in range(3):
        key = f'k{number}'
        settle(client, claim(client, key), key=key, body=bytes(1_000))
    kept = [claim(client, f'k{number}') for number in range(3)]
    assert [reply.kept for reply in kept] == [False, True, True]
    assert [reply.outcome for reply in kept] == ['ran'] * 3


def test_large_answer_keeps_its_outcome_only():
    client = client_of(Log())
    settle(client, claim(client), status=200, body=bytes(16_385))
    again = claim(client)
    assert (again.verdict, again.outcome, again.kept) == ('settled', 'ran', 0)


def test_malformed_entry_changes_nothing():
    log = Log()
    before = log.machine.snapshot()
    assert decode_reply(log.apply(b'\xc1nonsense')).verdict == 'malformed'
    assert log.machine.snapshot() == before


def test_settle_of_a_claim_past_its_retention_is_stale():
    log = Log()
    request = SettleRequest(
        organisation='acme',
        key=claim_digest('acme', 'k'),
        attempt=b'a',
        outcome='ran',
    )
    assert decode_reply(log.apply(encode(request))).verdict == 'stale'
