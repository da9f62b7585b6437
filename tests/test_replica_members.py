import os
import random

import gevent
import pytest
from replica_net import Net
from replica_net import eventually

SEEDS = int(os.environ.get('DAMASKLANDING_FUZZ_SEEDS', '2'))
ROUNDS = 3


def disturb(fleet, chance, untouched):
    """Kill, cut and slow hosts, each for a while, until killed."""
    while True:
        gevent.sleep(chance.uniform(0, 0.1))
        names = sorted(set(fleet.replicas) - untouched)
        if not names:
            continue
        name = chance.choice(names)
        fleet.slow_ms = chance.choice([0, 0, 10])
        if chance.random() < 0.5:
            fleet.cut.add(name)
        else:
            fleet.kill(name)
        gevent.sleep(chance.uniform(0, 0.2))
        fleet.cut.discard(name)
        if name in fleet.incarnations and name not in fleet.replicas:
            fleet.start(name)


def keep_proposing(fleet, chance):
    for number in range(100_000):
        name = chance.choice(sorted(fleet.incarnations))
        gevent.spawn(fleet.propose, name, b'%d' % number, 300)
        gevent.sleep(0.01)


def members_are(fleet, names):
    for replica in list(fleet.replicas.values()):
        if replica.confirmed_age_ms() < float('inf'):
            voters = {m.name for m in replica.membership.current if m.voter}
            finished = replica.membership.is_change_complete(
                replica.commit_index
            )
            return finished and voters == names
    return False


def change_until(fleet, action, name, names):
    def done():
        if members_are(fleet, names):
            return True
        fleet.change_members(action, name)
        return members_are(fleet, names)

    eventually(done, 30, 0.02)


@pytest.mark.parametrize('seed', range(SEEDS))
def test_hosts_are_replaced_while_others_fail(tmp_path, seed):
    chance = random.Random(seed)
    fleet = Net(tmp_path, seed=seed)
    load = gevent.spawn(keep_proposing, fleet, chance)
    try:
        for number in range(ROUNDS):
            eventually(fleet.admitted, 30)
            old, new = sorted(fleet.incarnations)[0], f'n{number}'
            lost = chance.random() < 0.5
            if lost:
                fleet.leave(old)
            untouched = {new, old}
            faults = gevent.spawn(disturb, fleet, chance, untouched)
            voters = {*fleet.incarnations, old}
            fleet.join(new)
            change_until(fleet, 'add', new, voters | {new})
            change_until(fleet, 'remove', old, voters - {old} | {new})
            faults.kill()
            if not lost:
                fleet.leave(old)
            fleet.heal()
        load.kill()
        fleet.converge()
        fleet.check_converged()
        assert len(fleet.oracle.acknowledged) > 10
    finally:
        load.kill()
        fleet.close()
