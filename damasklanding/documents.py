"""
damasklanding.documents
~~~~~~~~~~~~~~~~~~~~~~~

Resources as operators write and read them: strict models of the bodies of
the administration API and of configuration files.  The replicated models
accept fields of later releases; these refuse what they don't know, so that a
misspelt field is never ignored.
"""

from typing import Literal

import msgspec

from damasklanding.errors import BadInput
from damasklanding.errors import TooLarge
from damasklanding.fleet.resources import ControlGroup
from damasklanding.fleet.resources import ControlHost
from damasklanding.fleet.resources import DataCentre
from damasklanding.fleet.resources import Key
from damasklanding.fleet.resources import Organisation
from damasklanding.fleet.resources import Profile
from damasklanding.fleet.resources import Route
from damasklanding.fleet.resources import Service

__all__ = [
    'DOCUMENTS',
    'MAX_DOCUMENT_BYTES',
    'Configuration',
    'KeyDocument',
    'decode_configuration',
    'decode_document',
    'plain_values',
    'resource_from',
    'resource_view',
]

MAX_DOCUMENT_BYTES = 1_048_576


class ProfileDocument(
    Profile, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Body of a profile."""

    discipline: Literal['fifo', 'lifo', 'adaptive'] = 'adaptive'


class RouteDocument(
    Route, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A route in the body of a service."""

    access: Literal['open', 'internal'] = 'open'


class ServiceDocument(
    Service, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Body of a service."""

    routes: tuple[RouteDocument, ...] = ()


class KeyDocument(Key, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of a key: its public handle and its digest, never the key."""


class OrganisationDocument(
    Organisation, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Body of an organisation; its keys go their own way."""

    keys: tuple[KeyDocument, ...] = ()


class DataCentreDocument(
    DataCentre, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Body of a data centre."""


class ControlHostDocument(
    ControlHost, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Body of a control host."""


class ControlGroupDocument(
    ControlGroup, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Body of the control group; only the number of voters is written."""


#: Model of the body by kind of resource.
DOCUMENTS = {
    'profile': ProfileDocument,
    'service': ServiceDocument,
    'organisation': OrganisationDocument,
    'data_centre': DataCentreDocument,
    'control_host': ControlHostDocument,
    'control_group': ControlGroupDocument,
}

_REPLICATED = {
    'profile': Profile,
    'service': Service,
    'organisation': Organisation,
    'data_centre': DataCentre,
    'control_host': ControlHost,
    'control_group': ControlGroup,
}


class Configuration(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """
    A configuration file; its resources are put in this order.

    :ivar description: free text for readers of the file.
    """

    description: str = ''
    profiles: tuple[ProfileDocument, ...] = ()
    services: tuple[ServiceDocument, ...] = ()
    organisations: tuple[OrganisationDocument, ...] = ()
    data_centres: tuple[DataCentreDocument, ...] = ()
    control_hosts: tuple[ControlHostDocument, ...] = ()

    def resources(self):
        """Return pairs of kind and document, referred ones first."""
        fields = (
            ('profile', self.profiles),
            ('service', self.services),
            ('organisation', self.organisations),
            ('data_centre', self.data_centres),
            ('control_host', self.control_hosts),
        )
        return [(kind, item) for kind, items in fields for item in items]


def decode_document(data, model, name=None):
    """
    Decode a JSON body to a strict model.

    :param data: bytes.
    :param name: name of the resource from the path; the body may repeat it.
    :raises BadInput: names the field and what is wrong with it.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        raise TooLarge(f'the body exceeds {MAX_DOCUMENT_BYTES} bytes')
    try:
        fields = msgspec.json.decode(data or b'{}')
        if not isinstance(fields, dict):
            raise BadInput('the body is not a JSON object')
        if name is not None and fields.setdefault('name', name) != name:
            raise BadInput(f'the body names another resource than {name}')
        return msgspec.convert(fields, model)
    except (msgspec.MsgspecError, RecursionError, UnicodeError) as error:
        raise BadInput(f'the body is malformed ({error})') from error


def decode_configuration(data):
    """Decode the bytes of a configuration file; see Configuration."""
    return decode_document(data, Configuration)


def resource_from(kind, document):
    """Return the replicated resource of a document, at revision 0."""
    fields = msgspec.structs.asdict(document)
    fields['revision'] = 0
    return msgspec.convert(
        fields, _REPLICATED[kind], from_attributes=True, strict=False
    )


def resource_view(resource):
    """
    Return a resource as plain values for a JSON answer.

    Defaults are written out, and of each key only its handle is shown.
    """
    view = plain_values(resource)
    if 'keys' in view:
        view['keys'] = [key['key_id'] for key in view['keys']]
    return view


def plain_values(value):
    """Return structs, also nested ones, as dicts with all their fields."""
    if isinstance(value, msgspec.Struct):
        fields = msgspec.structs.asdict(value)
        return {name: plain_values(item) for name, item in fields.items()}
    if isinstance(value, list | tuple):
        return [plain_values(item) for item in value]
    return value
