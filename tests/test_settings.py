from click.testing import CliRunner
import pytest

from damasklanding.errors import BadSetting
from damasklanding.errors import Unavailable
from damasklanding.settings import OPTIONS
from damasklanding.settings import daemon_command
from damasklanding.settings import load_settings
from damasklanding.settings import read_settings_file


@pytest.fixture()
def texts(tmp_path):
    tokens = tmp_path / 'tokens'
    tokens.write_text('emi 0123456789abcdef\n')
    return {
        'name': 'c1',
        'roles': 'node,control',
        'data_centre': 'kushiro',
        'peer_address': '127.0.0.1:7500',
        'control_hosts': 'c1=127.0.0.1:7500,c2=127.0.0.2:7500,'
        'c3=127.0.0.3:7500',
        'secret': '0123456789abcdef',
        'caller_address': '127.0.0.1:8001',
        'egress_address': '127.0.0.1:8101',
        'data_folder': str(tmp_path / 'data' / 'c1'),
        'admin_address': '127.0.0.1:7600',
        'operator_tokens_file': str(tokens),
    }


def test_texts_become_typed_settings(texts):
    settings = load_settings({**texts, 'bootstrap': 'true'})
    assert settings.roles == ('node', 'control')
    assert settings.control_hosts[1] == ('c2', '127.0.0.2:7500')
    assert settings.bootstrap is True
    assert settings.secret == b'0123456789abcdef'
    assert '0123456789abcdef' not in repr(settings)


WRONG = [
    ('name', 'Kushiro', '--name'),
    ('name', '', '--name (or DAMASKLANDING_NAME) is not set'),
    ('roles', 'node,gateway', 'not a list of roles'),
    ('roles', 'node,node', 'a role stands twice'),
    ('peer_address', 'localhost:7500', '--peer-address'),
    ('peer_address', '127.0.0.1', 'without a port'),
    ('peer_address', '127.0.0.1:99999', 'not a port'),
    ('control_hosts', 'c1=127.0.0.1:7500,c2=127.0.0.2:7500', '2 hosts'),
    ('control_hosts', 'c9=127.0.0.9:7500', 'without c1=127.0.0.1:7500'),
    ('control_hosts', 'c1=127.0.0.9:7500', 'without c1=127.0.0.1:7500'),
    (
        'control_hosts',
        'c1=127.0.0.1:7500,c2=127.0.0.2:7500,c3=127.0.0.2:7500',
        'stands twice',
    ),
    ('admin_address', '127.0.0.1:8001', 'the same as --caller-address'),
    ('operations_address', '0.0.0.0:8001', 'the same as --caller-address'),
    ('egress_address', '10.0.0.1:8101', 'other hosts can reach'),
    ('secret', 'tiny', '--secret (or DAMASKLANDING_SECRET) is ***'),
    ('secret', '', 'neither --secret-file nor --secret'),
    ('secret_file', '/nonexistent', '--secret-file'),
    ('data_folder', '/proc/version/data', 'not a writable folder'),
    ('data_folder', '', '--data-folder (or DAMASKLANDING_DATA_FOLDER)'),
    ('operator_tokens_file', '/nonexistent', 'not a readable file'),
    ('fresh_limit_ms', '10', 'give 500 to 60000'),
    ('fresh_limit_ms', 'soon', '--fresh-limit-ms'),
    ('log_level', 'loud', 'give debug, info, warning or error'),
    ('log_json', 'maybe', 'give true or false'),
]


@pytest.mark.parametrize(('field', 'text', 'shown'), WRONG)
def test_wrong_setting_names_flag_and_remedy(texts, field, text, shown):
    with pytest.raises(BadSetting) as caught:
        load_settings({**texts, field: text})
    assert shown in str(caught.value)
    assert field != 'secret' or 'tiny' not in str(caught.value)


def test_port_zero_never_clashes(texts):
    texts.update(admin_address='127.0.0.1:0', caller_address='127.0.0.1:0')
    assert load_settings(texts).admin_address == '127.0.0.1:0'


def test_node_needs_no_control_settings(texts):
    for field in ('data_folder', 'admin_address', 'operator_tokens_file'):
        del texts[field]
    texts.update(roles='node', name='n1', peer_address='127.0.0.1:7401')
    assert load_settings(texts).roles == ('node',)


def invoke(arguments, run, environment=None):
    return CliRunner().invoke(
        daemon_command(run), arguments, env=environment or {}
    )


def as_flags(texts):
    return [
        part
        for field, text in texts.items()
        for part in ('--' + field.replace('_', '-'), text)
    ]


def test_flag_goes_before_environment(texts):
    seen = []
    environment = {
        'DAMASKLANDING_NAME': 'other',
        'DAMASKLANDING_LOG_LEVEL': 'debug',
    }
    flags = [*as_flags(texts), '--bootstrap', '--log-json', 'false']
    result = invoke(flags, seen.append, environment)
    assert result.exit_code == 0, result.output
    (settings,) = seen
    assert (settings.name, settings.log_level) == ('c1', 'debug')
    assert (settings.bootstrap, settings.log_json) == (True, False)


def test_bad_setting_ends_with_status_and_remedy(texts):
    result = invoke(as_flags({**texts, 'name': 'C1'}), print)
    assert result.exit_code == 2
    assert '--name' in result.output
    assert 'use lower-case letters' in result.output


def test_error_of_the_run_gives_its_exit_status(texts):
    def run(_settings):
        raise Unavailable('port in use', 'free the port')

    result = invoke(as_flags(texts), run)
    assert (result.exit_code, 'free the port' in result.output) == (6, True)


def test_help_names_each_flag_and_variable():
    output = invoke(['--help'], print).output
    for option in OPTIONS:
        assert option.flag in output
    assert 'DAMASKLANDING_PEER_ADDRESS' in output
    assert 'SIGTERM' in output


def test_platform_interface_names_what_it_needs():
    with pytest.raises(BadSetting, match='--seed-hosts'):
        load_settings(
            {
                'interface': 'platform',
                'name': 'n1',
                'data_centre': 'kushiro',
                'peer_address': '10.1.0.1:7000',
                'secret': '0123456789abcdef',
            }
        )


@pytest.mark.parametrize(
    ('field', 'text', 'words'),
    [
        ('stop_grace_ms', '6', 'not a number with the unit'),
        ('stop_grace_ms', '20m', 'not a number with the unit'),
        ('stop_grace_ms', '100ms', 'not within 500 ms'),
        ('retry_ratio', '1.5', 'not within 0 to 1'),
        ('interface', 'other', 'none of own, platform'),
        ('seed_hosts', '10.1.0.1', 'without a port'),
    ],
)
def test_wrong_platform_settings_are_named(texts, field, text, words):
    with pytest.raises(BadSetting, match=words):
        load_settings({**texts, field: text})


def test_settings_file_goes_below_flags(tmp_path):
    path = tmp_path / 'node.env'
    path.write_text('# a comment\n\nDAMASKLANDING_NAME=n7\n')
    assert read_settings_file(str(path)) == {'name': 'n7'}
    path.write_text('DAMASKLANDING_NAMES=n7\n')
    with pytest.raises(BadSetting, match='line 1'):
        read_settings_file(str(path))
    with pytest.raises(BadSetting, match='can not be read'):
        read_settings_file(str(tmp_path / 'none'))
