"""
Case 15: many changes of a grown desired state, then the core is restarted.

The operator grows the desired state and then changes it some hundred times;
each change is acknowledged.  All processes of the core are killed at one
moment and are back within a second.  As on the pages, the platform kills a
process that uses more than ``memoryMb`` and starts it again.  At the end the
operator reads the desired state back.
"""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from fleet3.fleet import Fleet  # noqa: E402
from fleet3.fleet import Operator  # noqa: E402
from fleet3.fleet import Record  # noqa: E402
from fleet3.fleet import main_guard  # noqa: E402
from fleet3.growth import DOWN_S  # noqa: E402
from fleet3.growth import Platform  # noqa: E402
from fleet3.growth import desired_state  # noqa: E402

FIRST_ROUTES = 40
BIG_CONFIGS = 4
ROUTES_OF_BIG_CONFIG = 410
CHANGES = 450
RECOVERY_S = 15.0  # bound `recovery`; the read back goes on for twice that


def run():
    """Play the case; return 1 if the rule was broken, 0 if it held."""
    folder = os.path.dirname(os.path.abspath(__file__))
    record = Record(os.path.join(folder, 'record.txt'))
    trouble = os.environ.get('TROUBLE', '1') != '0'
    fleet = Fleet(record, core=5, first='127.65')
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
            body = desired_state(version + 2, version, routes, change)
            status = operator.order('PUT', '/config', body, 10)
            if status != 200:
                raise RuntimeError(f'change {change}: {status}')
            version += 2
            if change % 50 == 0 or change == BIG_CONFIGS + CHANGES - 1:
                peaks_mb = [round(peak) for peak in platform.peaks.values()]
                record.write(
                    f'change {change}: version {version:08x} of {routes} '
                    f'routes ({len(body)} bytes) is acknowledged; peaks of '
                    f'memory in MB: {peaks_mb}'
                )
        if trouble:
            platform.pause()
            for core in fleet.cores:
                core.signal(signal.SIGKILL)
            for core in fleet.cores:
                core.child.wait()
            time.sleep(DOWN_S)
            for core in fleet.cores:
                core.start()
            platform.resume()
        since = time.monotonic()
        state = operator.read(2 * RECOVERY_S)
        took_s = time.monotonic() - since
        # The peak may come after the first answer.
        while state is not None and time.monotonic() - since < RECOVERY_S:
            time.sleep(0.2)
        if state is not None:
            state = operator.read(2 * RECOVERY_S)
        platform.stop()
        record.write(
            f'read back after {took_s:.1f} s: '
            + ('nothing' if state is None else state['version'])
            + f', acknowledged {version:08x}'
        )
        record.write(f'kills for memory: {platform.kills}')
        record.write(
            'peaks of memory in MB: '
            + str({k: round(v) for k, v in platform.peaks.items()})
        )
    finally:
        fleet.stop()
    broken = state is None or int(state['version'], 16) < version
    record.write('the rule was broken' if broken else 'the rule held')
    return int(broken)


main_guard(run)
