"""Lookup of services by brand, and of their idempotent operations."""

from orioleshore.model import documents


class RouteTable:
    """Finds a service by host name or path prefix with hash lookups.

    The dictionaries hold the services themselves rather than their names:
    with 200,000 entries, each lookup misses the CPU caches, so a second one
    would be noticeable.
    """

    def __init__(self, services: tuple[documents.Service, ...]) -> None:
        self._by_host: dict[str, documents.Service] = {}
        self._by_prefix: dict[str, documents.Service] = {}
        for service in services:
            for brand in service.brands:
                self._add_brand(brand.lower(), service)

    def find_service(self, host: str, path: str) -> documents.Service | None:
        """Return the service of a request, None when no brand matches.

        A host name takes precedence over a path prefix, and a longer
        prefix over a shorter one.
        """
        service = self._by_host.get(_strip_port(host).lower())
        if service is not None:
            return service
        return self._find_by_path(path.lower())

    def _add_brand(self, brand: str, service: documents.Service) -> None:
        if brand.startswith('/'):
            self._by_prefix[brand.rstrip('/')] = service
        else:
            self._by_host[brand] = service

    def _find_by_path(self, path: str) -> documents.Service | None:
        prefix = path.split('?', 1)[0].rstrip('/')
        while prefix:
            service = self._by_prefix.get(prefix)
            if service is not None:
                return service
            prefix = prefix.rpartition('/')[0]
        return None


def is_idempotent(service: documents.Service, method: str, path: str) -> bool:
    """Return whether the document lists the operation as idempotent."""
    for operation in service.idempotent:
        listed_method, _, prefix = operation.partition(' ')
        if listed_method.upper() != method.upper():
            continue
        prefix = prefix.rstrip('/')
        if path == prefix or path.startswith(f'{prefix}/'):
            return True
    return False


def _strip_port(host: str) -> str:
    if host.startswith('['):
        return host.partition(']')[0].lstrip('[')
    return host.partition(':')[0]
