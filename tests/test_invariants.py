import pytest

from bench.invariants import Evidence
from bench.invariants import check_all
from bench.invariants import over_bearable
from bench.load import Answer


def record(work, at_ms, path='/plans', **fields):
    return {
        'work': work,
        'at_ms': at_ms,
        'path': path,
        'organisation': 'org-a',
        'expected': 'org-a',
        'key_seen': False,
        'started': True,
        'ended': 'ok',
        'ended_ms': at_ms + 10,
        'cold': False,
        'bearable': 10,
        'load': 0,
        **fields,
    }


def evidence(records, answers=(), **fields):
    return Evidence(
        records={'standin-a': records},
        centres={'standin-a': 'dc-a'},
        answers=list(answers),
        started_ms=0.0,
        root_paths=('/plans',),
        single_run_paths=('/plans',),
        **fields,
    )


@pytest.mark.parametrize(
    'name, run',
    [
        ('ran_twice', evidence([record('w', 1), record('w', 2)])),
        (
            'ran_after_withdrawal',
            evidence([record('w', 9_000)], withdrawn_ms={'org-a': 1_000}),
        ),
        ('ran_for_another', evidence([record('w', 1, expected='org-b')])),
        ('key_seen', evidence([record('w', 1, key_seen=True)])),
        (
            'crossed_answers',
            evidence([], [Answer('k', 'o', 'w', 0.0, crossed=True)]),
        ),
        (
            'false_not_run',
            evidence(
                [record('w', 1)],
                [Answer('k', 'o', 'w', 0.0, tries=1, outcome='not-run')],
            ),
        ),
        (
            'new_work_after_out',
            evidence([record('w', 9_000)], out_ms={'dc-a': (1_000, 20_000)}),
        ),
        (
            'over_rate',
            evidence(
                [record(str(n), 10 + n) for n in range(20)],
                [Answer('k', 'o', str(n), 0.0) for n in range(20)],
                rates={'org-a': (1.0, 5)},
            ),
        ),
    ],
)
def test_each_check_sees_its_violation_and_no_other(name, run):
    found = {key for key, count in check_all(run).items() if count}
    assert found == {name}


def test_over_bearable_counts_after_the_first_sign():
    records = [
        record('a', 100, cold=True, bearable=1, ended_ms=900),
        record('b', 110, cold=True, bearable=1, ended_ms=900),
        record('c', 120, cold=True, bearable=1, ended='shed'),
        record('d', 300, cold=True, bearable=1, ended_ms=900),
    ]
    assert over_bearable(records, 50, 10_000) == (1, 2)
