import socket

import gevent
from gevent.socket import create_connection

from damasklanding import wsgi
from damasklanding.wsgi import wsgi_server


def test_connections_send_without_delay(monkeypatch):
    seen = []

    class Handler(wsgi.NoDelayHandler):
        def get_environ(self):
            option = (socket.IPPROTO_TCP, socket.TCP_NODELAY)
            seen.append(self.socket.getsockopt(*option))
            return super().get_environ()

    def app(_environ, start_response):
        start_response('200 OK', [('Content-Length', '2')])
        return [b'ok']

    monkeypatch.setattr(wsgi, 'NoDelayHandler', Handler)
    server = wsgi_server(('127.0.0.1', 0), app)
    server.start()
    with gevent.Timeout(5):
        client = create_connection(('127.0.0.1', server.server_port))
        client.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
        assert client.recv(4_096).startswith(b'HTTP/1.1 200 OK')
        client.close()
    server.stop(timeout=0)
    assert seen == [1]
