"""Helpers shared by the HTTP front ends."""

import json
import math
from typing import Any

from aiohttp import web

from orioleshore.frontends import connections
from orioleshore.intake import gate as intake_gate
from orioleshore.intake import limits
from orioleshore.model import errors
from orioleshore.tasks import mailbox
from orioleshore.tasks import task
from orioleshore.telemetry import metrics

MAILBOX_CAPACITY = 16

# Seconds for which a planned stop waits for requests in flight; as long as a
# call of the control members may take.
SHUTDOWN_TIMEOUT_S = 5.0

ERROR_HEADER = connections.ERROR_HEADER
RAN_HEADER = connections.RAN_HEADER
REQUEST_HEADER = 'Orioleshore-Request'


def make_json(content: Any, status: int = 200) -> web.Response:
    """Return a response with sorted JSON."""
    text = json.dumps(content, sort_keys=True, indent=2)
    return web.Response(
        text=text + '\n', status=status, content_type='application/json'
    )


def make_metrics(content: bytes) -> web.Response:
    """Return a response with metrics in the text format."""
    return web.Response(
        body=content, headers={'Content-Type': metrics.CONTENT_TYPE}
    )


def make_failure(failure: errors.Failure) -> web.Response:
    """Return a failure as JSON, with the status of its error kind.

    Headers and fields state whether the request ran.
    """
    answer = failure.answer
    response = make_json(
        {
            'error': failure.kind.value,
            'message': failure.message,
            'details': list(failure.details),
            'ran': answer.ran.value,
            'may_resend': answer.may_resend,
        },
        answer.status,
    )
    response.headers[ERROR_HEADER] = failure.kind.value
    response.headers[RAN_HEADER] = answer.ran.value
    if failure.retry_after_s is not None:
        seconds = max(1, math.ceil(failure.retry_after_s))
        response.headers['Retry-After'] = str(seconds)
    return response


async def remove_server_header(
    request: web.BaseRequest, response: web.StreamResponse
) -> None:
    """Remove the header that names the HTTP library."""
    response.headers.popall('Server', None)


class Listener:
    """A listening socket with an aiohttp application behind it.

    A ``web.Server`` calls one handler for all requests and spends less time
    on each request than an application with routes.
    """

    def __init__(
        self, address: str, app: web.Application | web.Server, **options
    ) -> None:
        self._address = address
        self._app = app
        self._options = options
        self._gate: intake_gate.Gate | None = None
        self._runner: web.BaseRunner | None = None

    @property
    def address(self) -> str:
        return self._address

    def set_gate(self, gate: intake_gate.Gate) -> None:
        """Hold connections to the limits of a process."""
        self._gate = gate

    async def start(self) -> None:
        """Listen; port 0 is replaced by the port that the kernel assigned."""
        if isinstance(self._app, web.Server):
            self._runner = web.ServerRunner(
                self._app, shutdown_timeout=SHUTDOWN_TIMEOUT_S
            )
        else:
            self._runner = web.AppRunner(
                self._app,
                access_log=None,
                shutdown_timeout=SHUTDOWN_TIMEOUT_S,
                **self._options,
            )
        await self._runner.setup()
        gate = self._gate or limits.make_default_gate()
        server = self._runner.server
        self._address = await connections.start_site(
            self._runner,
            self._address,
            lambda: connections.Connection(
                server, gate, loop=server._loop, **server._kwargs
            ),
        )

    async def stop(self) -> None:
        """Close the socket and wait for the requests in flight."""
        if self._runner is not None:
            await self._runner.cleanup()


class ListeningTask(task.Task):
    """A task that only serves HTTP requests.

    Subclasses pass their application to ``configure_listener`` in their
    constructor.
    """

    def __init__(self, name: str) -> None:
        super().__init__(mailbox.Mailbox(name, MAILBOX_CAPACITY))
        self._listener: Listener | None = None

    @property
    def address(self) -> str:
        return self._listener.address

    def configure_listener(
        self, address: str, app: web.Application | web.Server
    ) -> None:
        """Set the address and the application that ``open`` serves."""
        self._listener = Listener(address, app)

    def set_gate(self, gate: intake_gate.Gate) -> None:
        """Hold connections to the limits of a process."""
        self._listener.set_gate(gate)

    async def open(self) -> None:
        """Start to listen."""
        await self._listener.start()

    async def close(self) -> None:
        """Close all connections."""
        await self._listener.stop()

    async def handle(self, message: Any) -> None:
        """Raise ``TypeError``: this task receives no messages."""
        raise TypeError(f'unknown message {type(message).__name__}')
