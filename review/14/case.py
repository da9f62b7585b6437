"""
Case 14: two disks are lost, and two more after the time to catch up.

After some hundred changes two of five control hosts lose their disks and are
back at their addresses, empty.  They count as lost for ``catchUp`` after that.
Then two of the others lose theirs.  At no moment are more than two lost, as
``faultTolerance`` allows.  At the end the operator reads the desired state
back.  Without the trouble no disk is lost.
"""

import os
import shutil
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from fleet3.fleet import Fleet  # noqa: E402
from fleet3.fleet import Operator  # noqa: E402
from fleet3.fleet import Record  # noqa: E402
from fleet3.fleet import main_guard  # noqa: E402
from fleet3.growth import Platform  # noqa: E402
from fleet3.growth import desired_state  # noqa: E402

FIRST_ROUTES = 40
BIG_CONFIGS = 4
ROUTES_OF_BIG_CONFIG = 410
CHANGES = 300
LONGEST_CHANGES_S = 65.0
FEWEST_CHANGES = 100
LOST = 2  # bound `faultTolerance.nodes`
CATCH_UP_S = 4.0  # bound `catchUp`
DOWN_S = 0.5
RECOVERY_S = 15.0  # bound `recovery`


def lose_disks(cores, record):
    """Kill hosts, remove their data and start them again, empty."""
    for core in cores:
        core.signal(signal.SIGKILL)
    for core in cores:
        core.child.wait()
        shutil.rmtree(core.fields['dataDir'])
        record.write(f'{core.name} has lost its disk')
    time.sleep(DOWN_S)
    for core in cores:
        core.start()


def change_often(operator, record):
    """Grow the desired state and change it; return the last version."""
    version = 1
    routes = FIRST_ROUTES
    body = desired_state(1, 0, routes, 0, split=True)
    if operator.order('PUT', '/config', body, 20) != 200:
        raise RuntimeError('the first desired state was not taken')
    ends = time.monotonic() + LONGEST_CHANGES_S
    for change in range(BIG_CONFIGS + CHANGES):
        if change < BIG_CONFIGS:
            routes += ROUTES_OF_BIG_CONFIG
        body = desired_state(version + 2, version, routes, change, split=True)
        status = operator.order('PUT', '/config', body, 10)
        if status != 200:
            raise RuntimeError(f'change {change}: {status}')
        version += 2
        if time.monotonic() > ends:
            break
    record.write(
        f'{change + 1} changes of {routes} routes are acknowledged, the last '
        f'is version {version:08x}'
    )
    if change < FEWEST_CHANGES:
        raise RuntimeError('this machine is too slow for the case')
    return version


def run():
    """Play the case; return 1 if the rule was broken, 0 if it held."""
    folder = os.path.dirname(os.path.abspath(__file__))
    record = Record(os.path.join(folder, 'record.txt'))
    trouble = os.environ.get('TROUBLE', '1') != '0'
    fleet = Fleet(record, core=5, first='127.64')
    try:
        fleet.start()
        platform = Platform(fleet, record)
        operator = Operator(fleet)
        version = change_often(operator, record)
        platform.stop()
        if trouble:
            lose_disks(fleet.cores[:LOST], record)
            time.sleep(CATCH_UP_S)
            lose_disks(fleet.cores[LOST : 2 * LOST], record)
        # A host may answer from a proof of before for a moment.
        time.sleep(CATCH_UP_S)
        since = time.monotonic()
        state = operator.read(2 * RECOVERY_S)
        record.write(
            f'read back after {time.monotonic() - since:.1f} s: '
            + ('nothing' if state is None else state['version'])
            + f', acknowledged {version:08x}'
        )
        record.write(f'kills for memory: {platform.kills}')
        for core in fleet.cores:
            record.write(f'{core.name} runs: {core.child.poll() is None}')
    finally:
        fleet.stop()
    broken = state is None or int(state['version'], 16) < version
    record.write('the rule was broken' if broken else 'the rule held')
    return int(broken)


main_guard(run)
