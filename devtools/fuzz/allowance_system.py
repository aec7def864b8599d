"""Simulated control replicas, daemons and links that share team limits.

Time advances in ticks. Each process has its own clock, may be frozen, and
loses its memory when it is killed. Messages may be lost or delivered late, and
a change of the lease register may take effect although its reply is lost.
"""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from burdocklead.allowance.borrower import (
    Admitted,
    AskHolder,
    Borrower,
    Decision,
)
from burdocklead.allowance.holder import GrantBook
from burdocklead.allowance.holder_link import REQUEST_TIMEOUT_S
from burdocklead.allowance.lease import NO_LEASE, Lease, LeaseState
from burdocklead.allowance.limits import AllowanceRules, TeamLimit
from burdocklead.allowance.messages import (
    GrantReply,
    GrantRequest,
    TeamDemand,
)
from burdocklead.allowance.roster import Roster

TICK_S = 0.02
CHECK_S = 0.1
MAX_LATE_S = 2.0
REGISTER_S = 0.06
LOSS_RATE = 0.5  # Of the changes of a replica without a quorum.
STALE_RATE = 0.2  # Of the looks at a replica's own store.

Limits = Mapping[str, TeamLimit]
Update = Callable[[Lease], Lease]


@dataclass(frozen=True, slots=True)
class Message:
    """A request on its way, or its reply.

    Attributes:
        sender: Name of the sender.
        receiver: Name of the receiver.
        request: The request.
        sent_at: Time in s of the request on the clock of the daemon.
        waiting: Calls in the request.
        reply: The reply, None for a request.
        due: Time in s of its delivery.
    """

    sender: str
    receiver: str
    request: GrantRequest
    sent_at: float
    waiting: tuple[tuple[str, float], ...] = ()
    reply: GrantReply | None = None
    due: float = 0


@dataclass(slots=True)
class Change:
    """A change of the lease register on its way.

    Attributes:
        update: The change.
        sent_at: Time in s on the clock of the replica.
        applies_at: Time in s at which it takes effect.
        replies_at: Time in s at which the replica hears of it.
        lost: True if it never takes effect.
        unheard: True if the replica never hears of it.
        result: Value of the register after it.
    """

    update: Update
    sent_at: float
    applies_at: float
    replies_at: float
    lost: bool = False
    unheard: bool = False
    result: Lease | None = None


@dataclass(slots=True)
class SimulatedReplica:
    """A control replica.

    Attributes:
        name: Its ID.
        offset: Difference of its clock in s.
        state: What it knows of the lease.
        book: Grants of its term.
        frozen_until: Time in s until which it does nothing.
        cut_until: Time in s until which it reaches no quorum.
        checked_at: Time in s of the last check of the lease.
        renewed_at: Time in s of the last renewal on its clock.
        change: Change of the register on its way.
    """

    name: str
    offset: float
    state: LeaseState
    limits: Limits = field(default_factory=dict)
    book: GrantBook | None = None
    frozen_until: float = 0
    cut_until: float = 0
    checked_at: float = 0
    renewed_at: float = 0
    change: Change | None = None

    def reply(self, request: GrantRequest, now: float) -> GrantReply:
        """Return the reply to a daemon."""
        if self.book is None or not self.state.holds(now):
            return GrantReply(0, self.state.seen.holder)
        return self.book.reply(request, self.name, now)

    def waits_for_change(self, real_now: float) -> bool:
        """Return True while a change is on its way; use its result."""
        change = self.change
        if change is None:
            return False
        if real_now < change.replies_at or change.result is None:
            return True
        self.change = None
        if not (change.lost or change.unheard):
            now = real_now + self.offset
            self.finish_change(change.result, change.sent_at, now)
        return False

    def restart(self) -> None:
        """Lose all memory."""
        number = int(self.state.session.partition('/')[2]) + 1
        session = f'{self.name}/{number}'
        self.state = LeaseState(self.state.rules, self.name, session)
        self.book = None
        self.change = None

    def _new_book(self, lease: Lease, now: float) -> GrantBook:
        """Return the grants of a term with the shares in the register."""
        roster = Roster(self.state.rules, lease.term)
        roster.adopt(lease.shares, now)
        book = GrantBook(self.state.rules, roster)
        book.use_limits(self.limits, 1, now)
        return book

    def next_update(self, now: float) -> Update | None:
        """Return the change of the register that is due, None if none is."""
        if self.book is not None and not self.state.holds(now):
            self.book = None
            self.state.term = 0
        if self.book is not None:
            if now - self.renewed_at < self.state.rules.renewal_s:
                return None
            shares = self.book.roster.plan(now)
            return lambda current: self.state.renewed(current, shares)
        return self.state.taken if self.state.may_take(now) else None

    def finish_change(self, lease: Lease, sent_at: float, now: float) -> None:
        """Use the value of the register after a change."""
        self.state.accept(lease, sent_at, now)
        if not self.state.term:
            return
        if self.book is None:
            self.book = self._new_book(lease, now)
        self.book.roster.registered(lease.shares)


