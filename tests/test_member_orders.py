"""
Control hosts that are lost, frozen, cut off and replaced in any order.  Once
the last successor has had its time, as many disks may be lost as before.
"""

import os
import random

from member_model import CATCH_UP_MS
from member_model import STEP_MS
from member_model import Group
import pytest

ORDERS = int(os.environ.get('DAMASKLANDING_MEMBER_ORDERS', '500'))
BATCHES = 5
EVENTS = 7
STOP_TIMEOUT_MS = 2_000


def choose_running(group):
    running = [h for h in group.hosts.values() if group.runs(h)]
    return group.luck.choice(running)


def replace_lost(group, pending):
    """Lose a host; its successor starts after a while."""
    host = choose_running(group)
    group.lose(host)
    wait_ms = group.luck.choice((1_000, 2_000, 2_700))
    pending.append((group.now_ms + wait_ms, lambda: group.succeed(host)))


def replace_planned(group, pending):
    """Start a successor first and then stop the host that it replaces."""
    host = choose_running(group)
    successor = group.new_host()
    successor.counts_until_ms = group.now_ms + CATCH_UP_MS
    group.note(f'{successor.name} starts before {host.name} stops')

    wait_ms = group.luck.choice((1_000, 2_000, 2_700))
    stop_ms = group.now_ms + wait_ms

    def stop():
        is_last_try = group.now_ms >= stop_ms + STOP_TIMEOUT_MS
        if host.state == 'up' and not group.stop(host, is_last_try):
            pending.append((group.now_ms + STEP_MS, stop))

    pending.append((stop_ms, stop))


def suspend(group, pending):
    host = choose_running(group)
    group.suspend(host, group.luck.choice(('frozen', 'cut')))
    wait_ms = group.luck.choice((500, 1_500, 4_000, 7_000))
    pending.append((group.now_ms + wait_ms, lambda: group.resume(host)))


def kill(group, _pending):
    """Kill a process, which is back at once with its disk."""
    host = choose_running(group)
    group.note(f'{host.name} is killed')
    host.ready_ms = group.now_ms + 1_000
    host.counts_until_ms = host.ready_ms + CATCH_UP_MS


KINDS = (replace_lost, replace_lost, replace_planned, suspend, kill)


def play(group, end_ms=float('inf')):
    """Play some events, until none is pending or until a given time."""
    pending = []
    left = EVENTS
    while (left or pending or group.counted_lost()) and group.now_ms < end_ms:
        due = [task for task in pending if task[0] <= group.now_ms]
        for task in due:
            pending.remove(task)
            task[1]()
        lost = group.counted_lost()
        if left and lost < group.tolerance and group.luck.random() < 0.2:
            left -= 1
            group.luck.choice(KINDS)(group, pending)
        group.step()
    group.run_for(STEP_MS)


def check_bears_lost_disks(group):
    assert group.borne() >= group.tolerance, group.events
    assert group.write(), group.events
    written = group.written
    present = [h for h in group.hosts.values() if h.state == 'up']
    members = {m.name for m in group.membership(group.leader).current}
    candidates = [h for h in present if h.name in members]
    group.power_off(group.luck.sample(candidates, group.tolerance))
    group.run_for(8_000)
    assert group.leader is not None, group.events
    kept = {entry.write for entry in group.leader.log}
    assert written in kept, group.events
    group.run_for(4_000)
    assert group.borne() >= group.tolerance, group.events


@pytest.mark.parametrize(
    'count,batch', [(5, 0), (5, 1), (5, 2), (3, 3), (7, 4)]
)
def test_group_bears_its_losses_after_any_order_of_replacements(count, batch):
    for number in range(ORDERS // BATCHES):
        group = Group(f'{batch}/{number}', count)
        group.run_for(2_000)
        play(group)
        check_bears_lost_disks(group)


def power_off_now(group):
    """Stop all hosts; as many lose their disks as may be lost yet."""
    may_lose = max(group.tolerance - group.counted_lost(), 0)
    running = [host for host in group.hosts.values() if group.runs(host)]
    group.power_off(group.luck.sample(running, may_lose))
    for host in group.hosts.values():
        if host.state in ('frozen', 'cut'):
            group.resume(host)


@pytest.mark.parametrize('count', (3, 5, 7))
def test_power_loss_amid_replacements_keeps_what_was_confirmed(count):
    for number in range(ORDERS // BATCHES):
        group = Group(f'amid/{number}', count)
        group.run_for(2_000)
        play(group, 2_000 + 250 * group.luck.randrange(1, 60))
        confirmed = group.write()
        written = group.written
        power_off_now(group)
        group.run_for(8_000)
        assert group.leader is not None, group.events
        kept = {entry.write for entry in group.leader.log}
        assert written in kept or not confirmed, group.events


def test_seven_hosts_bear_three_losses_after_replacements_in_a_row():
    group = Group('x/457', 7)
    group.run_for(2_000)
    play(group)
    check_bears_lost_disks(group)


@pytest.mark.parametrize('count', (3, 5, 7))
def test_set_number_of_voters_outlasts_leaders(count):
    group = Group(f'set/{count}')
    group.run_for(2_000)
    group.wanted = group.configured_voters = count
    for _ in range(2):
        group.new_host()
    group.run_for(6_000)
    for _ in range(3):
        members = group.membership(group.leader).current
        assert sum(member.voter for member in members) == count
        assert group.borne() == (count - 1) // 2
        host = group.leader
        group.lose(host)
        group.run_for(3_000)
        group.succeed(host)
        group.run_for(5_000)


def test_random_orders_reach_two_losses_at_once():
    seen = 0
    for number in range(20):
        group = Group(f'reach/{number}')
        group.luck = random.Random(number)
        group.run_for(2_000)
        play(group)
        lost = [event for event in group.events if 'is lost' in event]
        seen += any(
            float(b.split()[0]) - float(a.split()[0]) < 2
            for a, b in zip(lost, lost[1:], strict=False)
        )
    assert seen >= 3
