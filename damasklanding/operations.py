"""
damasklanding.operations
~~~~~~~~~~~~~~~~~~~~~~~~

The operations listener of every process: metrics, health and status.  Three
fixed paths need no framework, and a node saves the memory of one.
"""

import msgspec

from damasklanding.errors import DamasklandingError

__all__ = ['operations_app', 'readiness_app']

JSON_TYPE = 'application/json'
METHODS = ('GET', 'HEAD')


class Health(msgspec.Struct, omit_defaults=True):
    """Body of ``/health``; the status is 503 where there is a problem."""

    healthy: bool
    problem: str = ''


class Fault(msgspec.Struct):
    """Body of an answer that is no success."""

    code: str
    problem: str


def operations_app(metrics, health, status):
    """
    Return a WSGI application with ``/metrics``, ``/health`` and ``/status``.

    :param metrics: :class:`damasklanding.metrics.Metrics`.
    :param health: returns what is wrong as text, empty when all is well.
    :param status: returns a struct or dict that JSON can hold.
    """

    def show_metrics(environ):
        accept = environ.get('HTTP_ACCEPT', 'text/plain')
        body, headers = metrics.render(accept.split(','))
        return '200 OK', headers.get('Content-Type', 'text/plain'), body

    def show_health(_environ):
        problem = health()
        code = '503 Service Unavailable' if problem else '200 OK'
        return code, JSON_TYPE, _json(Health(not problem, problem))

    def show_status(_environ):
        return '200 OK', JSON_TYPE, _json(status())

    paths = {
        '/metrics': show_metrics,
        '/health': show_health,
        '/status': show_status,
    }

    def app(environ, start_response):
        status_line, kind, body = _answer(paths, environ)
        headers = [
            ('Content-Type', kind),
            ('Content-Length', str(len(body))),
            ('Cache-Control', 'no-store'),
        ]
        start_response(status_line, headers)
        return [b'' if environ['REQUEST_METHOD'] == 'HEAD' else body]

    return app


def readiness_app(not_ready):
    """
    Return a WSGI application that says whether work may be sent here.

    :param not_ready: returns why not as text, empty where it may.
    """

    def app(_environ, start_response):
        problem = not_ready()
        code = '503 Service Unavailable' if problem else '200 OK'
        body = _json(Health(not problem, problem))
        headers = [
            ('Content-Type', JSON_TYPE),
            ('Content-Length', str(len(body))),
        ]
        start_response(code, headers)
        return [body]

    return app


def _answer(paths, environ):
    show = paths.get(environ.get('PATH_INFO'))
    if show is None:
        names = ', '.join(paths)
        return '404 Not Found', JSON_TYPE, _fault('not-found', f'use {names}')
    if environ['REQUEST_METHOD'] not in METHODS:
        text = _fault('bad-input', 'use GET or HEAD')
        return '405 Method Not Allowed', JSON_TYPE, text
    try:
        return show(environ)
    except DamasklandingError as error:
        return (
            f'{error.http_status} Error',
            JSON_TYPE,
            _fault(error.code, str(error)),
        )


def _fault(code, problem):
    return _json(Fault(code, problem))


_json = msgspec.json.Encoder().encode
