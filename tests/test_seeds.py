import os

import pytest

from damasklanding.seeds import seed_hosts_reader
from damasklanding.settings import load_settings
from damasklanding.settings import read_settings_file

SETTINGS_TEMPLATE = """\
# A node on the platform.
DAMASKLANDING_INTERFACE=platform
DAMASKLANDING_NAME=n1
DAMASKLANDING_DATA_CENTRE=kushiro
DAMASKLANDING_PEER_ADDRESS=10.1.0.1:7000
DAMASKLANDING_SECRET=0123456789abcdef
DAMASKLANDING_CALLER_ADDRESS=10.1.0.1:8548
DAMASKLANDING_ANNOUNCE_ADDRESS=10.1.0.1:8540
DAMASKLANDING_READINESS_ADDRESS=10.1.0.1:8546
DAMASKLANDING_BACKEND_SERVICE=desk
DAMASKLANDING_SEED_HOSTS={}
"""


@pytest.fixture()
def path(tmp_path):
    return tmp_path / 'node.env'


def write_settings(path, seeds):
    new_file = path.with_suffix('.new')
    new_file.write_text(SETTINGS_TEMPLATE.format(seeds))
    os.replace(new_file, path)


def hosts_reader(path):
    settings = load_settings(read_settings_file(str(path)), str(path))
    return seed_hosts_reader(settings)


def test_seeds_name_control_hosts_by_their_ip_number(path):
    write_settings(path, '10.1.0.32:8540,10.2.0.28:8540')
    assert hosts_reader(path)() == (
        ('10.1.0.32', '10.1.0.32:7000'),
        ('10.2.0.28', '10.2.0.28:7000'),
    )


def test_changed_seeds_are_read_again(path):
    write_settings(path, '10.1.0.32:8540')
    read_hosts = hosts_reader(path)
    write_settings(path, '10.1.0.33:8540')
    assert read_hosts() == (('10.1.0.33', '10.1.0.33:7000'),)


def test_unreadable_change_keeps_the_known_seeds(path):
    write_settings(path, '10.1.0.32:8540')
    read_hosts = hosts_reader(path)
    write_settings(path, 'nowhere')
    assert read_hosts() == (('10.1.0.32', '10.1.0.32:7000'),)
    os.remove(path)
    assert read_hosts() == (('10.1.0.32', '10.1.0.32:7000'),)
