"""
Two control hosts are lost for good at once and replaced by two empty ones.

Later two of the five that are left lose their disks as all lose power.  The
group can then elect no leader any more, as the lost hosts are still members.
"""

import json
import os
import shutil
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'standin2'))

from fleet import Fleet  # noqa: E402
from fleet import Record  # noqa: E402
from fleet import call  # noqa: E402
from fleet import document  # noqa: E402
from fleet import now  # noqa: E402

REPLACED_AFTER_S = 2.0  # x of replace_core on the site
CATCH_UP_S = 4.0  # `catchUp` of the site
CALM_S = 12.0
DOWN_S = 1.3  # of the final fault
RECOVERY_S = 15.0  # `recovery` of the site
READ_S = 10.0  # the operator asks for so long
ROUTES = [('/puka111/', 'balance-desk', 'idempotent')]


def _main():
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(os.path.join(HERE, 'record.txt'))
    fleet = Fleet(record, ['balance-desk'], control=7)
    try:
        return _play(record, fleet, trouble)
    finally:
        fleet.stop()


def _put(record, fleet, version, base):
    body = document(version, base, ROUTES, ['balance-desk'])
    status, _ = fleet.operator('PUT', '/config', body)
    record.note(f'version {version} got {status}')
    return status == 200


def _play(record, fleet, trouble):
    first, successors = fleet.control[:5], fleet.control[5:]
    for ip in first + fleet.nodes:
        fleet.run(ip)
    if not _put(record, fleet, 1, 0) or not fleet.wait_ready():
        print('could not run')
        return 2
    fleet.bootstrap = False
    time.sleep(3)
    members = first
    if trouble:
        for ip in first[3:]:
            fleet.kill(ip)
        time.sleep(REPLACED_AFTER_S)
        for ip in successors:
            fleet.run(ip)
        members = first[:3] + successors
    time.sleep(CATCH_UP_S + CALM_S)
    if not _put(record, fleet, 2, 1):
        print('could not run: the change after the replacement')
        return 2
    for ip in members:
        fleet.signal(ip, signal.SIGKILL)
    for ip in members:
        fleet.processes[ip].wait()
    for ip in members[:2]:
        shutil.rmtree(os.path.join(fleet.folder, ip, 'data'))
        record.note(f'{ip} has lost its disk')
    time.sleep(DOWN_S)
    for ip in members:
        fleet.run(ip)
    time.sleep(RECOVERY_S)
    return _read_back(record, fleet, members)


def _read_back(record, fleet, members):
    until = now() + READ_S
    found = None
    while found is None and now() < until:
        for ip in members:
            status, _, answer = call(
                (ip, fleet.announce), 'GET', '/config', None, (), 2.0
            )
            record.note(f'{ip} answers a read with {status}')
            if status == 200:
                found = int(json.loads(answer)['version'], 16)
        time.sleep(0.5)
    text = f'read back {RECOVERY_S:.0f} s after the final fault: {found}'
    record.note(f'{text}; version 2 was acknowledged')
    print(f'CONFIG: {text}; version 2 was acknowledged')
    return 0 if found == 2 else 1


if __name__ == '__main__':
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.exit(_main())
