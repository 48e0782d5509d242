"""TLS contexts between the system's own processes."""

import os
import ssl
from typing import Any

from orioleshore import settings


class TlsContexts:
    """Builds contexts from files and builds them again when files change."""

    def __init__(self, files: settings.Tls) -> None:
        self._files = files
        self._stamp: tuple[int, ...] | None = None
        self._server: ssl.SSLContext | None = None
        self._client: ssl.SSLContext | None = None

    def get_server(self) -> ssl.SSLContext:
        """Return the context for accepted connections."""
        self._refresh()
        return self._server

    def get_client(self) -> ssl.SSLContext:
        """Return the context for opened connections."""
        self._refresh()
        return self._client

    def _refresh(self) -> None:
        stamp = tuple(
            os.stat(getattr(self._files, name)).st_mtime_ns
            for name in self._files.__struct_fields__
        )
        if stamp == self._stamp:
            return
        self._server = self._build(ssl.Purpose.CLIENT_AUTH)
        self._client = self._build(ssl.Purpose.SERVER_AUTH)
        self._stamp = stamp

    def _build(self, purpose: ssl.Purpose) -> ssl.SSLContext:
        context = ssl.create_default_context(
            purpose, cafile=self._files.authority
        )
        context.load_cert_chain(self._files.certificate, self._files.key)
        # Peers are named by node name in the certificate, not by host name.
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        return context


def get_peer_name(certificate: dict[str, Any] | None) -> str | None:
    """Return the common name of a verified certificate."""
    for attributes in (certificate or {}).get('subject', ()):
        for name, value in attributes:
            if name == 'commonName':
                return value
    return None
