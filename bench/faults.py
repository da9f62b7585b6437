"""
bench.faults
~~~~~~~~~~~~

Faults that a combined run draws by seed, two at once.  Each is a function
of a run's :class:`Stage` that brings the fault about and mends it.
"""

from dataclasses import dataclass
from dataclasses import field
import os
import shutil

import gevent

from bench.deployments import ORGANISATIONS
from bench.standin import now_ms
from damasklanding.errors import Conflict
from damasklanding.errors import DamasklandingError
from damasklanding.fleet.commands import PutProfile
from damasklanding.fleet.resources import Profile

__all__ = ['FAULTS', 'Stage', 'draw_faults']

SURGE_FACTOR = 3.0
SLOW_FACTOR = 2.5
FAULT_S = 5.0
OUT_S = 6.0
FREEZE_S = 6.0


@dataclass
class Stage:
    """
    What faults act on and what they leave for the checks.

    :ivar deep_service: the service that slows.
    :ivar surge: factor on the load now.
    """

    fleet: object
    random: object
    deployment: object
    deep_service: str
    surge: float = 1.0
    withdrawn_ms: dict = field(default_factory=dict)
    out_ms: dict = field(default_factory=dict)
    falls_ms: dict = field(default_factory=dict)
    race_errors: int = 0

    def standins_of(self, service):
        """Return the stand-ins of a service."""
        return [s for s in self.fleet.standins if s.service == service]


def surge_and_slow(stage):
    """Slow the deep service down while demand surges."""
    standins = stage.standins_of(stage.deep_service)
    stage.surge = SURGE_FACTOR
    for standin in standins:
        stage.fleet.set_standin(standin, slow=SLOW_FACTOR)
    gevent.sleep(FAULT_S)
    stage.surge = 1.0
    for standin in standins:
        stage.fleet.set_standin(standin, slow=1.0)


def withdraw_key(stage):
    """Withdraw an organisation's key while its callers stay connected."""
    small = [o for o in ORGANISATIONS[4:] if o not in stage.withdrawn_ms]
    organisation = stage.random.choice(small)
    stage.fleet.operator.withdraw_key(organisation)
    stage.withdrawn_ms[organisation] = now_ms()


def fall_cold(stage):
    """Let a backend server fall back into a cold start unannounced."""
    standin = stage.random.choice(stage.standins_of(stage.deep_service))
    stage.fleet.set_standin(standin, warm_up_ms=4_000, cold=True)
    stage.falls_ms[standin.name] = now_ms()


def isolate_control(stage):
    """Freeze a control host, as a silent partition would."""
    host = stage.random.choice(stage.fleet.control)
    host.freeze()
    gevent.sleep(FREEZE_S)
    host.thaw()


def repair_then_lose(stage):
    """Wipe and repair a control host, then lose a second one at once."""
    repaired, lost = stage.random.sample(stage.fleet.control, 2)
    repaired.kill()
    folder = os.path.join(stage.fleet.folder, repaired.name)
    shutil.rmtree(folder, ignore_errors=True)
    repaired.start()
    gevent.sleep(FAULT_S / 2)
    lost.kill()
    gevent.sleep(FAULT_S / 2)
    lost.start()


def race_operators(stage):
    """Let two operators write the same profile with equal numbers."""
    operator = stage.fleet.operator
    profile = stage.deployment.profiles[0]
    for turn in range(5):
        current = operator.view.state.get('profile', profile['name'])
        outcomes = []

        def write(weight, revision=current.revision, outcomes=outcomes):
            fields = {**profile, 'weight': weight}
            command = PutProfile(profile=Profile(**fields))
            try:
                operator.propose(command, expected_revision=revision)
                outcomes.append('won')
            except Conflict:
                outcomes.append('lost')
            except DamasklandingError:
                outcomes.append('unknown')

        gevent.joinall(
            [
                gevent.spawn(write, 2 * turn + 2),
                gevent.spawn(write, 2 * turn + 3),
            ]
        )
        if outcomes.count('won') > 1:
            stage.race_errors += 1
        gevent.sleep(0.5)


def restart_node(stage):
    """Kill a node and start it again."""
    node = stage.random.choice(stage.fleet.nodes)
    node.kill()
    gevent.sleep(1.0)
    node.start()


def silence_links(stage):
    """Make all open connections of two nodes silent for good."""
    for relay in stage.random.sample(stage.fleet.relays, 4):
        relay.silence()


def take_centre_out(stage):
    """Take a data centre out and bring it back."""
    centre = stage.random.choice(stage.deployment.data_centres)
    stage.fleet.operator.set_data_centre(centre, out=True)
    out_ms = now_ms()
    stage.out_ms[centre] = (out_ms, float('inf'))
    gevent.sleep(OUT_S)
    stage.out_ms[centre] = (out_ms, now_ms())
    stage.fleet.operator.set_data_centre(centre, out=False)


FAULTS = (
    surge_and_slow,
    withdraw_key,
    fall_cold,
    isolate_control,
    repair_then_lose,
    race_operators,
    restart_node,
    silence_links,
    take_centre_out,
)
#: Faults of the control hosts; two at once could leave no quorum.
_CONTROL_FAULTS = {isolate_control, repair_then_lose}


def draw_faults(random):
    """Draw two pairs of different faults, none with both control faults."""
    while True:
        drawn = random.sample(FAULTS, 4)
        pairs = [drawn[:2], drawn[2:]]
        if all(set(pair) != _CONTROL_FAULTS for pair in pairs):
            return pairs
