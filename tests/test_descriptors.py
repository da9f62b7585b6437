"""Crowds at all listeners of a node that has few descriptors."""

from contextlib import ExitStack
from functools import partial
import resource

from crowd_clients import send_nothing
from crowd_fleet import CROWD_TIMEOUT_S
from crowd_fleet import HOLD_S
from crowd_fleet import is_served
from crowd_fleet import running_fleet
from crowds import crowd
import gevent
from platform_fleet import ANNOUNCE_PORT
from platform_fleet import CALLER_PORT
from platform_fleet import PEER_PORT
from platform_fleet import READY_PORT
from platform_fleet import PlatformFleet
from platform_fleet import eventually
import pytest

DESCRIPTORS = 256
PORTS = (ANNOUNCE_PORT, CALLER_PORT, PEER_PORT, READY_PORT)


class FewDescriptorsFleet(PlatformFleet):
    """A fleet whose processes have the default limits and few descriptors."""

    def __init__(self, folder, services):
        super().__init__(folder, services)
        self.slots = [16] * len(services)

    def run(self, ip):
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))
        try:
            super().run(ip)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    with running_fleet(tmp_path_factory, FewDescriptorsFleet) as made:
        yield made


@pytest.mark.parametrize('ports', [*((port,) for port in PORTS), PORTS])
def test_crowd_that_would_take_all_descriptors_shuts_nobody_out(fleet, ports):
    ip = fleet.nodes[0]
    silent = partial(send_nothing, '', '')
    with ExitStack() as stack:
        clients = []
        for port in ports:
            clients += stack.enter_context(
                crowd(ip, port, DESCRIPTORS, silent)
            )
        gevent.joinall(clients, timeout=CROWD_TIMEOUT_S)
        gevent.sleep(HOLD_S)
        eventually(lambda: is_served(fleet, 0, ANNOUNCE_PORT))
        # Requests to the other node's backend server need a connection of
        # the node's own.
        eventually(lambda: fleet.request(0, '/once/1')[0] == 200)
    eventually(lambda: is_served(fleet, 0, ANNOUNCE_PORT))
    assert fleet.processes[ip].poll() is None
