"""TLS contexts for links and HTTP."""

from __future__ import annotations

import ssl
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from peridothatch_daemon import settings


def server(files: settings.Tls | None) -> ssl.SSLContext | None:
    """Return a context for a listener that requires client certificates of the authority."""
    if files is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=files.authority_path)
    context.load_cert_chain(files.certificate_path, files.key_path)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def client(files: settings.Tls | None) -> ssl.SSLContext | None:
    """Return a context for connections to listeners with a certificate of the authority."""
    if files is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=files.authority_path)
    context.load_cert_chain(files.certificate_path, files.key_path)
    # Processes are addressed by IP address and may be replaced at any time, so certificates name
    # the installation instead of the host.
    context.check_hostname = False
    return context
