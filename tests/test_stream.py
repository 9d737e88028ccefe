"""Bodies that pass through, both ways: the decisions, and loopback sockets."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from helpers import MS, S, Stage, names, settings
from loopback import HOST, OK, Client, Heard, line, play, read_head, request, soon, stage, until
from loopback import Stage as Scene
from test_client_draining import health

from balancer.actions import CancelAttempt, Fail, Reject
from balancer.events import (
    AttemptEnded,
    ClientDisconnected,
    Outcome,
    RequestArrived,
    RequestBodyCompleted,
    ResponseStarted,
)
from sidecar import graceful_shutdown
from sidecar.downstream import stream
from sidecar.downstream.stream import Upload, part_of_budget
from sidecar.upstream import client, upstream

LONG = 3 << 20


def arrive(stage_: Stage, number: int = 900, name: str = "pay") -> int:
    stage_.play(RequestArrived(number, name, None, None, S, is_body_streaming=True))
    return number


# The decisions


def test_the_time_of_an_arriving_request_begins_when_it_is_complete() -> None:
    scene = Stage()
    scene.servers(names(3))
    request_ = arrive(scene)
    scene.wait(30 * S)  # a slow body is no slow server
    assert len(scene.sends(request_)) == 1 and scene.said(Fail) == []
    scene.play(RequestBodyCompleted(request_, 900 * MS))
    scene.wait(880 * MS)
    assert scene.said(Fail) == []
    scene.wait(20 * MS)
    assert [each.request for each in scene.said(Fail)] == [request_]
    assert [each.request for each in scene.said(CancelAttempt)] == [request_]


def test_what_was_sent_on_and_not_kept_is_never_sent_again() -> None:
    scene = Stage()
    scene.servers(names(3))
    kept, spent, ran = (arrive(scene, number, "look") for number in (901, 902, 903))
    for number, outcome, is_spent in (
        (kept, Outcome.CONNECT_FAILED, False),
        (spent, Outcome.CONNECT_FAILED, True),
        (ran, Outcome.CONNECTION_LOST, True),
    ):
        server = scene.target(number)
        scene.play(AttemptEnded(number, 0, server, outcome, 0, False, None, is_spent))
    assert len(scene.sends(kept)) == 2
    assert len(scene.sends(spent)) == len(scene.sends(ran)) == 1
    assert [each.request for each in scene.said(Reject)] == [spent, ran]


def test_a_spent_request_that_may_have_run_fails_where_its_class_forbids_repeats() -> None:
    scene = Stage()
    scene.servers(names(3))
    request_ = arrive(scene, name="pay")
    scene.play(
        AttemptEnded(request_, 0, scene.target(request_), Outcome.CONNECTION_LOST, 0, False, None, True)
    )
    assert [each.request for each in scene.said(Fail)] == [request_] and scene.said(Reject) == []


def test_a_body_that_passes_through_gets_no_second_copy() -> None:
    scene = Stage()
    scene.servers(names(5))
    scene.serve(40)
    request_ = arrive(scene, name="look")
    scene.play(RequestBodyCompleted(request_, 2 * S))
    scene.serve(60)
    assert len(scene.sends(request_)) == 1


def test_slow_bodies_and_long_answers_leave_servers_and_the_window_alone() -> None:
    # Guards against refusals and ejections for what only the client, or the size, makes slow.
    scene = Stage()
    scene.servers(names(4))
    scene.serve(40)
    for number in range(900, 940):
        arrive(scene, number, "look")
    scene.wait(20 * S)
    assert scene.balancer.members() == (4, 0)
    for number in range(900, 940):
        scene.play(RequestBodyCompleted(number, 2 * S))
        scene.play(ResponseStarted(number, 0, scene.target(number), 0))
    scene.wait(20 * S)
    before = len(scene.said(Reject))
    scene.serve(100)
    assert len(scene.said(Reject)) == before and scene.balancer.members() == (4, 0)


def test_an_answer_that_began_keeps_other_attempts_from_answering_or_being_sent() -> None:
    scene = Stage(settings(limits={"max_attempts": 5}))
    scene.servers(names(3))
    request_ = scene.request("look", 2 * S)
    silent = scene.target(request_)
    for _ in range(40):
        other = scene.request("look")
        scene.wait(20 * MS)
        if scene.target(other) != silent:
            scene.end(other)
    assert len(scene.sends(request_)) >= 2
    scene.play(ResponseStarted(request_, 1, scene.target(request_), 100))
    assert CancelAttempt(request_, 0) in scene.said(CancelAttempt)
    count = len(scene.sends(request_))
    scene.end(request_, Outcome.CONNECTION_LOST, attempt=0, answered=False)
    scene.wait(20 * S)
    assert len(scene.sends(request_)) == count
    answered = [each.request for each in scene.said(Reject)] + [each.request for each in scene.said(Fail)]
    assert request_ not in answered


def test_a_client_that_leaves_while_it_sends_is_not_held_against_the_server() -> None:
    scene = Stage()
    scene.servers(names(4))
    for number in range(900, 920):
        arrive(scene, number)
        scene.wait(5 * S)
        scene.play(ClientDisconnected(number))
        scene.play(AttemptEnded(number, 0, scene.target(number), Outcome.CANCELLED, 5 * S, True, None, True))
    assert scene.balancer.members() == (4, 0)
    last = scene.request()
    assert len(scene.sends(last)) == 1


# The parts


def test_the_budget_is_split_evenly_within_bounds() -> None:
    assert part_of_budget(64, 341) == (64 << 20) // 8 // 341
    assert part_of_budget(192, 10) == 64 << 10
    assert part_of_budget(1, 10_000) == 4 << 10


class _Outlet:
    def __init__(self) -> None:
        self.body, self.is_open, self.is_ended = b"", True, False

    def send_body(self, data: bytes) -> bool:
        self.body += data
        return self.is_open

    def end_body(self) -> None:
        self.is_ended = True


def test_an_upload_keeps_its_beginning_and_holds_its_client_back() -> None:
    told: list[str] = []
    upload = Upload(None, lambda: told.append("hold"), lambda: told.append("go on"))
    upload.feed(b"a" * 60_000)
    assert told == [] and not upload.is_spent
    upload.feed(b"b" * 60_000)
    assert told == ["hold"]
    outlet = _Outlet()
    upload.attach(outlet)
    assert told == ["hold", "go on"] and upload.is_spent
    outlet.is_open = False
    upload.feed(b"c")
    upload.end()
    assert told[-1] == "hold"
    assert (len(outlet.body), outlet.body[-1:], outlet.is_ended) == (120_001, b"c", True)


# Over sockets


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        body += (await reader.readexactly(size + 2))[:-2]
    while await reader.readuntil(b"\r\n") != b"\r\n":
        pass  # trailers
    return body


async def long_answer(client: Client, kind: str = "check") -> tuple[int, bytes]:
    client.send(request(kind, timeout="5"))
    first, headers = await soon(read_head(client.reader))
    if "content-length" in headers:
        body = await soon(client.reader.readexactly(int(headers["content-length"])))
    else:
        body = await soon(read_chunks(client.reader))
    return int(first.split(" ")[1]), body


BODY = bytes(range(256)) * (LONG // 256)
BEGINNING = b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + b"a" * 90_000  # of 200,000


@pytest.mark.parametrize("form", ["length", "chunks", "close"])
def test_a_long_answer_comes_whole_in_every_framing(form: str) -> None:
    async def work() -> None:
        async def script(heard: Heard) -> bytes | None:
            if form == "length":
                return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG + BODY
            if form == "chunks":
                head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                pieces = (BODY[at : at + 100_000] for at in range(0, LONG, 100_000))
                chunks = b"".join(b"%x;x=1\r\n%s\r\n" % (len(each), each) for each in pieces)
                return head + chunks + b"0\r\nTrailer: t\r\n\r\n"
            heard.writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + BODY)
            heard.writer.close()
            return None

        async with stage(script, console=True) as scene:
            client = await scene.client()
            for _ in range(2):
                assert await long_answer(client) == (200, BODY)
            figures = await scene.figures()
            assert figures["downstream_requests"]["check"]["completed"] == 2
            assert (figures["pending"], scene.sidecar.open_requests) == (0, 0)

    play(work)


def test_a_client_of_http_1_0_gets_a_long_answer_without_chunks_until_the_end() -> None:
    # It can't read chunks; the end of the connection is the end of the answer.
    async def work() -> None:
        async def script(heard: Heard) -> None:
            heard.writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + BODY)
            heard.writer.close()

        async with stage(script) as scene:
            client = await scene.client()
            client.send(request("check", timeout="5").replace(b"HTTP/1.1", b"HTTP/1.0", 1))
            first, headers = await soon(read_head(client.reader))
            assert first.split(" ")[1] == "200" and headers["connection"] == "close"
            assert "transfer-encoding" not in headers and "content-length" not in headers
            assert await soon(client.reader.read()) == BODY

    play(work)


def test_the_beginning_of_a_long_answer_is_passed_on_before_the_rest_has_come() -> None:
    async def work() -> None:
        release = asyncio.Event()

        async def script(heard: Heard) -> bytes:
            heard.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + b"a" * 1_000)
            await release.wait()
            return b"b" * 199_000

        async with stage(script) as scene:
            client = await scene.client()
            client.send(request("check", timeout="0.300"))
            await soon(read_head(client.reader))
            assert await soon(client.reader.readexactly(1_000)) == b"a" * 1_000
            await asyncio.sleep(0)
            release.set()  # however long that takes: the client's time has stopped
            assert await soon(client.reader.readexactly(199_000)) == b"b" * 199_000

    play(work)


def test_a_reader_that_takes_nothing_stops_the_server_in_bounded_memory() -> None:
    async def work() -> None:
        sent = 0

        async def script(heard: Heard) -> None:
            nonlocal sent
            heard.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (32 << 20))
            while sent < 32 << 20:
                heard.writer.write(bytes(1 << 16))
                await heard.writer.drain()
                sent += 1 << 16

        async with stage(script) as scene:
            client = await scene.client()
            client.send(request("check", timeout="5"))
            await until(lambda: any(side._is_writing_paused for side in scene.sidecar.frontend._connections))
            (side,) = scene.sidecar.frontend._connections
            assert side._transport is not None
            assert side._transport.get_write_buffer_size() <= scene.sidecar.frontend.part + 2 * (1 << 16)
            assert sent < 32 << 20
            await soon(read_head(client.reader))
            assert len(await soon(client.reader.readexactly(32 << 20))) == 32 << 20

    play(work)


def test_a_server_that_breaks_off_leaves_the_client_able_to_tell() -> None:
    async def work() -> None:
        async def script(heard: Heard) -> None:
            heard.writer.write(BEGINNING)
            await heard.writer.drain()
            heard.writer.close()

        async with stage(script, console=True) as scene:
            client = await scene.client()
            client.send(request("check", timeout="5"))
            await soon(read_head(client.reader))
            with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)):
                await soon(client.reader.readexactly(200_000))
            await until(lambda: scene.sidecar.open_requests == 0)
            assert len(scene.heard) == 1
            assert (await scene.figures())["downstream_requests"]["check"]["failed"] == 1

    play(work)


def test_the_end_of_a_process_cuts_off_no_long_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against losing what its server is still giving: whatever else has to be over, it goes on.
    for name in ("_KILL_DELAY_S", "_MAX_DEADLINE_S", "_ACCEPT_FOR_S", "_RESERVE_S"):
        monkeypatch.setattr(graceful_shutdown, name, 0.0)

    async def work() -> None:
        release = asyncio.Event()

        async def script(heard: Heard) -> bytes | None:
            if heard.headers["request-class"] == "lodge":
                return None
            heard.writer.write(BEGINNING)
            await release.wait()
            return b"b" * 110_000

        async with stage(script) as scene:
            reading, waiting = await scene.client(), await scene.client()
            reading.send(request("check", timeout="5"))
            await soon(read_head(reading.reader))
            waiting.send(request("lodge", timeout="5"))
            await until(lambda: len(scene.heard) == 2)
            ending = asyncio.create_task(scene.sidecar.shut_down())
            assert (await waiting.answer()).status == 504
            assert not ending.done()
            release.set()
            assert await soon(reading.reader.readexactly(200_000)) == b"a" * 90_000 + b"b" * 110_000
            await soon(ending)

    play(work)


def test_a_client_that_leaves_in_a_long_answer_ends_the_exchange() -> None:
    async def work() -> None:
        async def script(heard: Heard) -> bytes:
            return BEGINNING

        async with stage(script) as scene:
            client = await scene.client()
            client.send(request("check", timeout="5"))
            await soon(read_head(client.reader))
            client.close()
            await until(lambda: scene.servers[0].closed == [0] and scene.sidecar.open_requests == 0)

    play(work)


def test_a_server_silent_within_a_long_answer_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream, "STALLED_S", 0.1)

    async def work() -> None:
        async def script(heard: Heard) -> bytes:
            return BEGINNING

        async with stage(script) as scene:
            client = await scene.client()
            client.send(request("check", timeout="5"))
            await soon(read_head(client.reader))
            with pytest.raises((asyncio.IncompleteReadError, ConnectionResetError)):
                await soon(client.reader.readexactly(200_000))

    play(work)


def test_a_slow_refusal_of_unknown_length_is_a_refusal(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against passing on, and so misreading, what is no answer of a server to the client.
    monkeypatch.setattr(client, "_HELD_S", 0.0)

    async def work() -> None:
        release = asyncio.Event()

        async def script(heard: Heard) -> bytes:
            head = b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
            heard.writer.write(head + b"3\r\nful\r\n")
            await release.wait()
            return b"1\r\nl\r\n0\r\n\r\n"

        async with stage(script) as scene:
            asking = await scene.client()
            asking.send(request("lodge"))
            await until(lambda: len(scene.heard) == 1)
            assert await health(await scene.client()) == 200  # some rounds of the event loop
            release.set()
            assert (await asking.answer()).status == 503

    play(work)


def test_a_body_that_is_still_arriving_is_not_pending_yet() -> None:
    async def work() -> None:
        taker = Taker()
        server = await taker.start()
        async with stage(listed=False) as scene:
            await list_only(scene, f"{HOST}:{server.sockets[0].getsockname()[1]}")
            sender = await scene.client()
            sender.send(request("lodge", body=BODY)[:-1])
            await until(lambda: taker.begun == 1)
            assert scene.sidecar.administration.metrics()["pending"] == 0
            sender.send(BODY[-1:])
            assert (await sender.answer()).status == 200
        server.close()

    play(work)


class Taker:
    """A server that takes long bodies: what it read, whole or not."""

    def __init__(self, answer: bytes = OK) -> None:
        self.answer, self.bodies, self.begun = answer, list[bytes](), 0
        self.may_read = asyncio.Event()
        self.may_read.set()

    async def start(self) -> asyncio.Server:
        return await asyncio.start_server(self._serve, HOST, 0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                _, headers = await read_head(reader)
                self.begun += 1
                await self.may_read.wait()
                if "content-length" in headers:
                    body = await reader.readexactly(int(headers["content-length"]))
                else:
                    body = await read_chunks(reader)
                self.bodies.append(body)
                writer.write(self.answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def upload_of(body: bytes, form: str) -> bytes:
    if form == "length":
        return request("lodge", body=body)
    head = request("lodge", Content_Length="", Transfer_Encoding="chunked", Trailer="t")
    pieces = (body[at : at + 30_000] for at in range(0, len(body), 30_000))
    return head + b"".join(b"%x;e=1\r\n%s\r\n" % (len(each), each) for each in pieces) + b"0\r\nt: 1\r\n\r\n"


@pytest.mark.parametrize("form", ["length", "chunks"])
def test_a_long_body_reaches_a_server_whole_and_the_connection_lives_on(form: str) -> None:
    async def work() -> None:
        taker = Taker()
        server = await taker.start()
        address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        async with stage(listed=False, console=True) as scene:
            await list_only(scene, address)
            client = await scene.client()
            for _ in range(2):
                client.send(upload_of(BODY, form))
                assert (await client.answer()).status == 200
            assert taker.bodies == [BODY, BODY]
            figures = await scene.figures()
            assert figures["downstream_requests"]["lodge"]["completed"] == 2
            assert figures["upstream_requests"] == 2
        server.close()

    play(work)


async def list_only(scene: Scene, address: str) -> None:
    scene.discovery.tell(line("s-0", address))
    await until(lambda: scene.sidecar.administration.metrics()["members"] == 1)


def test_a_server_that_reads_nothing_holds_the_client_back_then_takes_the_rest() -> None:
    async def work() -> None:
        taker = Taker()
        taker.may_read.clear()
        server = await taker.start()
        address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        body = bytes(24 << 20)
        async with stage(listed=False) as scene:
            await list_only(scene, address)
            client = await scene.client()
            client.send(upload_of(body, "length"))
            sides = scene.sidecar.frontend._connections
            await until(lambda: any(side._held_since is not None for side in sides))
            scene.sidecar.frontend.close_overdue(asyncio.get_running_loop().time() + 15.0)
            taker.may_read.set()  # the time that it was held back is not the client's
            assert (await client.answer()).status == 200
            assert taker.bodies == [body]
        server.close()

    play(work)


@pytest.mark.parametrize("end", ["silence", "leaving", "broken chunk", "more than one request"])
def test_a_long_body_that_does_not_end_well_never_runs(end: str) -> None:
    async def work() -> None:
        taker = Taker()
        server = await taker.start()
        address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        async with stage(listed=False) as scene:
            await list_only(scene, address)
            client = await scene.client()
            head = request("lodge", Content_Length="", Transfer_Encoding="chunked")
            client.send(head + b"%x\r\n%s\r\n" % (100_000, bytes(100_000)))
            await until(lambda: taker.begun == 1)
            if end == "silence":
                scene.sidecar.frontend.close_overdue(asyncio.get_running_loop().time() + 5.0)
                assert (await client.answer()).status == 408
            elif end == "leaving":
                client.close()
            elif end == "broken chunk":
                client.send(b"zz\r\n")
                assert (await client.answer()).status == 400
            else:
                client.send(b"0\r\n\r\n" + request("lodge"))
                assert (await client.answer()).status == 400
            await until(lambda: scene.sidecar.open_requests == 0)
            assert taker.bodies == [] or end == "more than one request"
            assert len(taker.bodies) <= 1
        server.close()

    play(work)


def test_a_client_that_waits_for_100_continue_is_told_to_go_on() -> None:
    async def work() -> None:
        taker = Taker()
        server = await taker.start()
        address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
        async with stage(listed=False) as scene:
            await list_only(scene, address)
            client = await scene.client()
            client.send(request("lodge", Content_Length=str(LONG), Expect="100-continue"))
            assert (await soon(client.reader.readuntil(b"\r\n\r\n"))).startswith(b"HTTP/1.1 100 ")
            client.send(BODY)
            assert (await client.answer()).status == 200 and taker.bodies == [BODY]
        server.close()

    play(work)


def test_a_long_request_that_nobody_can_take_is_refused_before_its_body_has_come() -> None:
    async def work() -> None:
        async with stage(listed=False) as scene:
            client = await scene.client()
            client.send(request("lodge", Content_Length=str(LONG)) + bytes(70_000))
            answer = await client.answer()
            assert (answer.status, answer.headers["connection"]) == (503, "close")

    play(work)


def test_bad_heads_before_long_bodies_reach_no_server() -> None:
    async def work() -> None:
        async with stage(OK) as scene:
            changes: list[dict[str, Any]] = [
                {"Request_Class": "unheard-of"},
                {"Request_Id": ""},
                {"Content_Length": str(stream.LONGEST + 1)},
            ]
            for bad in changes:
                client = await scene.client()
                client.send(request("lodge", **{"Content_Length": str(LONG), **bad}))
                assert (await client.answer()).status in (400, 413)
            assert scene.heard == []

    play(work)