@dataclass(slots=True)
class SimulatedDaemon:
    """A daemon with its clients.

    Attributes:
        name: Its name.
        offset: Difference of its clock in s.
        borrower: Its grants and share.
        incarnation: Number of its process.
        target: Index of the replica that it asks.
        frozen_until: Time in s until which it does nothing.
        sent_at: Time in s of the last request on its clock.
        turned_at: Time in s of the last change of the target on its clock.
        arrived: Calls that it has not looked at.
        asking: Calls that are not in a request yet.
        on_way: Calls in requests with the time at which they arrived.
    """

    name: str
    offset: float
    borrower: Borrower
    limits: Limits = field(default_factory=dict)
    incarnation: int = 1
    target: int = 0
    frozen_until: float = 0
    sent_at: float = float('-inf')
    turned_at: float = float('-inf')
    arrived: list[str] = field(default_factory=list)
    asking: list[tuple[str, float]] = field(default_factory=list)
    on_way: list[tuple[str, float]] = field(default_factory=list)

    def request(self) -> GrantRequest:
        """Return a request for all calls that wait."""
        demand = Counter(team for team, _ in self.asking)
        return GrantRequest(
            daemon_id=self.name,
            incarnation=self.incarnation,
            term=self.borrower.term,
            heard=self.borrower.heard,
            version=1,
            demand=tuple(TeamDemand(*pair) for pair in demand.items()),
        )

    def turn_to(self, target: int, now: float) -> None:
        """Ask another replica from now on."""
        self.target = target
        self.turned_at = now

    def restart(self, rules: AllowanceRules, now: float) -> None:
        """Lose all memory."""
        self.borrower = Borrower(rules, replied_at=now)
        self.incarnation += 1
        self.arrived.clear()
        self.asking.clear()
        self.on_way.clear()


