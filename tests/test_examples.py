import glob
import json
import os

import msgspec
import pytest

from damasklanding.fleet.resources import Organisation
from damasklanding.fleet.resources import Profile
from damasklanding.fleet.resources import Service

EXAMPLES_DIR = os.path.join(os.path.dirname(__file__), '..', 'examples')
KINDS = (
    ('profiles', Profile),
    ('services', Service),
    ('organisations', Organisation),
)


@pytest.mark.parametrize(
    'path',
    glob.glob(os.path.join(EXAMPLES_DIR, '*.json')),
    ids=os.path.basename,
)
def test_example_decodes_and_refers_to_what_it_has(path):
    with open(path) as file:
        example = json.load(file)
    found = {
        section: {
            item.name: item
            for item in msgspec.convert(example[section], list[kind])
        }
        for section, kind in KINDS
    }
    for service in found['services'].values():
        for route in service.routes:
            assert route.profile in found['profiles']
    assert example['data_centres']


@pytest.mark.parametrize(
    ('name', 'first', 'later'),
    [
        ('kitami', ('bookings', 'interactive-desk'), 'public-self-service'),
        ('kitami', ('public-self-service',), 'archive-download'),
        ('kilimanjaro', ('bookings',), 'live-stock'),
        ('kilimanjaro', ('live-stock',), 'archive-download'),
    ],
)
def test_important_profiles_are_shed_last(name, first, later):
    with open(os.path.join(EXAMPLES_DIR, f'{name}.json')) as file:
        profiles = json.load(file)['profiles']
    importance = {item['name']: item['importance'] for item in profiles}
    assert all(importance[item] > importance[later] for item in first)
