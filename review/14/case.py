"""
Case 14: a server that has left is in use again after its node restarted.

One of ten servers of a service takes itself out with DELETE, which is
confirmed, and serves on for some seconds, as the pages allow.  The node
beside it is killed and started again.  Then a ping that the server had sent
before it left arrives, seconds late.  Without the trouble the node is not
killed.
"""

import asyncio
import itertools
import json
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from fleet3.fleet import Fleet  # noqa: E402
from fleet3.fleet import Operator  # noqa: E402
from fleet3.fleet import Record  # noqa: E402
from fleet3.fleet import main_guard  # noqa: E402
from fleet3.servers import Server  # noqa: E402
from fleet3.servers import ask  # noqa: E402
from fleet3.servers import new_id  # noqa: E402
from fleet3.servers import request_bytes  # noqa: E402

SERVICE = 'plan-office'
KEY = '6wsjnbanfqasnmgkcuyj'
WORK_S = 0.16
RATE_PER_S = 40
NODES = 10
DRAIN_S = 2.0  # bound `drain`
TOUCH_S = 3.0  # bound `stableWindow`
KILL_AFTER_S = 0.3  # the confirmation
DOWN_S = 0.5
LATE_PING_S = 4.5  # after the confirmation; it had been sent before
EXIT_S = 8.0
END_S = 12.0
FEW = 3  # requests beyond the bound that are let pass


def desired_state():
    """Return the only desired state."""
    return json.dumps(
        {
            'version': '00000001',
            'baseVersion': '00000000',
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 67108864,
                'headerTimeout': '3000ms',
                'idleTimeout': '15000ms',
            },
            'tenants': [{'name': 'pulo780', 'apiKeys': [KEY], 'priority': 0}],
            'listeners': [
                {
                    'host': 'hulo84.example',
                    'rules': [
                        {
                            'name': 'r-m2d54xb',
                            'routeType': 'non_idempotent',
                            'targetLatency': '1500ms',
                            'priority': 0,
                            'public': False,
                            'match': {'pathPrefix': '/puka111/'},
                            'action': {
                                'service': SERVICE,
                                'timeout': '5000ms',
                                'maxAttempts': 2,
                            },
                        }
                    ],
                }
            ],
            'clusters': [
                {
                    'name': SERVICE,
                    'healthPath': '/healthz',
                    'maxConnections': 1216,
                    'protocol': 'h1',
                    'tls': False,
                    'warmup': '3s',
                    'warmupPerS': 33.0,
                }
            ],
        }
    ).encode()


class Load:
    """Clients beside the nodes, each with a request of its own."""

    def __init__(self, record, addresses):
        self.answers = []
        self._record = record
        self._addresses = addresses
        self._tasks = set()

    async def run(self, until):
        """Send requests at an even pace."""
        for address in itertools.cycle(self._addresses):
            if time.monotonic() >= until:
                break
            task = asyncio.create_task(self._one(address))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / RATE_PER_S)
        await asyncio.gather(*self._tasks)

    async def _one(self, address):
        request_id = new_id()
        data = request_bytes(
            'POST',
            'hulo84.example',
            f'/puka111/{request_id}',
            request_id,
            5000,
            b'{"plan": 1}',
            KEY,
        )
        answer = await ask(address, data, 7.0)
        self.answers.append((request_id, answer))
        self._record.write(
            f'{request_id} is answered {answer.status or answer.note}, '
            f'signature {answer.signature or "none"}'
        )


async def play(fleet, record, trouble):
    """Play the case; return the requests that came too late."""
    loop = asyncio.get_running_loop()
    fleet.start()
    await asyncio.sleep(3)
    status = await loop.run_in_executor(
        None, Operator(fleet).order, 'PUT', '/config', desired_state(), 20
    )
    if status != 200:
        raise RuntimeError(f'the desired state: {status}')
    near = fleet.sides[0]
    leaving = Server(fleet, near, SERVICE, 'leaving', work_s=WORK_S)
    await leaving.start()
    for side in fleet.sides[1:]:
        await Server(fleet, side, SERVICE, side.name, work_s=WORK_S).start()
    load = Load(
        record,
        [side.fields['bindAddresses']['outbound'] for side in fleet.sides[:2]],
    )
    sending = asyncio.create_task(load.run(time.monotonic() + 6 + END_S))
    await asyncio.sleep(6)
    if not leaving.runs:
        raise RuntimeError('the server got no work before it left')
    late_ping = leaving.report()
    leaving.stop_announcing()
    status = await leaving.call_control('DELETE')
    left = time.monotonic()
    if status != 200:
        raise RuntimeError(f'the departure: {status}')
    record.write('the departure is confirmed')
    await asyncio.sleep(KILL_AFTER_S)
    if trouble:
        near.kill()
        await asyncio.sleep(DOWN_S)
        near.start()
    await asyncio.sleep(left + LATE_PING_S - time.monotonic())
    status = await leaving.call_control('PUT', late_ping)
    record.write(f'a ping of before arrives, answered {status}')
    await asyncio.sleep(left + EXIT_S - time.monotonic())
    record.write('the server that has left exits')
    await leaving.stop()
    await sending
    first = left + KILL_AFTER_S + DOWN_S + TOUCH_S
    return [
        (round(at - left, 2), request.id)
        for at, request in leaving.runs
        if at > max(left + DRAIN_S, first)
    ], load.answers


def run():
    """Play the case; return 1 if the rule was broken, 0 if it held."""
    folder = os.path.dirname(os.path.abspath(__file__))
    record = Record(os.path.join(folder, 'record.txt'))
    trouble = os.environ.get('TROUBLE', '1') != '0'
    fleet = Fleet(record, core=3, services=(SERVICE,) * NODES, first='127.64')
    try:
        late, answers = asyncio.run(play(fleet, record, trouble))
    finally:
        fleet.stop()
    record.write(
        f'{len(late)} requests reached the server later than {DRAIN_S} s '
        f'after the confirmation, by machines in touch: {late[:5]}'
    )
    lost = [one for one in answers if one[1].status not in (200, 429, 503)]
    record.write(f'{len(answers)} answers, {len(lost)} neither 200, 429, 503')
    broken = len(late) > FEW
    record.write('the rule was broken' if broken else 'the rule held')
    return int(broken)


main_guard(run)
