"""
damasklanding.platform.announcements
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

HTTP endpoint that takes the announcements of the local backend server.
"""

import msgspec

from damasklanding.errors import BadInput
from damasklanding.errors import DamasklandingError
from damasklanding.node.presence import BackendReport
from damasklanding.options import parse_duration_ms

__all__ = ['announcement_app']

PREFIX = '/instances/'
JSON_TYPE = 'application/json'
MAX_BODY_BYTES = 64 * 1024
#: Whether a backend server in each platform state accepts new work.
_STATES = {'ready': True, 'draining': False}


class InfoDocument(msgspec.Struct, rename='camel'):
    """Properties that are constant while a backend server runs."""

    service: str
    max_concurrency: int


class StatusDocument(msgspec.Struct, rename='camel'):
    """
    Properties that change while a backend server runs.

    :ivar sequence: increases with each announcement of one run.
    :ivar warmup_left: remaining time for which it is cold.
    """

    state: str
    sequence: int
    warmup_left: str = '0ms'


class AnnouncementDocument(msgspec.Struct):
    """
    Body of an announcement.

    :ivar born: time of the backend server's start, Unix milliseconds.
    """

    address: str
    info: InfoDocument
    status: StatusDocument
    born: int = 0


_decoder = msgspec.json.Decoder(AnnouncementDocument)


class LeaveDocument(msgspec.Struct):
    """Optional body of a departure."""

    born: int = 0


_leave_decoder = msgspec.json.Decoder(LeaveDocument)


def announcement_app(presence):
    """
    Return a WSGI application that takes announcements and departures.

    :param presence: :class:`~damasklanding.node.presence.BackendPresence`.
    """

    def put(instance, data):
        presence.handle_report(_report(instance, data))

    def delete(instance, data):
        born = 0
        if data:
            try:
                born = _leave_decoder.decode(data).born
            except msgspec.MsgspecError:
                # The path alone identifies the instance that leaves.
                born = 0
        presence.record_departure(instance, born)

    actions = {'PUT': put, 'DELETE': delete}

    def app(environ, start_response):
        path = environ.get('PATH_INFO', '')
        action = actions.get(environ['REQUEST_METHOD'])
        status, body = '200 OK', b'{}'
        if action is None or not path.startswith(PREFIX):
            status, body = '404 Not Found', b'{"error":"not-found"}'
        else:
            data = environ['wsgi.input'].read(MAX_BODY_BYTES)
            try:
                action(path[len(PREFIX) :], data)
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


def _report(instance, data):
    try:
        document = _decoder.decode(data)
        cold_for_ms = parse_duration_ms(document.status.warmup_left)
    except (msgspec.MsgspecError, ValueError) as error:
        raise BadInput(f'the announcement is malformed ({error})') from error
    in_service = _STATES.get(document.status.state)
    if in_service is None:
        raise BadInput(f'the state is {document.status.state!r}')
    if document.info.max_concurrency < 1 or not document.info.service:
        raise BadInput('the announcement names no usable backend server')
    return BackendReport(
        instance=instance,
        address=document.address,
        service=document.info.service,
        in_service=in_service,
        slots=document.info.max_concurrency,
        cold_for_ms=round(cold_for_ms),
        started_at_ms=document.born,
        sequence=document.status.sequence,
    )
