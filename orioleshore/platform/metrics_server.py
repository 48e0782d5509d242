"""HTTP server for the metrics of a process."""

from aiohttp import web

from orioleshore.frontends import web as frontend_web
from orioleshore.platform import forwarding
from orioleshore.telemetry import collection

PATH = '/metrics'


class MetricsServer(frontend_web.ListeningTask):
    """Owns the connections of the monitoring system."""

    def __init__(self, address: str, collector: collection.Collector) -> None:
        super().__init__('platform-metrics')
        self._collector = collector
        self.configure_listener(address, web.Server(self._serve_request))

    async def _serve_request(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        if request.path != PATH:
            return forwarding.make_success()
        return frontend_web.make_metrics(await self._collector.collect())
