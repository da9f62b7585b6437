import pytest

from damasklanding.control.members import Member
from damasklanding.control.reconcile import LOST_AFTER_MS
from damasklanding.control.reconcile import lost_learner


def member(number, voter=True):
    return Member(
        f'c{number}', f'10.0.0.{number}:7000', 'life' if voter else '', voter
    )


def silent_for(**silent_ms):
    return lambda member: silent_ms.get(member.name, 0.0)


VOTERS = tuple(member(number) for number in range(5))
BOTH = (*VOTERS, member(5, voter=False), member(6, voter=False))


@pytest.mark.parametrize(
    'memberships,silent_ms,expected',
    [
        ([BOTH], {'c5': LOST_AFTER_MS + 1}, 'c5'),
        ([BOTH], {'c5': LOST_AFTER_MS - 1}, None),
        ([BOTH], {'c5': 3_000.0, 'c6': 4_000.0}, 'c6'),
        ([BOTH], {'c1': 60_000.0}, None),
        ([VOTERS], {'c1': 60_000.0}, None),
        ([BOTH, (*VOTERS, member(5))], {'c5': 60_000.0}, None),
        ([BOTH, VOTERS], {'c5': 60_000.0}, 'c5'),
    ],
    ids=[
        'silent',
        'restarting',
        'longest silent first',
        'voter',
        'voter without a successor',
        'voter of another group',
        'forgotten by another group',
    ],
)
def test_silent_learner_is_forgotten(memberships, silent_ms, expected):
    found = lost_learner(memberships, silent_for(**silent_ms))
    assert found == expected
