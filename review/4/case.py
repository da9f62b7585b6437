"""A withdrawal that a frozen machine held comes into force afterwards."""

import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'common'))

from fleet import EVACUATE_S  # noqa: E402
from fleet import STABLE_WINDOW_S  # noqa: E402
from fleet import CannotRun  # noqa: E402
from fleet import Clients  # noqa: E402
from fleet import fleet  # noqa: E402
from fleet import run_case  # noqa: E402

ZONE = 'kushiro'
#: With TROUBLE=0 the case plays without its disruption.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
CORE_ZONES = ('kushiro', 'asahikawa', 'obihiro', 'kushiro', 'asahikawa')
NODES = (
    ('side-1', 'kushiro', 'balance'),
    ('side-2', 'asahikawa', 'balance'),
    ('side-3', 'obihiro', 'ledger'),
)
FREEZE_S = 3.5
WATCH_S = 6.0


def play():
    """Play the case; return whether the rule was broken."""
    with fleet(HERE, CORE_ZONES, NODES) as running:
        return _play(running)


def _play(running):
    record = running.record
    entry = running.nodes[2]
    emptied = running.backends[0]
    clients = Clients(running, entry, '/balance/17', per_s=40)
    path = f'/evacuation/{ZONE}'
    time.sleep(1)
    running.order('POST', path, first=running.core[1])
    time.sleep(1)
    frozen = running.core[3]
    if TROUBLE:
        running.signal(frozen, signal.SIGSTOP)
    frozen_s = record.now_s()
    time.sleep(0.2)
    running.order('DELETE', path, first=frozen)
    time.sleep(0.2)
    status, _ = running.order('POST', path, first=running.core[1])
    if status != 200:
        raise CannotRun('the evacuation was not confirmed')
    confirmed_s = record.now_s()
    record.say(f'the evacuation is in force since {confirmed_s:.3f}')
    time.sleep(max(0, frozen_s + FREEZE_S - record.now_s()))
    if TROUBLE:
        running.signal(frozen, signal.SIGCONT)
    thawed_s = record.now_s()
    from_s = max(confirmed_s + EVACUATE_S, thawed_s + STABLE_WINDOW_S) + 0.2
    time.sleep(from_s + WATCH_S - record.now_s())
    clients.stop()
    late = [at_s for at_s, _, _ in emptied.arrivals if at_s > from_s]
    served = sum(1 for at_s, _, s in clients.sent if s == 200)
    record.say(f'clients sent {len(clients.sent)}, {served} were served')
    record.say(
        f'{len(late)} requests reached the evacuated zone after {from_s:.3f}'
    )
    return bool(late)


if __name__ == '__main__':
    run_case(play)
