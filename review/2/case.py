"""Case 2: a server that operators took out during an upgrade still gets requests, from the new process."""

from __future__ import annotations

import asyncio
import random
import signal
import socket

from standins import (
    BROKEN,
    CLASSES,
    HAS_TROUBLE,
    HELD,
    HOST,
    CaseNotRunError,
    Discovery,
    Platform,
    Process,
    Record,
    Server,
    call,
    main,
    read_message,
    request_bytes,
    running,
)

SERVERS = 8
CLIENTS = 10
REQUESTS_PER_S = 80.0
TAKEN_OUT = (("s-0", "s-1"), ("s-2", "s-3"))  # at each upgrade: at the old process, and at the new one
DRAIN_GRACE_S = 2.0 + 0.05  # of the settings; on sockets every time limit is 50 ms longer
KILL_DELAY_S = 0.75 + 0.7  # after SIGTERM: the longest deadline plus 0.7 s
BEFORE_S = 3.0
AFTER_S = 8.0  # each upgrade
SEED = 40


async def client(name: str, port: int, record: Record, stop: asyncio.Event, counts: dict[int, int]) -> None:
    """Send requests, one at a time; after a close or a reset on a new connection."""
    connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
    number = 0
    while not stop.is_set():
        await asyncio.sleep(random.expovariate(REQUESTS_PER_S / CLIENTS))
        number += 1
        request_id, service_class = f"{name}-{number}", random.choice(list(CLASSES))
        try:
            async with asyncio.timeout(1.0):
                if connection is None or connection[0].at_eof():
                    connection = await asyncio.open_connection(HOST, port)
                reader, writer = connection
                record.write(f"client sends {request_id} {service_class}")
                writer.write(request_bytes(request_id, service_class, timeout_s=0.45))
                answer = await read_message(reader)
        except (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError) as error:
            record.write(f"client has no answer to {request_id}: {error!r}")
            connection = None
            continue
        counts[answer.status] = counts.get(answer.status, 0) + 1
        record.write(f"client has {answer.status} for {request_id}")
        if answer.headers.get("connection") == "close":
            writer.close()
            connection = None


async def take_out(server: str, process: Process, record: Record, said_yes_at: dict[str, float]) -> None:
    """Take a server out by a call at the console of a process, as operators do."""
    status = await call(process.console, "POST", "/api/exclude", {"member": server})
    record.write(f"operator takes out {server} at {process.console}: {status}")
    if status != 200:
        raise CaseNotRunError(f"the call for {server} got {status}")
    said_yes_at[server] = record.now()


async def upgrade(
    servers: tuple[str, str],
    old: Process,
    record: Record,
    platform: Platform,
    listener: socket.socket,
    said_yes_at: dict[str, float],
) -> Process:
    """Take two servers out at an upgrade, by one call at each process; return the new process."""
    new = old
    if HAS_TROUBLE:
        new = await platform.start("n0", f"{HOST}:{listener.getsockname()[1]}", listener=listener)
        await platform.wait_until_ready(new)
    await take_out(servers[0], old, record, said_yes_at)
    await take_out(servers[1], new, record, said_yes_at)
    if HAS_TROUBLE:
        old.send(signal.SIGTERM)
        record.write("the old process got SIGTERM")
        await asyncio.sleep(KILL_DELAY_S)
        old.send(signal.SIGKILL)
    return new


async def play(record: Record, platform: Platform, servers: list[Server], listener: socket.socket) -> int:
    """Upgrade a sidecar twice; the rule is broken if a server gets a request after the grace."""
    port = listener.getsockname()[1]
    process = await platform.start("n0", f"{HOST}:{port}", listener=listener)
    await platform.wait_until_ready(process)
    stop, counts = asyncio.Event(), dict[int, int]()
    clients = [asyncio.create_task(client(f"c{i}", port, record, stop, counts)) for i in range(CLIENTS)]
    said_yes_at: dict[str, float] = {}
    for pair in TAKEN_OUT:
        await asyncio.sleep(BEFORE_S)
        process = await upgrade(pair, process, record, platform, listener, said_yes_at)
        await asyncio.sleep(AFTER_S)
    stop.set()
    await asyncio.gather(*clients)
    record.write(f"answers by status: {counts}")
    if counts.get(200, 0) < 500 or process.system.returncode is not None:
        raise CaseNotRunError(f"too few requests were served: {counts}")
    late = [
        (server.name, at - said_yes_at[server.name], request_id)
        for server in servers
        if server.name in said_yes_at
        for at, request_id in server.requests
        if at - said_yes_at[server.name] > DRAIN_GRACE_S
    ]
    for name, after_s, request_id in late:
        record.write(f"broken: {name} got {request_id} {after_s:.3f} s after the yes that took it out")
    record.report(f"{len(late)} requests at servers that were taken out more than {DRAIN_GRACE_S} s before")
    return BROKEN if late else HELD


async def case(record: Record) -> int:
    """Run the case."""
    random.seed(SEED)
    discovery = Discovery()
    servers = [Server(f"s-{index}", record, lambda: random.uniform(0.025, 0.05)) for index in range(SERVERS)]
    for server in (discovery, *servers):
        await server.start()
    discovery.servers = [server.entry() for server in servers]
    platform = Platform(record, discovery)
    with socket.socket() as listener:  # the platform holds the listening socket of the clients' address
        listener.bind((HOST, 0))
        listener.listen(128)
        return await running(platform, servers, play(record, platform, servers, listener))


main(case, __file__)
