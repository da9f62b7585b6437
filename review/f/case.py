"""A malformed ping of another writer hides that a backend drains."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'common'))

from fleet import DRAIN_S  # noqa: E402
from fleet import Clients  # noqa: E402
from fleet import fleet  # noqa: E402
from fleet import run_case  # noqa: E402
from fleet import trouble  # noqa: E402

CORE_ZONES = ('kushiro', 'asahikawa', 'obihiro', 'kushiro', 'asahikawa')
NODES = (
    ('side-1', 'kushiro', 'balance'),
    ('side-2', 'asahikawa', 'balance'),
    ('side-3', 'obihiro', 'ledger'),
)
AHEAD = 20  # sequence numbers by which the malformed ping is ahead
STAYS_S = 5.0


def play():
    """Play the case; return whether the rule was broken."""
    with fleet(HERE, CORE_ZONES, NODES) as running:
        return _play(running)


def _play(running):
    record = running.record
    leaving = running.backends[0]
    clients = Clients(running, running.nodes[2], '/balance/17', per_s=120)
    time.sleep(3)
    if trouble():
        body = leaving.ping_body()
        body['status']['sequence'] += AHEAD
        del body['info']['zone']
        leaving.tell('PUT', body)
        record.say(f'another writer sent {body}')
    time.sleep(0.3)
    leaving.state = 'draining'
    status = leaving.tell('PUT', leaving.ping_body())
    confirmed_s = record.now_s()
    record.say(f'draining was answered {status} at {confirmed_s:.3f}')
    time.sleep(STAYS_S)
    leaving.stop()
    record.say('the backend ends')
    clients.stop()
    from_s = confirmed_s + DRAIN_S
    late = [at_s for at_s, _, _ in leaving.arrivals if at_s > from_s]
    record.say(f'{len(late)} requests reached the backend after {from_s:.3f}')
    return status == 200 and bool(late)


if __name__ == '__main__':
    run_case(play)
