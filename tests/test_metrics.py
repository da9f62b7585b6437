import ast
from pathlib import Path

import pytest

import damasklanding
from damasklanding import metrics as module
from damasklanding.metrics import COUNTERS
from damasklanding.metrics import GAUGES
from damasklanding.metrics import Metrics

PACKAGE = Path(damasklanding.__file__).parent


def uses():
    for path in sorted(PACKAGE.rglob('*.py')):
        for node in ast.walk(ast.parse(path.read_text())):
            if _is_use(node):
                yield pytest.param(node, id=f'{path.stem}:{node.lineno}')


def _is_use(node):
    return (
        isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and node.func.attr in ('add', 'set')
        and 'metrics' in ast.unparse(node.func.value)
        and node.args
        and isinstance(node.args[0], ast.Constant)
    )


@pytest.mark.parametrize('node', list(uses()))
def test_each_use_has_a_declaration_with_as_many_labels(node):
    declared, before = (
        (COUNTERS, 1) if node.func.attr == 'add' else (GAUGES, 2)
    )
    _, labels = declared[node.args[0].value]
    if not any(isinstance(item, ast.Starred) for item in node.args):
        assert len(node.args) - before == len(labels)


def test_counts_and_gauges():
    metrics = Metrics()
    metrics.add('claims_total', 'granted')
    metrics.add('claims_total', 'granted', amount=2)
    metrics.add('claims_total', 'mismatch')
    metrics.collect_with(lambda: metrics.set('cold', 1, 'plan-office'))
    assert metrics.value('claims_total', 'granted') == 3
    assert metrics.total('claims_total') == 4
    body, _ = metrics.render()
    assert b'damasklanding_claims_total{verdict="granted"} 3' in body
    assert b'damasklanding_cold{service="plan-office"} 1' in body


def test_undeclared_use_never_breaks_the_page():
    metrics = Metrics()
    metrics.add('surprise_total')
    metrics.add('claims_total', 'granted', 'extra')
    metrics.add('claims_total', 'granted')
    body, _ = metrics.render()
    assert b'surprise' not in body
    assert b'damasklanding_claims_total{verdict="granted"} 1' in body


def test_label_values_are_escaped():
    metrics = Metrics()
    metrics.add('claims_total', 'a"b\\c\nd')
    body, _ = metrics.render()
    (line,) = [line for line in body.splitlines() if line[:1] != b'#']
    assert line == b'damasklanding_claims_total{verdict="a\\"b\\\\c\\nd"} 1'


def test_series_are_bounded(monkeypatch):
    monkeypatch.setattr(module, 'MAX_SERIES', 10)
    metrics = Metrics()
    for number in range(50):
        metrics.add('claims_total', f'v{number}')
    assert metrics.total('claims_total') == 10
    assert metrics.value('series_dropped_total', 'claims_total') == 40
