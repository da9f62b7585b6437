from hypothesis import given
from hypothesis import strategies as st

from damasklanding.fleet.resources import WeightedService
from damasklanding.policy.trafficsplit import choose_part


def test_shares_follow_the_weights():
    parts = (
        WeightedService('a', 90),
        WeightedService('b', 10),
        WeightedService('c', 0),
    )
    chosen = [choose_part(parts, i / 1_000).service for i in range(1_000)]
    assert abs(chosen.count('a') - 900) <= 1
    assert abs(chosen.count('b') - 100) <= 1
    assert chosen.count('c') == 0


@given(
    st.lists(st.floats(0, 1e6), min_size=1, max_size=6),
    st.floats(0, 1, exclude_max=True),
)
def test_any_point_gives_a_part_that_has_weight(weights, point):
    parts = tuple(WeightedService(f's{i}', w) for i, w in enumerate(weights))
    part = choose_part(parts, point)
    assert part in parts
    assert part.weight > 0 or not any(weights)
