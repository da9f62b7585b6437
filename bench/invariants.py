"""
bench.invariants
~~~~~~~~~~~~~~~~

Checks what must always hold from the stand-ins' own records and the
callers' answers.  Each check returns a count of violations.
"""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field

__all__ = ['Evidence', 'check_all', 'over_bearable', 'over_rate']

WITHDRAWAL_LIMIT_MS = 2_000
OUT_LIMIT_MS = 3_000
SIGN_DELAY_MS = 20  # from a stand-in's sign to the node that sees it
LATE_FACTOR = 3  # an answer later than this many usual times is a sign


@dataclass
class Evidence:
    """
    What a run leaves to be checked.

    :ivar records: lists of request records by stand-in name.
    :ivar centres: data centre by stand-in name.
    :ivar answers: callers' answers.
    :ivar started_ms: machine time at the start of the load.
    :ivar root_paths: path prefixes of routes open to callers.
    :ivar single_run_paths: path prefixes of requests that may not repeat.
    :ivar withdrawn_ms: machine time of a withdrawal by organisation.
    :ivar out_ms: spans of machine time by data centre taken out.
    :ivar rates: pairs of rate per second and burst by organisation.
    :ivar falls_ms: machine time of a fall into a cold start by stand-in.
    """

    records: dict
    centres: dict
    answers: list
    started_ms: float
    root_paths: tuple = ()
    single_run_paths: tuple = ()
    withdrawn_ms: dict = field(default_factory=dict)
    out_ms: dict = field(default_factory=dict)
    rates: dict = field(default_factory=dict)
    falls_ms: dict = field(default_factory=dict)

    def all_records(self):
        """Yield every record."""
        for records in self.records.values():
            yield from records

    def root_records(self):
        """Yield the records of requests that callers sent."""
        for record in self.all_records():
            if record['path'].startswith(self.root_paths):
                yield record


def ran_twice(evidence):
    """Count requests that may not repeat and were started again."""
    runs = Counter(
        record['work']
        for record in evidence.all_records()
        if record['started']
        and record['path'].startswith(evidence.single_run_paths)
    )
    return sum(1 for count in runs.values() if count > 1)


def ran_after_withdrawal(evidence):
    """Count requests started too long after their key's withdrawal."""
    return sum(
        1
        for record in evidence.root_records()
        if record['started']
        and record['organisation'] in evidence.withdrawn_ms
        and record['at_ms']
        > evidence.withdrawn_ms[record['organisation']] + WITHDRAWAL_LIMIT_MS
    )


def ran_for_another(evidence):
    """Count requests that ran for an organisation not their key's."""
    return sum(
        1
        for record in evidence.root_records()
        if record['expected'] != record['organisation']
    )


def key_seen(evidence):
    """Count requests in which a backend server saw the key."""
    return sum(1 for record in evidence.all_records() if record['key_seen'])


def crossed_answers(evidence):
    """Count whole answers that belonged to another request."""
    return sum(1 for answer in evidence.answers if answer.crossed)


def false_not_run(evidence):
    """Count refusals that say not-run of a request that was started."""
    started = {
        record['work']
        for record in evidence.root_records()
        if record['started']
    }
    return sum(
        1
        for answer in evidence.answers
        if answer.tries == 1
        and answer.outcome == 'not-run'
        and answer.work in started
    )


def new_work_after_out(evidence):
    """Count requests that reached a data centre too long after it left."""
    count = 0
    for name, records in evidence.records.items():
        span = evidence.out_ms.get(evidence.centres[name])
        if span is None:
            continue
        out_ms, back_ms = span
        count += sum(
            1
            for record in records
            if out_ms + OUT_LIMIT_MS < record['at_ms'] < back_ms
        )
    return count


def over_rate(evidence):
    """
    Count requests admitted above an organisation's rate and burst.

    A request is admitted between its sending and its arrival; only windows
    that hold both for certain are counted.
    """
    sent_ms = {
        answer.work: evidence.started_ms + answer.at_s * 1000
        for answer in evidence.answers
    }
    spans = {}
    for record in evidence.root_records():
        if record['started'] and record['work'] in sent_ms:
            span = (sent_ms[record['work']], record['at_ms'])
            spans.setdefault(record['organisation'], []).append(span)
    return sum(
        _most_over(spans.get(organisation, ()), rate, burst)
        for organisation, (rate, burst) in evidence.rates.items()
    )


def _most_over(spans, rate_per_s, burst):
    worst = 0
    starts = sorted({span[0] for span in spans})[::10]
    for start_ms in starts:
        ends = sorted(end for begin, end in spans if begin >= start_ms)
        for count, end_ms in enumerate(ends, 1):
            allowed = rate_per_s * (end_ms - start_ms) / 1000 + burst
            worst = max(worst, count - allowed)
    return int(worst)


def over_bearable(records, fall_ms, usual_ms):
    """
    Count requests given to a cold stand-in above what it bears.

    Counted from the first sign that the node could have seen after the
    fall: a shed or failed answer, or one past the usual time.

    :return: pair of the count, and the count before the first sign.
    """
    sign_ms = _first_sign_ms(records, fall_ms, usual_ms)
    over = [
        record
        for record in records
        if record['cold']
        and record['at_ms'] > fall_ms
        and _load_since(records, record, fall_ms) > record['bearable']
    ]
    late = [record for record in over if record['at_ms'] > sign_ms]
    return len(late), len(over) - len(late)


def _load_since(records, record, fall_ms):
    return sum(
        1
        for other in records
        if other is record or _runs_beside(other, record, fall_ms)
    )


def _runs_beside(other, record, fall_ms):
    return (
        fall_ms < other['at_ms'] <= record['at_ms']
        and other['ended'] != 'shed'
        and other.get('ended_ms', float('inf')) > record['at_ms']
    )


def _first_sign_ms(records, fall_ms, usual_ms):
    signs = [float('inf')]
    for record in records:
        ended_ms = record.get('ended_ms')
        if record['ended'] == 'shed' and record['at_ms'] > fall_ms:
            signs.append(record['at_ms'])
        if ended_ms is None or ended_ms < fall_ms:
            continue
        if record['ended'] == 'failed':
            signs.append(ended_ms)
        if ended_ms - record['at_ms'] > LATE_FACTOR * usual_ms:
            signs.append(record['at_ms'] + LATE_FACTOR * usual_ms)
    return min(signs) + SIGN_DELAY_MS


CHECKS = {
    'ran_twice': ran_twice,
    'ran_after_withdrawal': ran_after_withdrawal,
    'ran_for_another': ran_for_another,
    'key_seen': key_seen,
    'crossed_answers': crossed_answers,
    'false_not_run': false_not_run,
    'new_work_after_out': new_work_after_out,
    'over_rate': over_rate,
}


def check_all(evidence):
    """Return the count of violations by check."""
    return {name: check(evidence) for name, check in CHECKS.items()}
