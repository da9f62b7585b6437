"""
Case 15: many changes, each of the time-outs of all routes.

The operator grows the desired state and then changes the time-outs of all
routes some hundred times.  Nothing else happens.  As on the pages, the
platform kills a process that uses more than ``memoryMb`` and starts it again.
At the end the operator reads the desired state back.  Without the trouble
each change is of one route only.
"""

import os
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
CHANGES = 450
ORDER_S = 20.0  # an order is given up after that; the bound `ack` is 4 s
RECOVERY_S = 15.0
TIMES = 3  # the rule: on half of the core, three times in the day
LENGTH_S = 105.0


def is_loop(platform):
    """Return whether half of the core has ended three times or more."""
    ended = [count >= TIMES for count in platform.kills.values()]
    return 2 * sum(ended) >= len(ended)


def run():
    """Play the case; return 1 if the rule was broken, 0 if it held."""
    folder = os.path.dirname(os.path.abspath(__file__))
    record = Record(os.path.join(folder, 'record.txt'))
    trouble = os.environ.get('TROUBLE', '1') != '0'
    fleet = Fleet(record, core=3, first='127.65')
    ends = time.monotonic() + LENGTH_S
    try:
        fleet.start()
        platform = Platform(fleet, record)
        operator = Operator(fleet)
        version = 1
        status = operator.order(
            'PUT', '/config', desired_state(1, 0, FIRST_ROUTES, 0), 20
        )
        if status != 200:
            raise RuntimeError(f'the first desired state: {status}')
        routes = FIRST_ROUTES
        for change in range(BIG_CONFIGS + CHANGES):
            if change < BIG_CONFIGS:
                routes += ROUTES_OF_BIG_CONFIG
            moved = routes if trouble else 1
            body = desired_state(version + 2, version, routes, change, moved)
            status = operator.order('PUT', '/config', body, ORDER_S)
            if status != 200:
                record.write(
                    f'change {change}, version {version + 2:08x}: no '
                    f'confirmation in {ORDER_S:.0f} s, last answer {status}'
                )
                break
            version += 2
            if change % 50 == 0 or change == BIG_CONFIGS + CHANGES - 1:
                peaks_mb = [round(peak) for peak in platform.peaks.values()]
                record.write(
                    f'change {change}: version {version:08x} of {routes} '
                    f'routes ({len(body)} bytes) is acknowledged; peaks of '
                    f'memory in MB: {peaks_mb}'
                )
        state = operator.read(RECOVERY_S)
        record.write(
            'read back: '
            + ('nothing' if state is None else state['version'])
            + f', acknowledged {version:08x}'
        )
        while trouble and time.monotonic() < ends and not is_loop(platform):
            time.sleep(0.2)
        platform.stop()
        record.write(f'kills for memory: {platform.kills}')
    finally:
        fleet.stop()
    broken = is_loop(platform)
    record.write('the rule was broken' if broken else 'the rule held')
    return int(broken)


main_guard(run)
