import json

from nodes import NoThrottle
from nodes import call
from nodes import two_sites

from damasklanding.fleet.resources import Change
from damasklanding.fleet.resources import Route
from damasklanding.fleet.resources import Service
from damasklanding.policy.dependencies import MIN_FAILURES_IN_ROW


def onward_call(nodes, name, path, **headers):
    address = nodes.sites[name].node.egress.bound_address
    return call(address, path, key=None, **headers)


def test_context_of_a_running_call_opens_internal_routes():
    replies = []

    def answer(environ):
        if environ['PATH_INFO'] == '/q/root':
            context = environ['HTTP_DAMASKLANDING_CONTEXT']
            replies.append(
                onward_call(
                    nodes, 'server', '/inner', damasklanding_context=context
                )
            )
        return 200, environ['HTTP_DAMASKLANDING_REQUEST_ID'].encode()

    with two_sites(answer) as nodes:
        root = nodes.sites['entry'].call('/q/root')
        (inner,) = replies
        assert (root.status, inner.status) == (200, 200)
        assert root.body == inner.body
        assert inner.headers['damasklanding-retries-left'] == '1'


def test_unknown_or_ended_context_is_refused():
    contexts = []

    def answer(environ):
        contexts.append(environ['HTTP_DAMASKLANDING_CONTEXT'])
        return 200, b''

    with two_sites(answer) as nodes:
        nodes.sites['entry'].call('/q')
        for context in ('', 'ff', contexts[0]):
            reply = onward_call(
                nodes, 'server', '/q', damasklanding_context=context
            )
            assert (reply.status, reply.outcome) == (403, 'not-run')
        assert len(nodes.sites['server'].backend_server.seen) == 1


def test_announcement_reaches_the_function_and_the_gate():
    with two_sites() as nodes:
        site = nodes.sites['server']
        address = site.node.egress.bound_address
        document = {'service': 'desk', 'state': 'draining', 'slots': 4}
        body = json.dumps(document).encode()
        reply = call(
            address, '/damasklanding/announce', 'POST', body, key=None
        )
        assert reply.status == 204
        assert site.announced[-1].state == 'draining'
        assert site.gate.draining
        reply = call(
            address, '/damasklanding/announce', 'POST', b'{"a":1}', key=None
        )
        assert reply.status == 400


def test_requests_that_need_a_service_without_servers_are_refused_unrun():
    def answer(environ):
        context = environ['HTTP_DAMASKLANDING_CONTEXT']
        inner = onward_call(
            nodes, 'server', '/ledger', damasklanding_context=context
        )
        return (200 if inner.status == 200 else 500), b''

    route = Route(prefix='/ledger', profile='query', access='internal')
    with two_sites(answer, throttle=NoThrottle()) as nodes:
        ledger = Service(name='ledger', routes=(route,))
        nodes.publish(Change.put('service', ledger))
        entry = nodes.sites['entry']
        server = nodes.sites['server'].backend_server
        for _ in range(MIN_FAILURES_IN_ROW):
            assert entry.call('/q').status == 500
        reply = entry.call('/q')
        assert (reply.status, reply.outcome) == (503, 'not-run')
        assert 'retry-after' in reply.headers
        assert len(server.seen) == MIN_FAILURES_IN_ROW
