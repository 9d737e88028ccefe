"""Starts a sidecar: `python -m sidecar`.

Exit codes: 0 after SIGTERM or SIGINT, 1 if it can't listen, 2 if its configuration is bad.
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import socket
import sys

import uvloop

from sidecar.configuration import Configuration, ConfigurationError, load
from sidecar.configuration_reload import ConfigurationReloader
from sidecar.downstream.listener import inherited
from sidecar.sidecar import Sidecar

_LINES_PER_S = 20.0
_LINES_AT_ONCE = 200.0


class LineLog:
    """Writes lines to standard error, not more than so many a second: a log must not fill a disk."""

    def __init__(self) -> None:
        self._allowance = _LINES_AT_ONCE
        self._at = 0.0
        self._left_out = 0

    def __call__(self, text: str) -> None:
        now = asyncio.get_running_loop().time()
        self._allowance = min(self._allowance + (now - self._at) * _LINES_PER_S, _LINES_AT_ONCE)
        self._at = now
        if self._allowance < 1.0:
            self._left_out += 1
            return
        self._allowance -= 1.0
        if self._left_out:
            print(f"left out {self._left_out} lines", file=sys.stderr)
            self._left_out = 0
        print(text, file=sys.stderr, flush=True)


def listening(config: Configuration) -> socket.socket | None:
    """The clients' listening socket, where the platform holds it; raise ConfigurationError if it is none."""
    if config.listen_descriptor is None:
        return None
    try:
        return inherited(config.listen_descriptor)
    except ValueError as nonsense:
        raise ConfigurationError(f"BALANCER_SOCKET_FD: {nonsense}") from None


async def serve(config: Configuration, held: socket.socket | None) -> None:
    """Run until SIGTERM or SIGINT, then drain; SIGHUP reads the configuration again."""
    log = LineLog()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.set_exception_handler(
        lambda _, what: log(f"internal error: {what['message']}: {what.get('exception')!r}")
    )
    sidecar = Sidecar(config, log, held)
    reloader = ConfigurationReloader(sidecar, log, os.environ)
    sidecar.on_newer = reloader.reload_if_newer
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    await sidecar.start()
    if sidecar.admin_interface is not None and config.admin_address is not None:
        log(f"the operators' door is at {config.admin_address[0]}:{sidecar.admin_interface.port}")
    log(f"{config.name} serves on {config.listen_address[0]}:{sidecar.frontend.port}")
    gc.freeze()  # what is there now stays: collections need not look at it
    await stop.wait()
    log("draining")
    await sidecar.drain()
    log("drained")


def main() -> int:
    try:
        config = load(os.environ)
        held = listening(config)
    except ConfigurationError as fault:
        print(f"sidecar: config: {fault}".replace("\n", " "), file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(config, held))
    except OSError as fault:
        print(f"sidecar: can't listen: {fault}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
