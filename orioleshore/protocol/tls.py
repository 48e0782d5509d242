"""TLS contexts for connections between processes of the system."""

import logging
import os
import ssl
from typing import Any

from orioleshore import settings
from orioleshore.telemetry import logs
from orioleshore.timers import clock

LOG = logging.getLogger(__name__)

# Seconds between attempts to read changed files that could not be read.
RELOAD_RETRY_S = 1.0


class TlsContexts:
    """Builds TLS contexts from files, and again when the files change.

    The earlier contexts stay in use while changed files cannot be read, for
    example because the new key is not written yet. Reading is attempted again
    until it succeeds: the earlier files may have been withdrawn.
    """

    def __init__(self, files: settings.Tls) -> None:
        self._files = files
        self._retry_at = 0.0
        self._modification_times_ns = self._get_modification_times_ns()
        self._server_context = self._build_context(ssl.Purpose.CLIENT_AUTH)
        self._client_context = self._build_context(ssl.Purpose.SERVER_AUTH)
        # The listening socket keeps the context that it was opened with, so
        # each handshake switches to the newest one.
        self._listening_context = self._build_context(ssl.Purpose.CLIENT_AUTH)
        self._listening_context.sni_callback = self._use_newest_context

    def get_server_context(self) -> ssl.SSLContext:
        """Return the context for incoming connections."""
        return self._listening_context

    def get_client_context(self) -> ssl.SSLContext:
        """Return the context for outgoing connections."""
        self._reload_if_changed()
        return self._client_context

    def _use_newest_context(
        self,
        connection: ssl.SSLObject,
        server_name: str | None,
        context: ssl.SSLContext,
    ) -> None:
        self._reload_if_changed()
        connection.context = self._server_context

    def _reload_if_changed(self) -> None:
        now = clock.read_monotonic()
        if now < self._retry_at:
            return
        try:
            modification_times_ns = self._get_modification_times_ns()
            if modification_times_ns == self._modification_times_ns:
                return
            server = self._build_context(ssl.Purpose.CLIENT_AUTH)
            client = self._build_context(ssl.Purpose.SERVER_AUTH)
        except OSError as error:
            self._retry_at = now + RELOAD_RETRY_S
            LOG.warning(
                logs.format_event('certificates_unreadable', error=error)
            )
            return
        self._modification_times_ns = modification_times_ns
        self._server_context = server
        self._client_context = client
        LOG.info(logs.format_event('certificates_renewed'))

    def _get_modification_times_ns(self) -> tuple[int, ...]:
        return tuple(
            os.stat(getattr(self._files, name)).st_mtime_ns
            for name in self._files.__struct_fields__
        )

    def _build_context(self, purpose: ssl.Purpose) -> ssl.SSLContext:
        context = ssl.create_default_context(
            purpose, cafile=self._files.authority
        )
        context.load_cert_chain(self._files.certificate, self._files.key)
        # Certificates contain the node name of the peer, not its host name.
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
