"""The sidecar: it owns the decisions, the clock, the timers and the open requests.

What happens on sockets becomes events here, and what the decisions answer is carried out from here; `handle`
is called nowhere else.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from balancer import Balancer
from balancer.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    HealthCheck,
    Log,
    PollEndpoints,
    Reject,
    SendAttempt,
    SendPeerMessage,
    SetTimer,
    WatchEndpoints,
)
from balancer.events import (
    AttemptEnded,
    ClientDisconnected,
    ClusterSizeChanged,
    EndpointExcluded,
    EndpointIncluded,
    EndpointListKind,
    EndpointListReceived,
    Event,
    HealthCheckEnded,
    Outcome,
    PeerMessageReceived,
    RequestArrived,
    RequestBodyCompleted,
    ResponseStarted,
    TimerFired,
)
from balancer.settings import DiscoveryMode, LoadReportSource
from sidecar import log_events
from sidecar.admin_interface import MAX_CONNECTIONS, AdminInterface
from sidecar.clock import Clock
from sidecar.configuration import Configuration, ConfigurationError
from sidecar.discovery import discovery
from sidecar.discovery.catalog import Listing
from sidecar.downstream.frontend import ClientSide, Frontend
from sidecar.downstream.listener import bound
from sidecar.downstream.request import Incoming
from sidecar.http import Headers
from sidecar.metrics import Metrics
from sidecar.peers import MOST_BYTES, Peers
from sidecar.persisted_exclusions import PersistedExclusions
from sidecar.process_lock import ProcessLock
from sidecar.roles import Sink
from sidecar.upstream.client import Address, ClientConnection, Message, Response
from sidecar.upstream.upstream import Call, Upstream, load_report

if TYPE_CHECKING:
    from sidecar.cluster.settings import MembershipSettings
    from sidecar.cluster.view import Size
    from sidecar.members import Members
    from sidecar.rollout import Versions

_RESERVED = 48  # descriptors for everything but clients, servers and the operators' door
_FOR_CLIENTS = 1 / 3  # of all, as the platform's terms allow at the most
_FOR_CLIENTS_LEFT = 0.5  # and of what is not reserved, where that is less
_LOOK_EVERY_S = 0.1  # for another process of this sidecar
_FIRST_WORD_S = 2.0  # how long a start waits for the list of an agent that pushes, where it says nothing
_PROBE_WITHIN_US = 1_000_000
_NEW_FOR_S = 0.4  # how long after SIGTERM new connections may go on coming
_QUIET_S = 0.05  # and how long none must have come before the listener closes
_KILLED_AFTER_S = 0.7  # SIGKILL comes no sooner after SIGTERM than this and the longest deadline
_LONGEST_DEADLINE_S = 3.0  # as far as that is counted
_LONG_ANSWERS_S = 600.0  # and the longest that an answer which passes through may hold up the end
_SPARE_S = 0.1  # of that time, kept for the last answers
_LAST_WORDS_S = 0.08  # and as much of that for their clients to take them


class _Open:
    """A request that was taken: until it is answered and its attempts have ended."""

    __slots__ = ("calls", "client", "incoming", "last_outcome", "out", "streaming")

    def __init__(self, client: ClientSide, incoming: Incoming) -> None:
        self.client: ClientSide | None = client  # None: it has its answer, or left
        self.incoming = incoming
        self.calls: list[Call] = []
        self.out = 0
        self.streaming: int | None = None  # the attempt whose answer passes through to the client
        self.last_outcome: Outcome | None = None


class Sidecar:
    """One sidecar from its start to its end."""

    def __init__(
        self, config: Configuration, log: log_events.EventLog, held: socket.socket | None = None
    ) -> None:
        """`held` is the clients' listening socket, where the platform holds it for all processes."""
        self._config = config
        self._held = held
        self._log = log
        self._settings = config.settings
        self._clock = Clock()
        self._balancer = Balancer(config.settings, config.seed)
        self._events: deque[Event] = deque()
        self._is_handling = False
        self._open: dict[int, _Open] = {}
        self._owed = 0  # requests without their final answer
        self._next_request = 1
        self._stop_by: int | None = None  # when all must be answered, once it drains
        self._metrics = Metrics(each.name for each in config.settings.classes)
        self.admin_interface = None if config.admin_address is None else AdminInterface(self)
        folder = config.state_directory
        is_operated = self.admin_interface is not None and folder is not None
        self._exclusions_file = PersistedExclusions(folder, log) if is_operated and folder else None
        self._process_lock = ProcessLock(folder, log) if held is not None and folder is not None else None
        self._looking: asyncio.TimerHandle | None = None
        self._is_alone = self._process_lock is None or self._process_lock.is_alone()
        for_clients, for_servers = self._shares()
        memory_mb = config.memory_mb // 2 if held is not None else config.memory_mb
        self.frontend = Frontend(
            config.settings, for_clients, memory_mb, self._arrived, self._completed, self._gone
        )
        limits, written = config.settings.limits, self._metrics.attempt_sent
        # The other process of a hot restart may have accepted an exclusion since the last poll.
        before_writing = self._exclusions_file.check if self._exclusions_file and held else None
        self._upstream = Upstream(self._clock, limits, for_servers, written, before_writing)
        self._discovery = discovery.Discovery(
            config.discovery_address,
            config.known_endpoints,
            config.settings.discovery is DiscoveryMode.PUSHED,
            config.seed,
            self._listed,
            lambda: self._post(EndpointListReceived(EndpointListKind.FAILED)),
        )
        self._peers = Peers(
            config.peer_addresses,
            config.broadcast_address,
            config.settings.instance_index,
            self._message_received,
        )
        self._told_size: ClusterSizeChanged | None = None
        self._members: Members | None = None  # None: the others are not kept track of
        self._versions: Versions | None = None  # None: versions of the configuration are not compared
        self.on_newer: Callable[[], None] = lambda: None  # another sidecar has a newer version

    def _shares(self) -> tuple[int, int]:
        """How many connections this process may have to clients and to servers.

        Of two processes each has half of those to servers.  Clients hold a third of all together, whichever
        of the two they are connected to: at an upgrade they move from one to the other within a moment.
        """
        sockets = self._config.max_sockets
        room = sockets - _RESERVED - (MAX_CONNECTIONS if self.admin_interface else 0)
        for_clients = int(min(sockets * _FOR_CLIENTS, room * _FOR_CLIENTS_LEFT))
        return for_clients, (room - for_clients) // (1 if self._is_alone else 2)

    def _look_around(self) -> None:
        """See again and again whether there are two processes, and share with the other."""
        assert self._process_lock is not None
        self._looking = asyncio.get_running_loop().call_later(_LOOK_EVERY_S, self._look_around)
        is_alone = self._process_lock.is_alone()
        if is_alone != self._is_alone:
            self._is_alone = is_alone
            self._upstream.resize(self._shares()[1])

    async def start(self) -> None:
        """Take up the last known list, then listen."""
        if self._settings.limits.may_message_peers and self._config.peer_listen_address is not None:
            await self._hear_peers(self._config.peer_listen_address)
        if self.admin_interface is not None and self._config.admin_address is not None:
            await self.admin_interface.listen(self._config.admin_address)
        self._upstream.listed(self._config.known_endpoints)
        self._post(self._config.known_endpoints.event(EndpointListKind.CACHED))
        if self._exclusions_file is not None:
            self._taken_over(self._exclusions_file.read() or frozenset())
            if self._held is not None:
                self._exclusions_file.watch(self._taken_over)
        if self._process_lock is not None:
            self._look_around()
        self._discovery.start()
        await self._discovery.first_word(_FIRST_WORD_S)
        self.frontend.listen(self._held or bound(self._config.listen_address))

    async def _hear_peers(self, address: Address) -> None:
        """Hear the others, and keep track of them; a port that is taken holds up no start."""
        try:
            await self._peers.listen(address, shared=self._held is not None)
        except OSError as fault:
            self._log(log_events.PeerListenFailed(str(fault)))
        else:
            self._keep_track(self._config.membership)
            self._compare_versions(self._config)

    def reconfigure(self, config: Configuration) -> list[str]:
        """Take over what may change while running: where discovery and the others are, and membership.

        All else stays wholly as it was; give the keys of which the file says something else.  Raise
        ConfigurationError, and change nothing, where its version is older than that in force.
        """
        if self._versions is not None:
            refusal = self._versions.refusal(config)
            if refusal is not None:
                raise ConfigurationError(refusal)
        self._discovery.move(config.discovery_address)
        self._peers.move(config.peer_addresses, config.broadcast_address)
        kept = self._config.fixed_keys_that_differ(config)
        if self._peers.is_listening and self._stop_by is None:
            self._keep_track(config.membership)
            self._compare_versions(config, is_whole=not kept)
        return kept

    def _tier_sized(self, size: Size) -> None:
        """The others' number is told to the decisions where it changed."""
        told = ClusterSizeChanged(size.configured, size.high, size.low, size.in_minority)
        if told != self._told_size:
            self._told_size = told
            self._post(told)

    def _keep_track(self, membership: MembershipSettings) -> None:
        """Keep track of the other sidecars as these settings say."""
        if self._members is None:
            if not membership.on:
                return
            # Not at the top: what it needs takes 2 MB, which a sidecar without it need not have.
            from sidecar.members import Members

            me, own = self._settings.instance_index, self._config
            log = self._log
            self._members = Members(
                me, own.cluster, own.seed, self._clock, self._peers, log, self._tier_sized
            )
        self._members.configure(membership)

    def _compare_versions(self, config: Configuration, is_whole: bool = True) -> None:
        """Compare the configuration's version with the others', where it has one and they are known.

        Not `is_whole`: something in it waits for a restart, so it is not in force here.
        """
        membership = None if self._members is None else self._members.membership
        if self._versions is None:
            if config.version is None or not config.rollout.on or membership is None:
                return
            # Not at the top: a sidecar without it need not have what it needs.
            from sidecar.rollout import Versions

            me, own = self._settings.instance_index, self._config
            parts = (self._clock, self._peers, self._log, lambda: self.on_newer())
            self._versions = Versions(me, own.cluster, own.seed, *parts)
        self._versions.configure(membership, config, is_whole)

    @property
    def version(self) -> int | None:
        """The configuration's version that is in force; None where versions are not compared."""
        return None if self._versions is None else self._versions.version

    @property
    def open_requests(self) -> int:
        """Requests that are not over: unanswered, or with an attempt still out."""
        return len(self._open)

    async def drain(self) -> None:
        """Answer all that was taken and is still coming, then let go of everything."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        longest_s = min(max(each.deadline_us for each in self._settings.classes) / 1e6, _LONGEST_DEADLINE_S)
        left_s = longest_s + _KILLED_AFTER_S - _SPARE_S
        self._stop_by = self._clock.now() + int(left_s * 1e6)
        self.frontend.drain()
        # Looked at anew: a successor may be younger than the last look.
        has_successor = self._process_lock is not None and not self._process_lock.is_alone()
        if self._versions is not None:
            self._versions.close()
        if self._members is not None:
            self._members.leave(has_successor)
        if has_successor:
            self._peers.close()  # from here on all datagrams are the successor's
        if self._held is None:
            await self._hear_newcomers(began)
        # A socket that the platform holds goes on queueing, and the successor accepts what comes.
        self.frontend.stop_listening(accept_the_rest=self._held is None)
        while (self._owed or not self.frontend.is_deserted) and loop.time() < began + left_s:
            self.frontend.close_idle()
            await asyncio.sleep(0.01)
        for request, held in list(self._open.items()):
            if held.streaming is None:
                self._answer(request, 504, [])  # the decisions had no word on it in time
        # What a server still gives is passed on until it is over, or this process is killed: whoever cuts it
        # off loses it.
        while self.frontend.is_passing_on and loop.time() < began + _LONG_ANSWERS_S:
            await asyncio.sleep(0.01)
        # The last answers leave, and their clients hang up: the end of the process resets what is open.
        ends = loop.time() + _LAST_WORDS_S
        while not self.frontend.is_deserted and loop.time() < ends:
            await asyncio.sleep(0.005)
        self.close()

    async def _hear_newcomers(self, began: float) -> None:
        """Go on accepting while new connections keep coming."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(_NEW_FOR_S)
        while loop.time() < min(self.frontend.last_opened + _QUIET_S, began + _KILLED_AFTER_S):
            await asyncio.sleep(_QUIET_S / 2)

    def close(self) -> None:
        if self.admin_interface is not None:
            self.admin_interface.close()
        if self._exclusions_file is not None:
            self._exclusions_file.close()
        if self._looking is not None:
            self._looking.cancel()
        if self._process_lock is not None:
            self._process_lock.close()
        self._discovery.close()
        if self._versions is not None:
            self._versions.close()
        if self._members is not None:
            self._members.close()
        self._peers.close()
        self._upstream.close()
        self.frontend.stop_listening()

    # What operators ask for

    def is_ready(self) -> bool:
        """Whether this process takes clients."""
        return self.frontend.takes_clients

    def metrics(self) -> dict[str, object]:
        members, unavailable = self._balancer.members()
        uploads = (each.incoming.upload for each in self._open.values() if each.client is not None)
        arriving = sum(upload is not None and not upload.is_whole for upload in uploads)
        figures = self._metrics.snapshot(self._owed - arriving, members, unavailable)
        membership = self._members.figures() if self._members is not None else None
        if membership is not None:
            figures["membership"] = membership
        versions = self._versions.figures() if self._versions is not None else None
        if versions is not None:
            figures["configuration"] = versions
        return figures

    def exclude(self, member: str) -> bool:
        """Send nothing more to a server; no if it was never listed."""
        return self._called(member, True)

    def include(self, member: str) -> bool:
        """Use a server again; no if it was never listed."""
        return self._called(member, False)

    def _called(self, member: str, is_out: bool) -> bool:
        if not self._balancer.knows(member):
            return False
        if self._exclusions_file is not None:
            self._exclusions_file.record(member, is_out, self._upstream.excluded)
        self._use(member, is_out)
        return True

    def _use(self, member: str, is_out: bool) -> None:
        if is_out:
            self._upstream.exclude(member)
            self._post(EndpointExcluded(member))
        else:
            self._upstream.include(member)
            self._post(EndpointIncluded(member))

    def _taken_over(self, out: frozenset[str]) -> None:
        """Another process of this sidecar was called: do as it did."""
        before = self._upstream.excluded
        for member in sorted(before ^ out):
            self._use(member, member in out)

    def drain_clients(self) -> bool:
        """Send clients away, as at an end, and keep running; False during the graceful shutdown."""
        if self._stop_by is not None:
            return False
        self.frontend.is_evacuated = True
        self.frontend.drain()
        self._log(log_events.ClientsDrained())
        return True

    def resume_clients(self) -> bool:
        """Accept clients again; False during the graceful shutdown."""
        if self._stop_by is not None:
            return False
        self.frontend.rejoin()
        self._log(log_events.ClientsResumed())
        return True

    # Events

    def _post(self, event: Event) -> None:
        """Bring an event to the decisions, at once unless they are at work: then right after, in order."""
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                event = self._events.popleft()
                if isinstance(event, AttemptEnded):
                    event.is_request_answered = self._is_answered(event.request)
                try:
                    for action in self._balancer.handle(self._clock.now(), event):
                        self._carry_out(action)
                except Exception as fault:
                    self._defect(event, fault)
                if isinstance(event, AttemptEnded):
                    self._forget_if_over(event.request)
        finally:
            self._is_handling = False

    def _defect(self, event: Event, fault: Exception) -> None:
        """Live on after a defect in the decisions, and owe nobody an answer because of it."""
        self._log(log_events.InternalError(type(event).__name__, fault))
        if isinstance(event, (RequestArrived, AttemptEnded)):
            self._answer(event.request, 500, [])

    def _message_received(self, sender: int, payload: bytes) -> None:
        """A datagram from another sidecar: the tier's while that is on, else the decisions'."""
        if self._members is None or self._members.membership is None:
            self._post(PeerMessageReceived(sender, payload))
        elif self._versions is None or not self._versions.heard(sender, payload):
            self._members.heard(sender, payload)

    def _listed(self, listing: Listing) -> None:
        self._upstream.listed(listing)
        self._post(listing.event())

    def _arrived(self, client: ClientSide, incoming: Incoming) -> int | None:
        most = self._settings.limits.max_open_requests
        now = self._clock.now()
        if self._stop_by is not None:
            incoming.remaining_us = max(min(incoming.remaining_us, self._stop_by - now), 1)
        number = self._next_request
        self._next_request += 1
        self._open[number] = _Open(client, incoming)
        self._owed += 1
        if self._members is not None:
            self._members.requests += 1
        if most is not None and self._owed > most:
            self._answer(number, 503, [])
            return None
        self._post(
            RequestArrived(
                request=number,
                service_class=incoming.service_class,
                tenant=incoming.tenant,
                key=incoming.key,
                remaining_us=incoming.remaining_us,
                cost_us=incoming.cost_us,
                is_client_retry=incoming.client_retry,
                is_write=incoming.method != b"GET",
                is_body_streaming=incoming.upload is not None,
            )
        )
        return number if not self._is_answered(number) else None

    def _completed(self, request: int, waited_us: int) -> None:
        """The last byte of a body that passes through is here: the request's time begins."""
        held = self._open[request]
        now = self._clock.now()
        remaining_us = max(held.incoming.remaining_us - waited_us, 1)
        if self._stop_by is not None:
            remaining_us = max(min(remaining_us, self._stop_by - now), 1)
        for call in held.calls:
            self._upstream.hurry(call, now + remaining_us)
        self._post(RequestBodyCompleted(request, remaining_us))

    def _answer_started(
        self, request: int, attempt: int, source: ClientConnection, head: Response, length: int | None
    ) -> Sink | None:
        """An answer begins that is too long to be kept: it is the client's from here on, unless one was."""
        held = self._open.get(request)
        if held is None or held.client is None or held.streaming is not None:
            return None
        if not held.client.begin(_passed_back(head), length, head.body, source):
            return None
        held.streaming = attempt
        call = held.calls[attempt]
        elapsed = max(self._clock.now() - head.unread_us - call.sent_at, 0)
        self._post(ResponseStarted(request, attempt, call.server, elapsed))
        return held.client

    def _gone(self, request: int) -> None:
        held = self._open.get(request)
        if held is not None and held.streaming is not None:
            self._upstream.cancel(held.calls[held.streaming])  # nobody reads the rest
        self._settle(request)
        self._post(ClientDisconnected(request))
        self._forget_if_over(request)

    def _attempt_ended(
        self,
        request: int,
        attempt: int,
        server: str,
        sent_at: int,
        outcome: Outcome,
        response: Response | None,
    ) -> None:
        held = self._open[request]
        held.out -= 1
        held.last_outcome = outcome
        if held.streaming == attempt:
            self._streamed(request, outcome)
        elif outcome is Outcome.DELIVERED and response is not None and held.streaming is None:
            self._answer(request, 200, _passed_back(response), response.body)
        report = load_report(response, self._settings.load_report_columns)
        # The server's time: a busy event loop reads answers late, which is no fault of any server.
        unread_us = response.unread_us if response is not None else 0
        elapsed = max(self._clock.now() - unread_us - sent_at, 0)
        # Whether it is answered is looked up when the event's turn comes.
        spent = held.incoming.upload is not None and held.incoming.upload.is_spent
        self._post(AttemptEnded(request, attempt, server, outcome, elapsed, False, report, spent))

    def _streamed(self, request: int, outcome: Outcome) -> None:
        """An answer that passed through is over: whole, or the client has to see that it is not."""
        client = self._settle(request)
        if client is None:
            return
        whole = outcome is Outcome.DELIVERED
        self._metrics.response_sent(self._open[request].incoming.service_class, 200 if whole else 502)
        if whole:
            client.finish()
        else:
            client.abort()

    # Actions

    def _carry_out(self, action: Action) -> None:
        match action:
            case SendAttempt():
                self._send(action)
            case SetTimer():
                self._set_timer(self._clock.now() + action.delay_us, action.token)
            case Reject():
                self._refuse(action)
            case Fail():
                held = self._open.get(action.request)
                late = held is not None and held.last_outcome in (None, Outcome.TIMED_OUT)
                self._answer(action.request, 504 if late else 502, [])
            case CancelAttempt():
                held = self._open.get(action.request)
                if held is not None and action.attempt < len(held.calls):
                    self._upstream.cancel(held.calls[action.attempt])
            case CloseIdleConnections():
                self._upstream.close_idle(action.server)
            case WatchEndpoints():
                self._discovery.follow(action.is_enabled)
            case PollEndpoints():
                self._discovery.fetch()
            case HealthCheck():
                self._probe(action.server)
            case SendPeerMessage():
                if not self._peers.tell(action.receiver, action.payload):
                    self._log(log_events.PeerMessageNotSent(MOST_BYTES))
            case Log():
                self._log(log_events.BalancerLine(action.text))

    def _send(self, action: SendAttempt) -> None:
        number = action.request
        held = self._open[number]
        attempt, sent_at = len(held.calls), self._clock.now()

        def done(outcome: Outcome, response: Response | None) -> None:
            self._attempt_ended(number, attempt, action.server, sent_at, outcome, response)

        def begun(source: ClientConnection, head: Response, length: int | None) -> Sink | None:
            return self._answer_started(number, attempt, source, head, length)

        def is_wanted() -> bool:
            return held.client is not None and not held.client.has_left()

        call = Call(
            action.server, action.deadline, held.incoming.message, done, begun, action.send_by, is_wanted
        )
        call.sent_at = sent_at
        held.calls.append(call)
        held.out += 1
        self._upstream.start(call, is_late=attempt > 0)

    def _probe(self, server: str) -> None:
        sent_at = self._clock.now()
        in_body = self._settings.load_report_source is not LoadReportSource.NONE

        def done(outcome: Outcome, response: Response | None) -> None:
            report = load_report(response, self._settings.load_report_columns, in_body=in_body)
            self._post(HealthCheckEnded(server, outcome, self._clock.now() - sent_at, report))

        message = Message(b"GET", b"/_load" if in_body else b"/ping", [(b"host", server.encode())])
        self._upstream.start(Call(server, sent_at + _PROBE_WITHIN_US, lambda left_us: message, done))

    def _refuse(self, action: Reject) -> None:
        headers: Headers = []
        if action.retry_after_us > 0 and self._settings.limits.retry_after:
            headers.append((b"retry-after", b"%.3f" % (action.retry_after_us / 1e6)))
        self._answer(action.request, 503, headers)

    def _set_timer(self, due: int, token: str) -> None:
        wait_s = (due - self._clock.now()) / 1e6

        def fire() -> None:
            if self._clock.now() < due:
                self._set_timer(due, token)  # guards against a timer that fires early: it would fire in vain
            else:
                self._post(TimerFired(token))

        asyncio.get_running_loop().call_later(max(wait_s, 0.0), fire)

    # Open requests

    def _is_answered(self, request: int) -> bool:
        held = self._open.get(request)
        return held is None or held.client is None

    def _answer(self, request: int, status: int, headers: Headers, body: bytes = b"") -> None:
        client = self._settle(request)
        if client is not None:
            self._metrics.response_sent(self._open[request].incoming.service_class, status)
            client.answer(status, headers, body)
        self._forget_if_over(request)

    def _settle(self, request: int) -> ClientSide | None:
        """Nothing is owed from here on; give the client if something was."""
        held = self._open.get(request)
        if held is None or held.client is None:
            return None
        client, held.client = held.client, None
        self._owed -= 1
        for call in held.calls:
            self._upstream.withdraw(call)
        return client

    def _forget_if_over(self, request: int) -> None:
        held = self._open.get(request)
        if held is not None and held.client is None and held.out == 0:
            del self._open[request]


def _passed_back(response: Response) -> Headers:
    """What describes the body goes back with it."""
    return [each for each in response.headers if each[0] in (b"content-type", b"content-encoding")]