@dataclass(slots=True)
class AllowanceSystem:
    """All processes, the register and the links.

    Attributes:
        rules: Tolerance of the limits and the times of the protocol.
        rng: Source of delays and losses.
        now: Time in s.
        late_rate: Share of the messages that are delivered up to 2 s late.
        register: Value of the lease register.
        cuts: Time in s until which messages from one process to another are
            lost.
        delays: Time in s until which the messages of a process are held back.
        admitted: Times in s of the admitted calls by team.
        refused: Times in s of the refused calls by team.
    """

    rules: AllowanceRules
    rng: random.Random
    replicas: list[SimulatedReplica] = field(default_factory=list)
    daemons: list[SimulatedDaemon] = field(default_factory=list)
    now: float = 0
    late_rate: float = 0.01
    register: Lease = NO_LEASE
    messages: list[Message] = field(default_factory=list)
    cuts: dict[tuple[str, str], float] = field(default_factory=dict)
    delays: dict[str, float] = field(default_factory=dict)
    admitted: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    refused: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def populate(self, replicas: int, daemons: int, limits: Limits) -> None:
        """Create the processes."""
        for number in range(replicas):
            name = f'c{number}'
            state = LeaseState(self.rules, name, f'{name}/1')
            self.replicas.append(
                SimulatedReplica(name, self.rng.uniform(0, 1000), state, limits)
            )
        for number in range(daemons):
            offset = self.rng.uniform(0, 1000)
            borrower = Borrower(self.rules, replied_at=offset)
            self.daemons.append(
                SimulatedDaemon(f'd{number}', offset, borrower, limits)
            )

    def tick(self) -> None:
        """Advance the time by one tick."""
        self.now += TICK_S
        for replica in self.replicas:
            self.register = _apply_due(replica.change, self.register, self.now)
            if replica.frozen_until <= self.now:
                self._step_replica(replica)
        self._deliver()
        for daemon in self.daemons:
            if daemon.frozen_until <= self.now:
                self._step_daemon(daemon)

    def use_limits(self, limits: Limits) -> None:
        """Put other limits in force at all processes."""
        for replica in self.replicas:
            replica.limits = limits
            if replica.book is not None:
                replica.book.use_limits(limits, 1, self.now + replica.offset)
        for daemon in self.daemons:
            daemon.limits = limits

    def cut(self, links: set[tuple[str, str]], until: float) -> None:
        """Lose the messages from one process to another until a time."""
        self.cuts.update(dict.fromkeys(links, until))

    def holder(self) -> SimulatedReplica:
        """Return the replica that grants, else the first one."""
        for replica in self.replicas:
            if replica.state.holds(self.now + replica.offset):
                return replica
        return self.replicas[0]

    def _step_replica(self, replica: SimulatedReplica) -> None:
        if replica.waits_for_change(self.now):
            return
        if self.now - replica.checked_at < CHECK_S:
            return
        replica.checked_at = self.now
        now = self.now + replica.offset
        if self.rng.random() > STALE_RATE and replica.cut_until <= self.now:
            replica.state.observe(self.register, now)
        update = replica.next_update(now)
        if update is not None:
            replica.renewed_at = now
            self._send_change(replica, update, now)

    def _send_change(
        self, replica: SimulatedReplica, update: Update, now: float
    ) -> None:
        is_cut = replica.cut_until > self.now
        applies_at = self.now + self.rng.uniform(0, REGISTER_S)
        late_s = self.rng.uniform(0, 4 * MAX_LATE_S) if is_cut else 0
        replica.change = Change(
            update,
            now,
            applies_at + late_s,
            applies_at + late_s + self.rng.uniform(0, REGISTER_S),
            lost=is_cut and self.rng.random() < LOSS_RATE,
            unheard=is_cut,
        )

    def _send(self, message: Message) -> None:
        if self.cuts.get((message.sender, message.receiver), 0) > self.now:
            return
        due = max(self.now, self.delays.get(message.sender, 0))
        if self.rng.random() < self.late_rate:
            due += self.rng.uniform(0, MAX_LATE_S)
        self.messages.append(replace(message, due=due))

    def _deliver(self) -> None:
        """Deliver the messages that are due to processes that run."""
        messages = self.messages
        self.messages = []
        replicas = {one.name: one for one in self.replicas}
        daemons = {one.name: one for one in self.daemons}
        for message in messages:
            if message.reply is None:
                replica = replicas[message.receiver]
                if self._may_deliver(message, replica.frozen_until):
                    self._answer(replica, message)
            else:
                daemon = daemons[message.receiver]
                if self._may_deliver(message, daemon.frozen_until):
                    self._receive(daemon, message, message.reply)

    def _may_deliver(self, message: Message, frozen_until: float) -> bool:
        """Return True if a message is due, else keep it."""
        is_late = self.now < message.due or self.now < frozen_until
        if is_late:
            self.messages.append(message)
        return not is_late

    def _answer(self, replica: SimulatedReplica, message: Message) -> None:
        reply = replica.reply(message.request, self.now + replica.offset)
        self._send(
            replace(
                message,
                sender=message.receiver,
                receiver=message.sender,
                reply=reply,
            )
        )

    def _receive(
        self, daemon: SimulatedDaemon, message: Message, reply: GrantReply
    ) -> None:
        """Apply a reply and decide on the calls that waited for it."""
        now = self.now + daemon.offset
        if not reply.term:
            names = [replica.name for replica in self.replicas]
            following = daemon.target + 1
            if reply.holder in names:
                following = names.index(reply.holder)
            daemon.turn_to(following, now)
            return
        if reply.term > daemon.borrower.term:
            daemon.sent_at = float('-inf')
        daemon.borrower.apply(reply, message.sent_at, now)
        for waiting in message.waiting:
            if waiting in daemon.on_way:
                self._settle(daemon, waiting, now)

    def _step_daemon(self, daemon: SimulatedDaemon) -> None:
        now = self.now + daemon.offset
        for team in daemon.arrived:
            decision = daemon.borrower.decide(team, daemon.limits[team], now)
            if isinstance(decision, AskHolder):
                daemon.asking.append((team, now))
            else:
                self._record(team, decision)
        daemon.arrived.clear()
        oldest = now - self.rules.grant_wait_s
        for waiting in tuple(daemon.on_way):
            if waiting[1] <= oldest:
                self._settle(daemon, waiting, now)
        if daemon.asking or now - daemon.sent_at >= self.rules.keepalive_s:
            self._send_request(daemon, now)

    def _send_request(self, daemon: SimulatedDaemon, now: float) -> None:
        """Send the calls that wait to the replica that the daemon asks."""
        heard_at = max(daemon.borrower.replied_at, daemon.turned_at)
        if now - heard_at > REQUEST_TIMEOUT_S:
            daemon.turn_to(daemon.target + 1, now)
        replica = self.replicas[daemon.target % len(self.replicas)]
        daemon.sent_at = now
        message = Message(
            sender=daemon.name,
            receiver=replica.name,
            request=daemon.request(),
            sent_at=now,
            waiting=tuple(daemon.asking),
        )
        daemon.on_way.extend(daemon.asking)
        daemon.asking = []
        self._send(message)

    def _settle(
        self, daemon: SimulatedDaemon, waiting: tuple[str, float], now: float
    ) -> None:
        """Decide on a call whose reply arrived or is overdue."""
        daemon.on_way.remove(waiting)
        team = waiting[0]
        limit = daemon.limits[team]
        self._record(team, daemon.borrower.decide_unanswered(team, limit, now))

    def _record(self, team: str, decision: Decision) -> None:
        is_admitted = isinstance(decision, Admitted)
        calls = self.admitted if is_admitted else self.refused
        calls[team].append(self.now)


def _apply_due(change: Change | None, register: Lease, now: float) -> Lease:
    """Return the register after a change, if that takes effect by now."""
    if change is None or change.result or now < change.applies_at:
        return register
    change.result = register if change.lost else change.update(register)
    return change.result
