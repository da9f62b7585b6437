"""Compares the claims state machine with dictionaries of one process."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from damasklanding.claims.commands import ClaimRequest
from damasklanding.claims.commands import Expire
from damasklanding.claims.commands import SettleRequest
from damasklanding.claims.commands import decode_reply
from damasklanding.claims.commands import encode
from damasklanding.claims.state_machine import ClaimStateMachine
from damasklanding.messages import LogEntry

RETENTION_MS = 60_000
BYTES = st.sampled_from([b'a', b'b', b'c'])
STEP = st.one_of(
    st.tuples(st.just('claim'), BYTES, BYTES, st.sampled_from([b'f', b'g'])),
    st.tuples(
        st.just('settle'),
        BYTES,
        BYTES,
        st.sampled_from(['ran', 'not-run', 'unknown']),
    ),
    st.tuples(
        st.just('expire'),
        st.integers(0, 40_000),
        st.just(b''),
        st.just(''),
    ),
)


class NaiveClaims:
    """Reference implementation: one process that records every claim."""

    def __init__(self):
        self.now_ms = 0
        self.held = {}
        self.freed = {}

    def claim(self, key, attempt, fingerprint):
        self.drop_expired()
        if key not in self.held:
            if self.freed.get(key, (b'', 0))[0] == attempt:
                return 'released'
            self.freed.pop(key, None)
            ends_ms = self.now_ms + RETENTION_MS
            self.held[key] = [attempt, fingerprint, '', ends_ms]
            return 'granted'
        holder, known, outcome, _ = self.held[key]
        if known != fingerprint:
            return 'mismatch'
        if outcome:
            return 'settled'
        return 'granted' if holder == attempt else 'running'

    def settle(self, key, attempt, outcome):
        self.drop_expired()
        record = self.held.get(key)
        if record is None:
            if key in self.freed and self.freed[key][0] == attempt:
                return 'released'
            if key in self.freed or outcome != 'not-run':
                return 'stale'
            self.freed[key] = attempt, self.now_ms + 120_000
            return 'released'
        if record[0] != attempt:
            return 'stale'
        if record[2]:
            return 'settled'
        if outcome == 'not-run':
            del self.held[key]
            self.freed[key] = attempt, self.now_ms + 120_000
            return 'released'
        record[2] = outcome
        return 'settled'

    def expire(self, passed_ms):
        self.now_ms += passed_ms
        self.drop_expired()
        return 'expired'

    def drop_expired(self):
        # The state machine drops claims at whole seconds, never early.
        now_ms = self.now_ms // 1_000 * 1_000
        self.held = {
            key: record
            for key, record in self.held.items()
            if record[3] > now_ms
        }
        self.freed = {
            key: record
            for key, record in self.freed.items()
            if record[1] > now_ms
        }


def command_of(kind, key, attempt, detail, total_ms):
    if kind == 'claim':
        return ClaimRequest(
            organisation='acme',
            key=key,
            attempt=attempt,
            fingerprint=detail,
            retention_ms=RETENTION_MS,
        )
    if kind == 'settle':
        return SettleRequest(
            organisation='acme', key=key, attempt=attempt, outcome=detail
        )
    return Expire(ticker='t', total_ms=total_ms)


@settings(max_examples=150, derandomize=True, deadline=None)
@given(st.lists(STEP, max_size=60))
def test_machine_answers_as_a_dictionary_does(steps):
    machine, naive = ClaimStateMachine(), NaiveClaims()
    total_ms = 0
    start = encode(Expire(ticker='t', total_ms=0))
    machine.apply(LogEntry(1, 1, 'command', start))
    for index, (kind, key, attempt, detail) in enumerate(steps, 2):
        if kind == 'expire':
            total_ms += key
            expected = naive.expire(key)
        else:
            expected = getattr(naive, kind)(key, attempt, detail)
        command = command_of(kind, key, attempt, detail, total_ms)
        entry = LogEntry(1, index, 'command', encode(command))
        assert decode_reply(machine.apply(entry)).verdict == expected
    assert len(machine) == len(naive.held) + len(naive.freed)
