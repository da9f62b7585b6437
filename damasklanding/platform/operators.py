"""
damasklanding.platform.operators
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

HTTP application of the platform's operator API, which sets whole
configurations and evacuates data centres.
"""

import os
import zlib

import bottle

from damasklanding.errors import DamasklandingError
from damasklanding.fleet.availability import services_emptied
from damasklanding.fleet.commands import Envelope
from damasklanding.fleet.commands import SetDataCentre
from damasklanding.fleet.datacentres import require_data_centre_name
from damasklanding.platform.documents import decode_configuration
from damasklanding.webapi import request_body
from damasklanding.wsgi import MAX_BODY_BYTES
from damasklanding.wsgi import caller_waits

__all__ = ['operator_app']

OPERATOR = 'platform'
#: Clients of this API ask another host after one second without an answer.
PROPOSE_TIMEOUT_MS = 2_500
JSON_TYPE = 'application/json'

#: HTTP statuses by error code that differ from those of the error classes.
_STATUSES = {'conflict': 412}


def operator_app(host):
    """
    Return the bottle application of the operator API.

    :param host: :class:`~damasklanding.control.host.ControlHost`.
    """
    app = bottle.Bottle()

    def error_response(error):
        bottle.response.status = _STATUSES.get(error.code, error.http_status)
        bottle.response.content_type = JSON_TYPE
        return {'error': error.code, 'detail': error.problem}

    def propose(command, request_id=''):
        envelope = Envelope(
            request_id=request_id, operator=OPERATOR, command=command
        )
        is_awaited = caller_waits(bottle.request.environ)
        outcome = host.order(envelope, PROPOSE_TIMEOUT_MS, is_awaited)
        if outcome.error:
            bottle.response.status = _STATUSES.get(outcome.error, 400)
            return {'error': outcome.error, 'detail': outcome.problem}
        return {}

    def convert_errors(function):
        def call(**arguments):
            try:
                return function(**arguments)
            except DamasklandingError as error:
                return error_response(error)

        return call

    @app.put('/config')
    @convert_errors
    def put_config():
        data = request_body(MAX_BODY_BYTES)
        # Its base version and digest tell copies and later changes apart.
        request_id = f'{OPERATOR}-{os.urandom(8).hex()}'
        return propose(decode_configuration(data), request_id)

    @app.get('/config')
    @convert_errors
    def get_config():
        document = host.current_document()
        bottle.response.content_type = JSON_TYPE
        return zlib.decompress(document)

    def set_out(name, out):
        state = host.view.state
        require_data_centre_name(state, name)
        emptied = services_emptied(
            state, lambda backend: out and backend.data_centre == name
        )
        answer = propose(SetDataCentre(name=name, out=out))
        if emptied and 'error' not in answer:
            answer['emptiedServices'] = emptied
        return answer

    @app.post('/evacuation/<name>')
    @convert_errors
    def start_evacuation(name):
        return set_out(name, True)

    @app.delete('/evacuation/<name>')
    @convert_errors
    def end_evacuation(name):
        return set_out(name, False)

    return app
