"""Reload of tokens and certificates."""

from __future__ import annotations

from typing import TYPE_CHECKING

from yuccapoint.exceptions import YuccapointError

if TYPE_CHECKING:
    from yuccapoint.process.authenticator import Authenticator
    from yuccapoint.process.process_logger import ProcessLogger
    from yuccapoint.process.tls_context import TlsContext


def reload_credentials(
    authenticator: Authenticator,
    tls: TlsContext | None,
    logger: ProcessLogger,
) -> None:
    """Reload tokens and certificates; on failure keep the old ones."""
    try:
        changed = authenticator.reload()
        if tls is not None:
            changed = tls.reload() or changed
    except YuccapointError as error:
        logger.log(
            "access", f"reload failed, previous credentials kept: {error}"
        )
        return
    if changed:
        logger.log("access", "credentials reloaded")
