"""Reloadable TLS context of the callers' and operators' ports."""

from __future__ import annotations

import pathlib
import ssl
from typing import TYPE_CHECKING

from yuccapoint.exceptions import SettingsError

if TYPE_CHECKING:
    from yuccapoint.process.settings.sections import AccessSection


class TlsContext:
    """TLS context that uses renewed files for later handshakes.

    Parameters
    ----------
    settings : AccessSection
        Paths of the certificate, its key and the CA of client
        certificates; with a CA, client certificates are required.

    Raises
    ------
    SettingsError
        A file can't be read, or key and certificate don't match.
    """

    def __init__(self, settings: AccessSection) -> None:
        self.context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        self._settings = settings
        self._modified_ns: list[int] = []
        self.reload()

    def reload(self) -> bool:
        """Reload the files if they changed; return whether they did."""
        settings = self._settings
        paths = [settings.tls_certificate_file, settings.tls_key_file]
        if settings.tls_client_ca_file:
            paths.append(settings.tls_client_ca_file)
        try:
            modified_ns = [pathlib.Path(p).stat().st_mtime_ns for p in paths]
            if modified_ns == self._modified_ns:
                return False
            self.context.load_cert_chain(paths[0], paths[1])
            if settings.tls_client_ca_file:
                self.context.load_verify_locations(paths[2])
                self.context.verify_mode = ssl.CERT_REQUIRED
        except (OSError, ssl.SSLError) as error:
            raise SettingsError(f"can't load the TLS files: {error}") from None
        self._modified_ns = modified_ns
        return True


def create_tls_context(settings: AccessSection) -> TlsContext | None:
    """Create the context if the settings name a certificate."""
    if not settings.tls_certificate_file:
        return None
    return TlsContext(settings)
