from damasklanding.node.answers import Answer
from damasklanding.node.calls import CallTable
from damasklanding.node.calls import RunningCall


class CallFake:
    def __init__(self, request_id):
        self.request_id = request_id


def test_parent_is_found_by_the_start_of_the_id_while_it_runs():
    table = CallTable()
    parent = table.add(CallFake('9c41'), slot=None)
    assert table.parent_of('9c41.77') is parent
    assert table.parent_of('9c41') is None
    assert table.parent_of('9c42.77') is None
    table.remove(parent)
    assert table.parent_of('9c41.77') is None


def test_chain_of_ids_names_the_nearest_call():
    table = CallTable()
    table.add(CallFake('9c41'), slot=None)
    inner = table.add(CallFake('9c41.77'), slot=None)
    assert table.parent_of('9c41.77.5') is inner


def test_second_run_of_a_request_outlives_the_first():
    table = CallTable()
    first = table.add(CallFake('9c41'), slot=None)
    second = table.add(CallFake('9c41'), slot=None)
    table.remove(first)
    assert table.parent_of('9c41.1') is second


def test_missing_service_is_passed_up_only_by_a_failed_call():
    running = RunningCall(None, 't', None)
    running.record_answer(Answer(200, [], missing_services=('ledger',)))
    assert not running.missing_services
    running.record_answer(Answer(500, [], missing_services=('ledger',)))
    assert running.missing_services == {'ledger'}
