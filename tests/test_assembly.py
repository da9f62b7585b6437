from nodes import FakeBackend
from nodes import fleet
import pytest

from damasklanding.fleet.resources import Change
from damasklanding.fleet.resources import DataCentre
from damasklanding.node.registration import Announcement
from damasklanding.platform.headers import BACKEND_DIALECT
from damasklanding.platform.headers import CALLER_DIALECT


def announcement(cold):
    return Announcement(
        'desk', 'in', cold, 50, 'i-1', 900 if cold else 0, 1_000
    )


@pytest.mark.parametrize('cold', [False, True])
@pytest.mark.parametrize('cold_before', [False, True])
def test_server_of_a_returned_data_centre_is_cold_only_until_it_says_otherwise(
    cold, cold_before
):
    dialects = (CALLER_DIALECT, BACKEND_DIALECT)
    with fleet() as nodes:
        site = nodes.add('server', FakeBackend(), dialects=dialects)
        nodes.publish_all()
        site.node.announce(announcement(False))
        nodes.take_out('dc-a')
        site.node.announce(announcement(cold_before))
        resource = DataCentre(name='dc-a', out=False)
        nodes.publish(Change.put('data_centre', resource))
        assert site.gate.announced == (True, 0)
        site.node.announce(announcement(cold))
        assert site.gate.announced == (cold, 50)
