import json

from nodes import KEY
from nodes import FakeBackend
from nodes import connect
from nodes import fleet
from nodes import send_request
from nodes import two_sites
import pytest


def test_call_crosses_to_the_node_beside_the_backend_server():
    with two_sites() as nodes:
        reply = nodes.sites['entry'].call('/q/balance?id=7', accept='text/x')
        assert (reply.status, reply.body) == (200, b'hello')
        assert reply.outcome == 'ran'
        (seen,) = nodes.sites['server'].backend_server.seen
        assert seen['PATH_INFO'] == '/q/balance'
        assert seen['QUERY_STRING'] == 'id=7'
        assert seen['HTTP_ACCEPT'] == 'text/x'
        assert seen['HTTP_DAMASKLANDING_ORGANISATION'] == 'acme'
        assert seen['HTTP_DAMASKLANDING_CONTEXT']


def test_call_for_the_own_backend_server_needs_no_peer():
    with two_sites() as nodes:
        reply = nodes.sites['server'].call('/q', method='POST', body=b'abc')
        assert reply.status == 200
        assert nodes.sites['server'].backend_server.seen[0]['body'] == b'abc'
        assert not nodes.sites['server'].pool._links


@pytest.mark.parametrize(
    ('path', 'key', 'status', 'code'),
    [
        ('/q', None, 401, 'key-refused'),
        ('/q', 'wrong', 401, 'key-refused'),
        ('/nowhere', KEY, 404, 'not-found'),
        ('/inner/x', KEY, 404, 'not-found'),
        ('/%69nner/x', KEY, 404, 'not-found'),
        ('/q/../inner/x', KEY, 400, 'bad-input'),
        ('/q/%2e%2e/inner', KEY, 400, 'bad-input'),
    ],
)
def test_refusal_is_a_problem_document_that_says_not_run(
    path, key, status, code
):
    with two_sites() as nodes:
        reply = nodes.sites['entry'].call(path, key=key)
        assert reply.status == status
        assert reply.outcome == 'not-run'
        assert reply.headers['content-type'] == 'application/problem+json'
        document = json.loads(reply.body)
        assert document['code'] == code
        assert document['remedy']
        assert not nodes.sites['server'].backend_server.seen


def test_key_and_forged_headers_never_reach_the_backend_server():
    with two_sites() as nodes:
        for site in nodes.sites.values():
            site.call(
                '/q',
                damasklanding_organisation='other',
                damasklanding_importance='3',
                damasklanding_context='forged',
            )
        seen = nodes.sites['server'].backend_server.seen
        assert len(seen) == 2
        assert KEY not in repr(seen)
        assert 'other' not in repr(seen)
        assert 'forged' not in repr(seen)
        assert KEY not in repr(nodes.sites['entry'].metrics._counts)


def test_no_backend_server_means_not_run():
    with fleet() as nodes:
        site = nodes.add('entry')
        nodes.publish_all()
        reply = site.call('/q')
        assert (reply.status, reply.outcome) == (503, 'not-run')


def test_unreachable_backend_server_means_not_run():
    with fleet() as nodes:
        backend_server = FakeBackend()
        site = nodes.add('server', backend_server)
        nodes.publish_all()
        backend_server.server.stop()
        reply = site.call('/book', method='POST', body=b'x')
        assert (reply.status, reply.outcome) == (503, 'not-run')


def post_booking(site, body=b'plan', key='once-1'):
    return site.call('/book', 'POST', body, idempotency_key=key)


def test_resend_with_an_idempotency_key_gets_the_first_answer():
    with two_sites() as nodes:
        first = post_booking(nodes.sites['entry'])
        again = post_booking(nodes.sites['server'])
        assert (first.status, first.body) == (again.status, again.body)
        assert again.outcome == 'ran'
        assert len(nodes.sites['server'].backend_server.seen) == 1
        other = post_booking(nodes.sites['entry'], b'another plan')
        assert other.status == 422


def test_claim_of_a_request_that_was_not_run_is_free_again():
    answers = [(503, b'', ('Damasklanding-Outcome', 'not-run')), (200, b'')]

    with two_sites(lambda environ: answers.pop(0)) as nodes:
        refused = post_booking(nodes.sites['entry'])
        assert (refused.status, refused.outcome) == (503, 'not-run')
        assert post_booking(nodes.sites['entry']).status == 200


def test_answer_has_one_date():
    dated = (200, b'ok', ('Date', 'Thu, 01 Jan 1970 00:00:00 GMT'))
    with two_sites(lambda environ: dated) as nodes:
        sock = connect(nodes.sites['entry'].node.callers.bound_address)
        send_request(sock, '/q')
        received = sock.recv(65_536).lower()
        assert received.count(b'\r\ndate: ') == 1
        assert b'1970' not in received
