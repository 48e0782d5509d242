"""Reads settings in the project's own format, YAML."""

import pathlib

from result import Result
import yaml

from orioleshore import settings
from orioleshore.model import decoding
from orioleshore.model import errors


def read_settings(path: str) -> Result[settings.Settings, errors.Failure]:
    """Load and check a settings file, and report all problems at once.

    Fails with ``INVALID_SETTINGS``.
    """
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
        loaded = yaml.safe_load(text)
        decoding.check_depth(loaded)
    except (OSError, yaml.YAMLError, *decoding.DATA_ERRORS) as error:
        return settings.make_failure(path, [f'cannot be read: {error}'])
    if not isinstance(loaded, dict):
        return settings.make_failure(
            path, ['$: expected a mapping of settings']
        )
    return settings.check_settings(loaded, path)
