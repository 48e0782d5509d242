"""Checks of settings files: all problems are reported at once."""

import pathlib

import msgspec
import yaml

from orioleshore import settings
from orioleshore import settings_file
from orioleshore.model import checks
from orioleshore.model import errors


def build_settings(folder, **changes) -> dict:
    """Return valid settings of a control member."""
    content = {
        'node': 'control-1',
        'availability_zone': 'az1',
        'roles': ['control'],
        'data_folder': str(folder / 'data'),
        'addresses': {
            'inner': '127.0.0.1:0',
            'operators': '127.0.0.1:0',
        },
    }
    return {**content, **changes}


def read_settings(folder, content):
    path = folder / 'settings.yaml'
    path.write_text(yaml.safe_dump(content), 'utf-8')
    return settings_file.read_settings(str(path))


def test_valid_settings_get_defaults(tmp_path):
    """Guards against defaults that are missing or fail the checks."""
    loaded = read_settings(tmp_path, build_settings(tmp_path)).unwrap()
    assert loaded.control.election_timeout_s == 0.9
    assert loaded.entry.header_count == 64


def test_all_invalid_fields_are_reported(tmp_path):
    """Guards against reporting only the first problem."""
    content = build_settings(
        tmp_path,
        nodee='x',
        roles=['control', 'king'],
        control={'tick_s': -1, 'heartbeat_s': 'soon'},
    )
    failure = read_settings(tmp_path, content).unwrap_err()
    assert failure.kind is errors.ErrorKind.INVALID_SETTINGS
    assert failure.answer.exit_code == 2
    text = '\n'.join(failure.details)
    for path in (
        '$.nodee: unknown key',
        '$.roles[1]',
        '$.control.tick_s',
        '$.control.heartbeat_s',
    ):
        assert path in text


def test_host_names_are_refused_as_addresses(tmp_path):
    """Guards against settings that require a name look-up at start."""
    content = build_settings(
        tmp_path,
        seeds=['control-2.example:7000'],
        addresses={'inner': 'localhost:0', 'operators': '127.0.0.1:99999'},
    )
    details = read_settings(tmp_path, content).unwrap_err().details
    assert [line.partition(':')[0] for line in details] == [
        '$.addresses.inner',
        '$.addresses.operators',
        '$.seeds[0]',
    ]


def test_short_election_timeout_is_refused(tmp_path):
    """Guards against elections after one lost heartbeat."""
    content = build_settings(
        tmp_path, control={'heartbeat_s': 0.5, 'election_timeout_s': 0.9}
    )
    details = read_settings(tmp_path, content).unwrap_err().details
    assert any('election_timeout_s' in line for line in details)


def list_keys(struct, defaults, prefix=''):
    """Return every key with its default, including keys of sections."""
    keys = {}
    for field in msgspec.structs.fields(struct):
        name = prefix + field.name
        default = defaults.get(field.name) if defaults else None
        section = checks.get_struct_type(field.type)
        if section is not None:
            keys |= list_keys(section, default, f'{name}.')
        else:
            keys[name] = default
    return keys


def test_reference_lists_every_key_with_its_default():
    """Guards against an outdated settings reference."""
    path = pathlib.Path(__file__).parent.parent.parent / 'docs/settings.md'
    rows = {}
    for line in path.read_text('utf-8').splitlines():
        if line.startswith('| `'):
            _, key, default, _, _ = (part.strip() for part in line.split('|'))
            rows[key.strip('`')] = default.strip('`')
    expected = list_keys(settings.Settings, settings.DEFAULT_SETTINGS)
    assert set(rows) == set(expected)
    for key, default in expected.items():
        if default is not None:
            assert yaml.safe_load(rows[key]) == default, key
