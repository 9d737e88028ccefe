"""Starts a sidecar: `python -m sidecar`.

Exit codes: 0 after SIGTERM or SIGINT, 1 if it can't listen, 2 if its configuration is invalid.
"""

from __future__ import annotations

import asyncio
import faulthandler
import gc
import os
import signal
import socket
import sys

import uvloop

from sidecar.configuration import Configuration, ConfigurationError, load
from sidecar.configuration_reload import ConfigurationReloader
from sidecar.downstream.listener import listener_from_descriptor
from sidecar.log_events import (
    AdminInterfaceListening,
    ConfigurationInvalid,
    EventLog,
    InternalError,
    ListenFailed,
    Listening,
    ShutdownCompleted,
    ShutdownStarted,
)
from sidecar.log_writer import STANDARD_ERROR, LogWriter
from sidecar.memory_monitor import MemoryMonitor
from sidecar.sidecar import Sidecar

_EXIT_LISTEN_FAILED = 1
_EXIT_CONFIGURATION_INVALID = 2


def inherited_listener(configuration: Configuration) -> socket.socket | None:
    """Return the listening socket that the platform passes as a file descriptor; None if it passes none.

    Raises:
        ConfigurationError: the descriptor is not that of a listening socket.
    """
    if configuration.listen_descriptor is None:
        return None
    try:
        return listener_from_descriptor(configuration.listen_descriptor)
    except ValueError as error:
        raise ConfigurationError(f"BALANCER_SOCKET_FD: {error}") from None


async def serve(configuration: Configuration, listener: socket.socket | None) -> None:
    """Run until SIGTERM or SIGINT, then shut down gracefully; SIGHUP reloads the configuration."""
    log = LogWriter()
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.set_exception_handler(
        lambda _, context: log(InternalError(context["message"], context.get("exception")))
    )
    sidecar = Sidecar(configuration, log, listener)
    reloader = ConfigurationReloader(sidecar, log, os.environ)
    sidecar.on_newer_version = reloader.reload_if_newer
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    await sidecar.start()
    _log_addresses(configuration, sidecar, log)
    memory_monitor = MemoryMonitor(configuration.memory_mb, sidecar.describe_memory, log)
    memory_monitor.start()
    # Objects that exist now live as long as the process, so garbage collections need not scan them.
    gc.freeze()
    await stop_requested.wait()
    log(ShutdownStarted())
    await sidecar.shut_down()
    memory_monitor.close()
    log(ShutdownCompleted())


def _log_addresses(configuration: Configuration, sidecar: Sidecar, log: EventLog) -> None:
    if sidecar.admin_interface is not None and configuration.admin_address is not None:
        log(AdminInterfaceListening(configuration.admin_address[0], sidecar.admin_interface.port))
    log(Listening(configuration.name, configuration.listen_address[0], sidecar.downstream.port))


def main() -> int:
    """Run a sidecar that is configured by environment variables; return the exit code."""
    faulthandler.enable(
        STANDARD_ERROR
    )  # a fatal signal such as SIGSEGV, SIGBUS or SIGABRT leaves a traceback in the log
    try:
        configuration = load(os.environ)
        listener = inherited_listener(configuration)
    except ConfigurationError as error:
        print(ConfigurationInvalid(str(error)), file=sys.stderr)
        return _EXIT_CONFIGURATION_INVALID
    try:
        uvloop.run(serve(configuration, listener))
    except OSError as error:
        print(ListenFailed(str(error)), file=sys.stderr)
        return _EXIT_LISTEN_FAILED
    return 0


if __name__ == "__main__":
    sys.exit(main())
