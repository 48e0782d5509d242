"""Ids that contain their time of issue: "<unix seconds>-<token>"."""

import re

from orioleshore.model import ids

# A token has at least 8 characters of 64, so that two ids issued in the
# same second practically never have the same token.
_ID_PATTERN = re.compile(r'^(\d{9,12})-([A-Za-z0-9_-]{8,64})$')


def parse_issue_time(identifier: str) -> ids.WallTime | None:
    """Return when an id was issued, None if the id is malformed."""
    match = _ID_PATTERN.match(identifier)
    if match is None:
        return None
    return ids.WallTime(float(match.group(1)))


def generate_operation_id(now: ids.WallTime, token: str) -> ids.OperationId:
    """Return an id issued at ``now``, a wall time in seconds."""
    return ids.OperationId(f'{int(now)}-{token}')
