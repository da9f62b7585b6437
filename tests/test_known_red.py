from pathlib import Path
import re

from conftest import known_red_tests

ROOT = Path(__file__).parent.parent


def test_each_test_that_is_passed_over_exists():
    for node_id in known_red_tests():
        path, _, name = node_id.partition('::')
        function = re.sub(r'\[.*', '', name)
        text = (ROOT / path).read_text(encoding='utf-8')
        assert f'def {function}(' in text, node_id


def test_nothing_else_is_passed_over():
    for name in ('.ci/run', 'Makefile', 'pyproject.toml'):
        text = (ROOT / name).read_text(encoding='utf-8')
        assert 'deselect' not in text, name
