"""The order in which the processes of one host load their modules.

After a loss of power an entry host and a control member that share a host
also share its processor. Callers can be served only once the group has a
leader, so the member loads first.
"""

import socket
import time

# More than a member needs to load; it may not run on this host any more.
MEMBER_WAIT_S = 0.6
POLL_INTERVAL_S = 0.02


def wait_for_member(address: str) -> None:
    """Wait until the control member of this host listens, up to a limit.

    Returns at once without an address.
    """
    if not address:
        return
    host, _, port = address.rpartition(':')
    deadline = time.monotonic() + MEMBER_WAIT_S
    while time.monotonic() < deadline:
        try:
            with socket.create_connection((host, int(port)), MEMBER_WAIT_S):
                return
        except OSError:
            # The member does not listen yet.
            time.sleep(POLL_INTERVAL_S)
