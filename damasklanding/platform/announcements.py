"""
damasklanding.platform.announcements
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

HTTP endpoint that takes the announcements of the local backend server.
"""

import re
from typing import Annotated

import msgspec

from damasklanding.errors import BadInput
from damasklanding.errors import DamasklandingError
from damasklanding.fleet.resources import Name
from damasklanding.node.presence import BackendReport
from damasklanding.options import parse_duration_ms

__all__ = ['announcement_app']

PREFIX = '/instances/'
JSON_TYPE = 'application/json'
MAX_BODY_BYTES = 64 * 1024
MAX_SLOTS = 100_000
MAX_COLD_MS = 3_600_000
#: Largest integer that every JSON decoder reads exactly.
MAX_EXACT_INTEGER = 2**53 - 1
_is_instance = re.compile(r'[A-Za-z0-9._~:-]{1,128}').fullmatch
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_EXACT_INTEGER)]
#: What decoding raises for documents that cannot be read.
_UNREADABLE = (msgspec.MsgspecError, ValueError, OverflowError, RecursionError)
#: Whether a backend server in each platform state accepts new work.
_STATES = {'ready': True, 'draining': False}


class InfoDocument(msgspec.Struct, rename='camel'):
    """Properties that are constant while a backend server runs."""

    service: Name
    max_concurrency: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]


class StatusDocument(msgspec.Struct, rename='camel'):
    """
    Properties that change while a backend server runs.

    :ivar sequence: increases with each announcement of one run.
    :ivar warmup_left: remaining time for which it is cold.
    """

    state: str
    sequence: _Count
    warmup_left: str = '0ms'


class AnnouncementDocument(msgspec.Struct):
    """
    Body of an announcement.

    :ivar born: time of the backend server's start, Unix milliseconds.
    """

    address: str
    info: InfoDocument
    status: StatusDocument
    born: _Count = 0


_decoder = msgspec.json.Decoder(AnnouncementDocument)


class LeaveDocument(msgspec.Struct):
    """Optional body of a departure."""

    born: _Count = 0


_leave_decoder = msgspec.json.Decoder(LeaveDocument)


def announcement_app(presence, emptied_services=list):
    """
    Return a WSGI application that takes announcements and departures.

    :param presence: :class:`~damasklanding.node.presence.BackendPresence`.
    :param emptied_services: returns the services that have no usable backend
        server without the local one.
    """

    def put(instance, data):
        report = _report(instance, data)
        presence.handle_report(report)
        return not report.in_service

    def delete(instance, data):
        # Without a body the path alone identifies the instance that leaves.
        born = _decode(_leave_decoder, data).born if data else 0
        return presence.record_departure(instance, born)

    actions = {'PUT': put, 'DELETE': delete}

    def app(environ, start_response):
        path = environ.get('PATH_INFO', '')
        action = actions.get(environ['REQUEST_METHOD'])
        status, body = '200 OK', b'{}'
        if action is None or not path.startswith(PREFIX):
            status, body = '404 Not Found', b'{"error":"not-found"}'
        else:
            try:
                data = environ['wsgi.input'].read(MAX_BODY_BYTES)
                is_leave = action(_parse_instance(path[len(PREFIX) :]), data)
                emptied = emptied_services() if is_leave else []
                if emptied:
                    body = msgspec.json.encode({'emptiedServices': emptied})
            except DamasklandingError as error:
                status = f'{error.http_status} Refused'
                body = msgspec.json.encode(
                    {'error': error.code, 'detail': error.problem}
                )
        headers = [
            ('Content-Type', JSON_TYPE),
            ('Content-Length', str(len(body))),
        ]
        start_response(status, headers)
        return [body]

    return app


def _parse_instance(text):
    # The id is sent back to the backend server as the value of a header.
    if not _is_instance(text):
        raise BadInput('the path names no usable instance')
    return text


def _decode(decoder, data):
    try:
        return decoder.decode(data)
    except _UNREADABLE as error:
        raise BadInput(f'the announcement is malformed ({error})') from error


def _parse_cold_ms(text):
    try:
        cold_for_ms = parse_duration_ms(text)
    except ValueError as error:
        raise BadInput(f'warmupLeft is {error}') from error
    if cold_for_ms > MAX_COLD_MS:
        raise BadInput(f'warmupLeft is over {MAX_COLD_MS} ms')
    return round(cold_for_ms)


def _report(instance, data):
    document = _decode(_decoder, data)
    cold_for_ms = _parse_cold_ms(document.status.warmup_left)
    in_service = _STATES.get(document.status.state)
    if in_service is None:
        raise BadInput('the state is neither ready nor draining')
    return BackendReport(
        instance=instance,
        address=document.address,
        service=document.info.service,
        in_service=in_service,
        slots=document.info.max_concurrency,
        cold_for_ms=cold_for_ms,
        started_at_ms=document.born,
        sequence=document.status.sequence,
    )
