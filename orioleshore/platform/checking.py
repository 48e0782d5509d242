"""Checks a configuration as the operator sends it to the platform's calls."""

import re
from typing import Any

from orioleshore.findings import configuration_errors
from orioleshore.findings import configuration_warnings
from orioleshore.findings import differences
from orioleshore.model import decoding
from orioleshore.model import findings
from orioleshore.platform import configuration_body
from orioleshore.platform import vocabulary

SECRET_FIELDS = frozenset({vocabulary.WORDS.keys})
PATH_IN_FORCE = '/config'
# The HTTP library refuses larger bodies unless its server is told otherwise.
MAX_BODY_BYTES = 1_048_576

_PLACE_PATTERN = re.compile(r'(?P<reason>.*) - at `(?P<place>[^`]*)`', re.S)


def find_findings(body: bytes) -> list[findings.Finding]:
    """Return all errors of a configuration, or its warnings if it has none.

    There are errors exactly if the control server refuses the body, for its
    size or in ``configuration_body.decode_configuration``.
    """
    if len(body) > MAX_BODY_BYTES:
        return [
            findings.Finding(
                findings.Kind.TOO_LARGE,
                '$',
                f'{len(body)} bytes exceed the limit of {MAX_BODY_BYTES}',
                'leave out indentation and members that are not used',
            )
        ]
    try:
        configuration, timeouts_ms = configuration_body.read_configuration(
            body
        )
    except decoding.DecodingError as error:
        return [_make_decoding_finding(str(error))]
    errors = list(
        configuration_errors.find_errors(
            configuration, timeouts_ms, vocabulary.WORDS
        )
    )
    return errors or list(
        configuration_warnings.find_warnings(
            configuration, timeouts_ms, vocabulary.WORDS
        )
    )


def count_entries(body: bytes) -> dict[str, int]:
    """Return the number of entries of a readable configuration."""
    configuration, _ = configuration_body.read_configuration(body)
    return {
        vocabulary.WORDS.queues: len(configuration.queues),
        vocabulary.WORDS.pools: len(configuration.pools),
        vocabulary.WORDS.organisations: len(configuration.organisations),
    }


def compare(
    in_force: dict[str, Any], new: dict[str, Any]
) -> differences.Comparison:
    """Return the differences, and a warning if the version is not above."""
    version = in_force.get('version')
    found = differences.find_differences(in_force, new, SECRET_FIELDS)
    warnings = []
    if isinstance(version, int) and new['version'] <= version:
        warnings.append(
            findings.Finding(
                findings.Kind.VERSION_NOT_ABOVE,
                '$.version',
                f'version {new["version"]} is acknowledged and changes '
                f'nothing: version {version} is in force',
                f'set it above {version}',
            )
        )
    return differences.Comparison(version, tuple(found), tuple(warnings))


def _make_decoding_finding(text: str) -> findings.Finding:
    found = _PLACE_PATTERN.fullmatch(text)
    if found is None:
        return findings.Finding(findings.Kind.UNREADABLE, '$', text)
    return findings.Finding(
        findings.Kind.INVALID_FIELD, found['place'], found['reason']
    )
