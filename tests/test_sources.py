import random

from damasklanding.fleet.resources import Backend
from damasklanding.fleet.resources import Change
from damasklanding.fleet.resources import ControlHost
from damasklanding.fleet.resources import DataCentre
from damasklanding.node.sources import WatchSources
from damasklanding.node.view import FleetView

NEAR, REGION, FAR = '127.0.0.1:1', '127.0.0.2:1', '127.0.0.3:1'
DATA_CENTRES = {NEAR: 'dc-a', REGION: 'dc-b', FAR: 'dc-z', '127.0.0.4:1': ''}


class Fleet:
    """A view with control hosts in three data centres of two regions."""

    def __init__(self, own='dc-a', seeds=()):
        self.clock_ms = 0.0
        self.view = FleetView(lambda: self.clock_ms)
        regions = {'dc-a': 'north', 'dc-b': 'north', 'dc-z': 'south'}
        changes = [
            Change.put('data_centre', DataCentre(name=name, region=region))
            for name, region in regions.items()
        ]
        changes += [
            Change.put(
                'control_host',
                ControlHost(
                    name=f'c{number}',
                    peer_address=address,
                    data_centre=data_centre,
                ),
            )
            for number, (address, data_centre) in enumerate(
                DATA_CENTRES.items()
            )
        ]
        self.view.apply(1, 1, changes)
        self.sources = WatchSources(
            self.view, 'me', own, lambda: seeds, random.Random(1)
        )


def test_own_data_centre_comes_first_then_the_own_region():
    fleet = Fleet()
    for _ in range(20):
        assert fleet.sources.ordered()[:2] == [NEAR, REGION]
    assert fleet.sources.nearest() == NEAR
    assert fleet.sources.is_near(NEAR)
    assert not fleet.sources.is_near(REGION)


def test_equal_sources_are_spread():
    fleet = Fleet(own='')
    assert len({tuple(fleet.sources.ordered()) for _ in range(99)}) > 12
    assert fleet.sources.nearest() is None


def test_failed_source_comes_last_and_then_first_again():
    fleet = Fleet()
    fleet.sources.note_failed(NEAR)
    assert fleet.sources.nearest() is None
    assert fleet.sources.ordered()[-1] == NEAR
    fleet.clock_ms = 3_000.0
    assert fleet.sources.ordered()[0] == NEAR


def test_source_without_proof_comes_before_those_that_failed():
    fleet = Fleet()
    fleet.sources.note_failed(FAR)
    fleet.sources.note_stale(NEAR)
    assert fleet.sources.ordered()[0] == REGION
    assert fleet.sources.ordered()[-2:] == [NEAR, FAR]
    assert fleet.sources.nearest() is None
    fleet.clock_ms = 1_500.0
    assert fleet.sources.nearest() == NEAR


def test_seeds_that_are_not_listed_are_tried_too():
    fleet = Fleet(seeds=[('s', '127.0.9.9:1')])
    assert '127.0.9.9:1' in fleet.sources.ordered()
    assert fleet.sources.ordered()[0] == NEAR


def test_relays_come_last_and_near_ones_before_distant_ones():
    fleet = Fleet()
    changes = [
        Change.put(
            'backend',
            Backend(
                name=f'n{number}',
                instance='i',
                data_centre='dc-a' if number == 7 else 'dc-z',
                peer_address=f'127.0.1.{number}:1',
            ),
        )
        for number in range(9)
    ]
    fleet.view.apply(1, 2, changes)
    ordered = fleet.sources.ordered()
    assert ordered[4] == '127.0.1.7:1'
    assert len(ordered) == 7
