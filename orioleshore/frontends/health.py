"""HTTP front end for health, readiness and metrics of a process."""

from collections.abc import Awaitable
from collections.abc import Callable

from aiohttp import web

from orioleshore.frontends import access
from orioleshore.frontends import web as frontend_web
from orioleshore.model import errors
from orioleshore.telemetry import collection
from orioleshore.telemetry import dumps


class HealthFrontend(frontend_web.ListeningTask):
    """Owns the connections of the load balancer and of monitoring.

    ``get_unready_reason`` returns why the process is not ready, or None when
    it is.
    """

    def __init__(
        self,
        address: str,
        get_unready_reason: Callable[[], Awaitable[str | None]],
        dumper: dumps.Dumper,
        collector: collection.Collector,
        token_files: dict[str, str],
    ) -> None:
        super().__init__('health')
        self._get_unready_reason = get_unready_reason
        self._dumper = dumper
        self._collector = collector
        self._authenticator = access.Authenticator(token_files)
        app = web.Application()
        app.router.add_get('/healthz', self._show_health)
        app.router.add_get('/readyz', self._show_readiness)
        app.router.add_get('/v1/dump', self._show_dump)
        app.router.add_get('/metrics', self._show_metrics)
        self.configure_listener(address, app)

    async def _show_health(self, request: web.Request) -> web.Response:
        return frontend_web.make_json({'healthy': True})

    async def _show_readiness(self, request: web.Request) -> web.Response:
        reason = await self._get_unready_reason()
        if reason is None:
            return frontend_web.make_json({'ready': True})
        return frontend_web.make_json({'ready': False, 'reason': reason}, 503)

    async def _show_metrics(self, request: web.Request) -> web.Response:
        return frontend_web.make_metrics(await self._collector.collect())

    async def _show_dump(self, request: web.Request) -> web.Response:
        if self._authenticator.find_operator(request) is None:
            return frontend_web.make_failure(
                errors.Failure(
                    errors.ErrorKind.UNAUTHORIZED,
                    'send the token of an operator',
                )
            )
        return frontend_web.make_json(await self._dumper.get_dump())
