import json
import os

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from damasklanding.documents import DOCUMENTS
from damasklanding.documents import Configuration
from damasklanding.documents import decode_configuration
from damasklanding.documents import decode_document
from damasklanding.documents import resource_from
from damasklanding.errors import BadInput
from damasklanding.errors import CorruptStore
from damasklanding.fleet.resources import KINDS
from damasklanding.fleet.resources import Change
from damasklanding.fleet.resources import Profile
from damasklanding.fleet.state import FleetState
from damasklanding.snapshot import decode_snapshot
from damasklanding.snapshot import encode_snapshot

EXAMPLES = int(os.environ.get('DAMASKLANDING_FUZZ_EXAMPLES', '40'))
FUZZ = settings(derandomize=True, max_examples=EXAMPLES, deadline=None)
FIELDS = sorted(
    {name for model in DOCUMENTS.values() for name in model.__struct_fields__}
)
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(FIELDS), inner, max_size=3)
    ),
    max_leaves=4,
)
BODIES = st.dictionaries(st.sampled_from(FIELDS), VALUES, max_size=4)


@FUZZ
@given(st.sampled_from(sorted(DOCUMENTS)), BODIES)
def test_any_body_is_a_resource_or_bad_input(kind, fields):
    data = json.dumps(fields).encode()
    try:
        document = decode_document(data, DOCUMENTS[kind], 'name')
    except BadInput:
        return
    resource = resource_from(kind, document)
    assert type(resource) is KINDS[kind]
    assert resource.revision == 0
    assert Change.put(kind, resource).resource() == resource


@FUZZ
@given(st.binary(max_size=60))
def test_any_bytes_are_bad_input_or_a_configuration(data):
    try:
        assert isinstance(decode_configuration(data), Configuration)
    except BadInput:
        pass


def some_state():
    state = FleetState()
    changes = [
        Change.put('profile', Profile(name=f'p{n}', revision=n))
        for n in range(1, 5)
    ]
    state.apply_changes(3, 9, changes)
    return state


@FUZZ
@given(st.data())
def test_a_damaged_snapshot_never_passes(data):
    whole = encode_snapshot(some_state())
    index = data.draw(st.integers(0, len(whole) - 1))
    if data.draw(st.booleans()):
        damaged = whole[:index]
    else:
        flipped = whole[index] ^ data.draw(st.integers(1, 255))
        damaged = whole[:index] + bytes([flipped]) + whole[index + 1 :]
    with pytest.raises(CorruptStore):
        decode_snapshot(damaged)


def test_equal_states_give_equal_snapshots():
    first, second = some_state(), FleetState()
    second.replace(3, 9, list(reversed(first.snapshot())))
    assert encode_snapshot(first) == encode_snapshot(second)
    decoded = decode_snapshot(encode_snapshot(first))
    assert (decoded.term, decoded.revision) == (3, 9)


@pytest.mark.parametrize('name', ['kitami', 'kilimanjaro'])
def test_shipped_examples_are_valid_and_refer_to_what_they_define(name):
    folder = os.path.join(os.path.dirname(__file__), '..', 'examples')
    with open(os.path.join(folder, f'{name}.json'), 'rb') as file:
        configuration = decode_configuration(file.read())
    profiles = {profile.name for profile in configuration.profiles}
    used = {
        route.profile
        for service in configuration.services
        for route in service.routes
    }
    assert used <= profiles
    assert len(configuration.organisations) == 8
