"""Look-up of services by brand, and of their operations."""

from orioleshore.model import documents
from orioleshore.model import ids


class RouteTable:
    """Finds a service by host name or path prefix with hash look-ups."""

    def __init__(self, services: tuple[documents.Service, ...]) -> None:
        self._services = {service.name: service for service in services}
        self._by_host: dict[str, ids.ServiceId] = {}
        self._by_prefix: dict[str, ids.ServiceId] = {}
        for service in services:
            for brand in service.brands:
                self._add(brand.lower(), service.name)

    @property
    def services(self) -> dict[ids.ServiceId, documents.Service]:
        return self._services

    def find(self, host: str, path: str) -> documents.Service | None:
        """Return the service of a request, None when no brand matches.

        A host name goes before a path prefix, and a longer prefix before
        a shorter one.
        """
        name = self._by_host.get(_strip_port(host).lower())
        if name is None:
            name = self._find_by_path(path.lower())
        return self._services.get(name)

    def _add(self, brand: str, name: ids.ServiceId) -> None:
        if brand.startswith('/'):
            self._by_prefix[brand.rstrip('/')] = name
        else:
            self._by_host[brand] = name

    def _find_by_path(self, path: str) -> ids.ServiceId | None:
        prefix = path.split('?', 1)[0].rstrip('/')
        while prefix:
            name = self._by_prefix.get(prefix)
            if name is not None:
                return name
            prefix = prefix.rpartition('/')[0]
        return None


def is_idempotent(service: documents.Service, method: str, path: str) -> bool:
    """Return whether the document lists the operation as idempotent."""
    for operation in service.idempotent:
        wanted_method, _, prefix = operation.partition(' ')
        if wanted_method.upper() != method.upper():
            continue
        prefix = prefix.rstrip('/')
        if path == prefix or path.startswith(f'{prefix}/'):
            return True
    return False


def _strip_port(host: str) -> str:
    if host.startswith('['):
        return host.partition(']')[0].lstrip('[')
    return host.partition(':')[0]
