"""TLS contexts between the system's own processes."""

import logging
import os
import ssl
from typing import Any

from orioleshore import settings
from orioleshore.telemetry import logs

LOG = logging.getLogger(__name__)


class TlsContexts:
    """Builds contexts from files and builds them again when files change.

    Files that cannot be read after a change, such as a key that is not
    written yet, leave the earlier contexts in use.
    """

    def __init__(self, files: settings.Tls) -> None:
        self._files = files
        self._stamp = self._get_stamp()
        self._server = self._build(ssl.Purpose.CLIENT_AUTH)
        self._client = self._build(ssl.Purpose.SERVER_AUTH)
        # The listening socket keeps its context for ever, so that each
        # handshake moves on to the newest one.
        self._listening = self._build(ssl.Purpose.CLIENT_AUTH)
        self._listening.sni_callback = self._use_newest

    def get_server(self) -> ssl.SSLContext:
        """Return the context for accepted connections."""
        return self._listening

    def get_client(self) -> ssl.SSLContext:
        """Return the context for opened connections."""
        self._refresh()
        return self._client

    def _use_newest(
        self,
        connection: ssl.SSLObject,
        server_name: str | None,
        context: ssl.SSLContext,
    ) -> None:
        self._refresh()
        connection.context = self._server

    def _refresh(self) -> None:
        try:
            stamp = self._get_stamp()
            if stamp == self._stamp:
                return
            self._stamp = stamp
            server = self._build(ssl.Purpose.CLIENT_AUTH)
            client = self._build(ssl.Purpose.SERVER_AUTH)
        except OSError as error:
            LOG.warning(
                logs.format_event('certificates_unreadable', error=error)
            )
            return
        self._server = server
        self._client = client
        LOG.info(logs.format_event('certificates_renewed'))

    def _get_stamp(self) -> tuple[int, ...]:
        return tuple(
            os.stat(getattr(self._files, name)).st_mtime_ns
            for name in self._files.__struct_fields__
        )

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
