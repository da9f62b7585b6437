"""Random orders of events around the owner of an allowance."""

import os
import random

import pytest

from tests.budget_fleet import Fleet
from tests.test_one_holder import START_DELAY_MS
from tests.test_one_holder import ask

SEEDS = int(os.environ.get('DAMASKLANDING_FAULT_SEEDS', '12'))
EVENTS = 14
#: The users' bound: (rate x window + burst) x (1 + excess) + tolerance.
WINDOW_MS = 5_000
EXCESS = 0.1
TOLERANCE = 20
DURATIONS_MS = (200, 700, 1_500, 3_000)
PRESSURES = (0.5, 1, 4, 8)


class Play:
    """One fleet, and the events that may befall it."""

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.rng = rng

    def owner(self):
        name = self.fleet.shard.owner
        return next(node for node in self.fleet.nodes if node.name == name)

    def others(self):
        owner = self.owner()
        return [node for node in self.fleet.nodes if node is not owner]

    def press(self, nodes=None, duration_ms=None, core=True):
        fleet = self.fleet
        awake = [
            node
            for node in nodes or fleet.nodes
            if fleet.time() >= node.frozen_until_ms
        ]
        rate_per_s = fleet.organisation.rate_per_s
        ask(
            fleet,
            awake,
            rate_per_s * self.rng.choice(PRESSURES),
            duration_ms or self.rng.choice(DURATIONS_MS),
            core,
        )

    def lose_quorum(self):
        self.press(
            duration_ms=self.rng.choice((500, 2_000, 4_000)), core=False
        )

    def freeze_owner(self):
        owner = self.owner()
        others = self.others()
        frozen_ms = self.rng.choice((300, 900, 2_000, 4_000))
        owner.frozen_until_ms = self.fleet.time() + frozen_ms
        self.press(others)
        if frozen_ms > 2_000:
            self.fleet.assign(self.rng.choice(others))

    def kill_owner(self):
        owner = self.owner()
        others = self.others()
        for node in others:
            self.fleet.cut.add((node.address, owner.address))
            self.fleet.cut.add((owner.address, node.address))
        self.press(others, 2_000)
        self.fleet.assign(self.rng.choice(others))
        self.press(others)
        self.fleet.cut.clear()
        owner.restart()

    def cut_one_way(self):
        node = self.rng.choice(self.others())
        self.fleet.cut.add((node.address, self.owner().address))
        self.press()
        self.fleet.cut.clear()

    def move(self):
        self.fleet.assign(self.rng.choice(self.fleet.nodes))
        for node in self.fleet.nodes:
            if self.rng.random() < 0.5:
                node.learn()
        self.press(duration_ms=200, core=False)
        self.press()

    def restart_node(self):
        self.rng.choice(self.fleet.nodes).restart()
        self.press()


@pytest.mark.parametrize('seed', range(SEEDS))
def test_no_order_of_events_gives_an_allowance_out_twice(monkeypatch, seed):
    rng = random.Random(seed)
    rate_per_s = rng.choice((5.0, 20.0, 77.0, 200.0))
    burst = int(rate_per_s * rng.choice((1, 2)))
    fleet = Fleet(
        monkeypatch,
        rng.choice((3, 5, 8, 15)),
        rate_per_s,
        burst,
        least_wait_ms=0,
        has_shares=True,
    )
    try:
        fleet.assign(fleet.nodes[0])
        fleet.learn()
        fleet.run_for(START_DELAY_MS + 3_000)
        play = Play(fleet, rng)
        events = (
            play.press,
            play.lose_quorum,
            play.freeze_owner,
            play.kill_owner,
            play.cut_one_way,
            play.move,
            play.restart_node,
        )
        for _ in range(EVENTS):
            rng.choice(events)()
        play.press()
        limit = (rate_per_s * WINDOW_MS / 1_000 + burst) * (1 + EXCESS)
        assert most_in_window(fleet.uses) <= limit + TOLERANCE
        assert [job.exception for job in fleet.jobs if job.exception] == []
    finally:
        fleet.close()


def most_in_window(uses):
    """Return the most uses in one window."""
    uses = sorted(uses)
    first = most = 0
    for last, at_ms in enumerate(uses):
        while at_ms - uses[first] > WINDOW_MS:
            first += 1
        most = max(most, last - first + 1)
    return most
