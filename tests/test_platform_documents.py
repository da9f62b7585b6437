import copy
import json
import zlib

import pytest

from damasklanding.errors import BadInput
from damasklanding.platform.documents import decode_configuration

RULE = {
    'name': 'r-1',
    'routeType': 'idempotent',
    'targetLatency': '1500ms',
    'priority': 2,
    'public': False,
    'match': {'pathPrefix': '/balance/'},
    'action': {
        'weightedServices': [
            {'service': 'desk', 'weight': 90},
            {'service': 'ledger', 'weight': 10},
        ],
        'timeout': '0.8s',
        'maxAttempts': 2,
    },
}
DOCUMENT = {
    'version': '0000000c',
    'baseVersion': '00000005',
    'limits': {'idleTimeout': '15000ms', 'maxHeaderBytes': 16384},
    'tenants': [
        {
            'name': 'lender',
            'apiKeys': ['k1', 'k2'],
            'priority': 1,
            'ratePerS': 77,
            'burst': 78,
        },
        {'name': 'utility', 'apiKeys': ['k3'], 'ratePerS': 0, 'burst': 0},
    ],
    'listeners': [{'host': 'Hulo.example', 'rules': [RULE]}],
    'clusters': [
        {
            'name': name,
            'healthPath': '/healthz',
            'maxConnections': 532,
            'protocol': 'h1',
            'tls': False,
            'warmup': '3s',
            'warmupPerS': 12.0,
        }
        for name in ('desk', 'ledger')
    ],
}


def decoded(change=None):
    document = copy.deepcopy(DOCUMENT)
    if change is not None:
        change(document)
    return decode_configuration(json.dumps(document).encode())


def test_document_becomes_a_command():
    data = json.dumps(DOCUMENT).encode()
    command = decode_configuration(data)
    assert command.base_version == 5
    assert command.configuration.version == 12
    assert command.configuration.keyed
    assert command.configuration.idle_timeout_ms == 15_000
    assert zlib.decompress(command.document) == data
    (route,) = command.host_routes
    assert (route.host, route.prefix) == ('hulo.example', '/balance/')
    assert [(p.service, p.weight) for p in route.parts] == [
        ('desk', 90),
        ('ledger', 10),
    ]
    (profile,) = command.profiles
    assert route.profile == profile.name
    assert profile.idempotent
    assert profile.timeout_ms == 800
    assert profile.objective_latency_ms == 1_500
    assert profile.retries == 1
    assert profile.importance == 1
    assert command.services[0].cold_rate_per_s == 12.0


def test_organisations_hold_digests_only():
    command = decoded()
    lender, utility = command.organisations
    assert (lender.rate_per_s, lender.burst_requests) == (77, 78)
    assert lender.importance == 2
    assert not lender.unlimited
    assert utility.unlimited
    assert utility.importance is None
    assert all(len(key.digest) == 64 for key in lender.keys)
    assert 'k1' not in repr(command.organisations)


def test_document_without_organisations_needs_no_keys():
    command = decoded(lambda d: d.pop('tenants'))
    assert not command.configuration.keyed


def test_equal_rules_share_a_profile():
    def change(document):
        other = copy.deepcopy(RULE)
        other['match']['pathPrefix'] = '/other/'
        document['listeners'][0]['rules'].append(other)

    command = decoded(change)
    assert len(command.host_routes) == 2
    assert len(command.profiles) == 1


def rule_of(document):
    return document['listeners'][0]['rules'][0]


INVALID_DOCUMENTS = [
    ('unknown service', lambda d: rule_of(d)['action'].update(service='x')),
    (
        'share',
        lambda d: d['listeners'][0]['rules'].append(rule_of(d)),
    ),
    (
        'weight',
        lambda d: rule_of(d)['action']['weightedServices'][0].update(
            weight=-1
        ),
    ),
    ('timeout', lambda d: rule_of(d)['action'].update(timeout='0ms')),
    ('timeout', lambda d: rule_of(d)['action'].update(timeout='601s')),
    ('timeout', lambda d: rule_of(d)['action'].update(timeout='soon')),
    ('targetLatency', lambda d: rule_of(d).update(targetLatency='60800ms')),
    ('share a key', lambda d: d['tenants'][1].update(apiKeys=['k1'])),
    ('twice', lambda d: d['tenants'][1].update(name='lender')),
    ('routeType', lambda d: rule_of(d).update(routeType='maybe')),
    ('version', lambda d: d.update(version='12')),
    ('malformed', lambda d: d.update(version=12)),
    ('malformed', lambda d: d.pop('listeners')),
    ('malformed', lambda d: d.update(clusters={})),
    (
        'names no service',
        lambda d: (
            rule_of(d)['action'].clear()
            or rule_of(d)['action'].update(timeout='1s')
        ),
    ),
]


@pytest.mark.parametrize(('words', 'change'), INVALID_DOCUMENTS)
def test_invalid_documents_are_refused(words, change):
    with pytest.raises(BadInput, match=words):
        decoded(change)


def test_document_that_is_cut_short_is_refused():
    data = json.dumps(DOCUMENT).encode()
    for end in range(0, len(data) - 1, 37):
        with pytest.raises(BadInput):
            decode_configuration(data[:end])


@pytest.mark.parametrize('value', [10**10, 10**30, 10**400, 1e300, -(10**400)])
@pytest.mark.parametrize(
    'place',
    [
        lambda d, v: rule_of(d)['action'].update(maxAttempts=v),
        lambda d, v: rule_of(d)['action']['weightedServices'][0].update(
            weight=v
        ),
        lambda d, v: rule_of(d).update(priority=v),
        lambda d, v: d['tenants'][0].update(ratePerS=v),
        lambda d, v: d['tenants'][0].update(burst=v),
        lambda d, v: d['tenants'][0].update(priority=v),
        lambda d, v: d['clusters'][0].update(maxConnections=v),
        lambda d, v: d['clusters'][0].update(warmupPerS=v),
    ],
)
def test_number_out_of_range_is_refused(place, value):
    with pytest.raises(BadInput):
        decoded(lambda document: place(document, value))


def test_duration_of_many_digits_is_refused():
    with pytest.raises(BadInput, match='idleTimeout'):
        decoded(lambda d: d['limits'].update(idleTimeout='9' * 400 + 's'))


def test_document_that_is_nested_deeply_is_refused():
    data = json.dumps(DOCUMENT)[:-1] + ', "more": '
    data += '[' * 200_000 + ']' * 200_000 + '}'
    with pytest.raises(BadInput, match='malformed'):
        decode_configuration(data.encode())
