import os
import random

import gevent
import pytest
from replica_net import ReplicaNetwork
from replica_net import eventually

SEEDS = int(os.environ.get('DAMASKLANDING_FUZZ_SEEDS', '2'))
ROUNDS = 3


def inject_faults(network, rng, untouched):
    """Kill, isolate and slow down random hosts until this is killed."""
    while True:
        gevent.sleep(rng.uniform(0, 0.1))
        names = sorted(set(network.replicas) - untouched)
        if not names:
            continue
        name = rng.choice(names)
        network.max_delay_ms = rng.choice([0, 0, 10])
        if rng.random() < 0.5:
            network.isolated_hosts.add(name)
        else:
            network.kill(name)
        gevent.sleep(rng.uniform(0, 0.2))
        network.isolated_hosts.discard(name)
        if name in network.incarnations and name not in network.replicas:
            network.start(name)


def keep_proposing(network, rng):
    for number in range(100_000):
        name = rng.choice(sorted(network.incarnations))
        gevent.spawn(network.propose, name, b'%d' % number, 300)
        gevent.sleep(0.01)


def voters_are(network, names):
    for replica in list(network.replicas.values()):
        if replica.confirmed_age_ms() < float('inf'):
            voters = {m.name for m in replica.membership.current if m.voter}
            finished = replica.membership.is_change_complete(
                replica.commit_index
            )
            return finished and voters == names
    return False


def change_members_until(network, action, name, names):
    def done():
        if voters_are(network, names):
            return True
        network.change_members(action, name)
        return voters_are(network, names)

    eventually(done, 30, 0.02)


@pytest.mark.parametrize('seed', range(SEEDS))
def test_hosts_are_replaced_while_others_fail(tmp_path, seed):
    rng = random.Random(seed)
    network = ReplicaNetwork(tmp_path, seed=seed)
    load = gevent.spawn(keep_proposing, network, rng)
    try:
        for number in range(ROUNDS):
            eventually(network.all_admitted, 30)
            old, new = sorted(network.incarnations)[0], f'n{number}'
            is_lost = rng.random() < 0.5
            if is_lost:
                network.leave(old)
            untouched = {new, old}
            faults = gevent.spawn(inject_faults, network, rng, untouched)
            voters = {*network.incarnations, old}
            network.join(new)
            change_members_until(network, 'add', new, voters | {new})
            change_members_until(
                network, 'remove', old, voters - {old} | {new}
            )
            faults.kill()
            if not is_lost:
                network.leave(old)
            network.heal()
        load.kill()
        network.converge()
        network.check_converged()
        assert len(network.oracle.acknowledged) > 10
    finally:
        load.kill()
        network.close()
