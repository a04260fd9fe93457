"""Run a role that sends control messages by way of its peers' proxies."""

from __future__ import annotations

import sys

import pynng

from yuccapoint.platform.__main__ import application
from yuccapoint.platform.node_settings import load_node_settings
from yuccapoint.platform.node_settings import settings_path


class ProxiedPush(pynng.Push0):
    """Dials the given port instead of the peer's.

    The local address is set as well, by which a proxy knows the dialler.
    """

    local_ip = ""
    proxy_port = 0

    def dial(self, address: str, *, block: bool | None = None):
        peer_ip = address.removeprefix("tcp://").rpartition(":")[0]
        proxied = f"tcp://{self.local_ip};{peer_ip}:{self.proxy_port}"
        return super().dial(proxied, block=block)


if __name__ == "__main__":
    ProxiedPush.proxy_port = int(sys.argv.pop())
    ProxiedPush.local_ip = load_node_settings(settings_path()).ip
    pynng.Push0 = ProxiedPush
    application()
