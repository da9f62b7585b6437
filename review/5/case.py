"""A tenant gets its burst twice while the core restarts."""

import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'common'))

from fleet import KEY  # noqa: E402
from fleet import CannotRun  # noqa: E402
from fleet import Clients  # noqa: E402
from fleet import fleet  # noqa: E402
from fleet import run_case  # noqa: E402

#: With TROUBLE=0 the case plays without its disruption.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
CORE_ZONES = ('kushiro', 'asahikawa', 'obihiro', 'kushiro', 'asahikawa')
NODES = (
    ('side-1', 'kushiro', 'balance'),
    ('side-2', 'asahikawa', 'balance'),
    ('side-3', 'obihiro', 'balance'),
    ('side-4', 'obihiro', 'ledger'),
)
RATE_PER_S = 77
BURST = 77
WINDOW_S = 5.0
EXCESS = 0.1
TOLERANCE = 20
PRESS_X = 4  # times its rate that the tenant asks
RESTART_S = 0.3


def play():
    """Play the case; return whether the rule was broken."""
    with fleet(HERE, CORE_ZONES, NODES) as running:
        return _play(running)


def _play(running):
    record = running.record
    tenant = {
        'name': 'pulo780',
        'apiKeys': [KEY],
        'priority': 1,
        'ratePerS': RATE_PER_S,
        'burst': BURST,
    }
    if running.put_config(running.document(tenants=[tenant])) != 200:
        raise CannotRun('the limit was not confirmed')
    time.sleep(10)  # the limit binds, and the bucket is full
    record.say('the tenant begins to press')
    per_node = PRESS_X * RATE_PER_S / len(running.nodes)
    clients = [
        Clients(running, node, '/balance/17', per_node, timeout_ms=1_000)
        for node in running.nodes
    ]
    time.sleep(1.0)
    if TROUBLE:
        for machine in running.core:
            running.signal(machine, signal.SIGKILL)
        for machine in running.core:
            machine.process.wait()
        time.sleep(RESTART_S)
        for machine in running.core:
            running.run(machine)
    time.sleep(11)
    for one in clients:
        one.stop()
    sent = {i: at_s for one in clients for at_s, i, _ in one.sent}
    runs = [
        (sent[i], at_s)
        for backend in running.backends
        for at_s, i, _ in backend.arrivals
        if i in sent
    ]
    most, from_s = _most_in_window(runs)
    limit = RATE_PER_S * WINDOW_S + BURST
    limit = limit * (1 + EXCESS) + TOLERANCE
    record.say(f'{len(sent)} requests were sent, {len(runs)} ran')
    record.say(
        f'{most} ran in the {WINDOW_S:g} s from {from_s:.3f}; '
        f'{limit:.1f} are allowed'
    )
    return most > limit


def _most_in_window(runs):
    """Return the most that were sent and ran in a window, and its start."""
    best = (0, 0.0)
    for from_s, _ in runs:
        count = sum(
            from_s <= sent_s and at_s <= from_s + WINDOW_S
            for sent_s, at_s in runs
        )
        best = max(best, (count, from_s))
    return best


if __name__ == '__main__':
    run_case(play)
