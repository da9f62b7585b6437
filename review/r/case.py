"""A lost answer makes the node send to a backend that has drained."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'common'))

from fleet import DRAIN_S  # noqa: E402
from fleet import fleet  # noqa: E402
from fleet import run_case  # noqa: E402
from fleet import trouble  # noqa: E402

CORE_ZONES = ('kushiro', 'asahikawa', 'obihiro', 'kushiro', 'asahikawa')
NODES = (
    ('side-1', 'kushiro', 'balance'),
    ('side-2', 'asahikawa', 'balance'),
    ('side-3', 'obihiro', 'ledger'),
)
TIMEOUT_MS = 5_000
WORK_S = 2.5
LONG = 60  # requests that run when the backend begins to leave
SHORT_ROUNDS = 4
LOST_EACH = 10  # the answer of each of so many is lost
STAYS_S = 5.0


def play():
    """Play the case; return whether the rule was broken."""
    with fleet(HERE, CORE_ZONES, NODES) as running:
        return _play(running)


def _play(running):
    record = running.record
    entry = running.nodes[2]
    leaving = running.backends[0]
    running.put_config(running.document(timeout=f'{TIMEOUT_MS}ms'))
    time.sleep(3)
    lock = threading.Lock()
    ran = {'long': 0}

    def loses(path):
        if not trouble() or not path.startswith('/balance/long'):
            return False
        with lock:
            ran['long'] += 1
            return ran['long'] % LOST_EACH == 1

    def work_s_of(path):
        return WORK_S if path.startswith('/balance/long') else 0.2

    for backend in running.backends[:2]:
        backend.work_s_of = work_s_of
    leaving.loses = loses
    # Short requests at the same time leave connections for the long ones.
    for _ in range(SHORT_ROUNDS):
        _send_many(running, entry, '/balance/short', 2 * LONG)
    time.sleep(0.5)
    record.say(f'{LONG} long requests are sent')
    answers = []
    sender = threading.Thread(
        target=_send_many,
        args=(running, entry, '/balance/long', LONG, answers),
    )
    sender.start()
    time.sleep(0.2)
    leaving.state = 'draining'
    status = leaving.tell('PUT', leaving.ping_body())
    confirmed_s = record.now_s()
    record.say(f'draining was answered {status} at {confirmed_s:.3f}')
    time.sleep(STAYS_S)
    leaving.stop()
    record.say('the backend ends')
    sender.join()
    from_s = confirmed_s + DRAIN_S
    late = [(at_s, i) for at_s, i, _ in leaving.arrivals if at_s > from_s]
    record.say(f'statuses of the long requests: {sorted(answers)}')
    record.say(f'{len(late)} requests reached the backend after {from_s:.3f}')
    return status == 200 and bool(late)


def _send_many(running, entry, path, count, answers=None):
    def send():
        _, status = running.request(entry, path, TIMEOUT_MS)
        if answers is not None:
            answers.append(status)

    threads = [threading.Thread(target=send) for _ in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


if __name__ == '__main__':
    run_case(play)
