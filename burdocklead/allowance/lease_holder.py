"""Grants calls of teams at a control replica while it holds the lease."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Mapping
from typing import Protocol

import msgspec

from burdocklead.allowance.holder import GrantBook
from burdocklead.allowance.lease import (
    LEASE_KEY,
    Lease,
    LeaseState,
    decode_lease,
)
from burdocklead.allowance.limits import TeamLimit, rules_of, team_limits
from burdocklead.allowance.messages import GrantReply, GrantRequest
from burdocklead.allowance.roster import Roster
from burdocklead.clock import boot_time_s
from burdocklead.durable.configuration import AcceptedFile
from burdocklead.exceptions import ConfigurationError, ControlError
from burdocklead.log_events import (
    GRANT_LEASE_GAINED,
    GRANT_LEASE_LOST,
    VERSION_NOT_USED,
)
from burdocklead.metrics import GRANTED, MetricSet
from burdocklead.process.register_service import RegisterService
from burdocklead.settings import ControlSettings
from burdocklead.version.configuration_file import decode_deployment

CHECK_INTERVAL_S = 0.1
# Replicas that wait for the same lease don't all try to take it at once.
MAX_TAKEOVER_DELAY_S = 0.3
RELEASE_TIMEOUT_S = 0.5

Update = Callable[[bytes], bytes]


class LeaseRegister(Protocol):
    """Changes registers through a quorum."""

    async def change(self, key: str, update: Update) -> bytes:
        """Change a register and return its new value."""


class GrantService:
    """Holds the lease if possible and answers requests for grants.

    Attributes:
        state: What this replica knows of the lease.
        book: Grants of the term, None while this replica holds no lease.
        limits: Limits of the teams in the newest configuration.
        version: Version of that configuration.
        renewed_at: Boot time in s at which the last renewal was sent.
    """

    def __init__(
        self,
        state: LeaseState,
        registers: LeaseRegister,
        read_local: Callable[[str], bytes],
        file: Callable[[], AcceptedFile],
        metrics: MetricSet,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        """Create a service that holds no lease.

        Args:
            state: Names this replica and process.
            registers: Changes the lease register.
            read_local: Returns the value of a register at this replica.
            file: Returns the newest accepted configuration file.
            metrics: Counts granted calls.
            clock: Returns the boot time in s.
        """
        self.state = state
        self.registers = registers
        self.read_local = read_local
        self.file = file
        self.metrics = metrics
        self.clock = clock
        self.book: GrantBook | None = None
        self.limits: Mapping[str, TeamLimit] = {}
        self.version = 0
        self.renewed_at = float('-inf')
        self.takeover_delay_s = random.uniform(0, MAX_TAKEOVER_DELAY_S)

    def handle(self, request: GrantRequest) -> GrantReply:
        """Return the reply to a daemon."""
        now = self.clock()
        if self.book is None or not self.state.holds(now):
            return GrantReply(0, self.state.seen.holder)
        self._use_limits(now)
        reply = self.book.reply(request, self.state.replica_id, now)
        granted = sum(grant.calls for grant in reply.grants)
        if granted:
            self.metrics.count(GRANTED, amount=granted)
        return reply

    async def run_forever(self) -> None:
        """Take and renew the lease while a team has a limit."""
        while True:
            await self._check()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def release(self) -> None:
        """Give the lease up, so that another replica need not wait for it."""
        if self.book is None:
            return
        self._end_term('released')
        with contextlib.suppress(ControlError, TimeoutError):
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                await self.registers.change(
                    LEASE_KEY, self._update(self.state.released)
                )

    async def _check(self) -> None:
        now = self.clock()
        self._use_limits(now)
        if not self.limits:
            await self.release()
            return
        cause = 'another replica took the lease'
        try:
            lease = decode_lease(self.read_local(LEASE_KEY))
            self.state.observe(lease, now)
            await self._take_or_renew(now)
        except ControlError as error:
            cause = error.reason
        self._note_loss(cause)

    async def _take_or_renew(self, now: float) -> None:
        if self.state.term and self.book is not None:
            if now - self.renewed_at >= self.state.rules.renewal_s:
                shares = self.book.roster.plan(now)

                def renew(current: Lease) -> Lease:
                    return self.state.renewed(current, shares)

                lease = await self._change(renew)
                if self.state.term:
                    self.book.roster.registered(lease.shares)
        elif self.state.may_take(now - self.takeover_delay_s):
            lease = await self._change(self.state.taken)
            if self.state.term:
                self._start_term(lease)

    async def _change(self, update: Callable[[Lease], Lease]) -> Lease:
        sent_at = self.clock()
        self.renewed_at = sent_at
        value = await self.registers.change(LEASE_KEY, self._update(update))
        lease = decode_lease(value)
        self.state.accept(lease, sent_at, self.clock())
        return lease

    def _update(self, update: Callable[[Lease], Lease]) -> Update:
        def change(value: bytes) -> bytes:
            return msgspec.msgpack.encode(update(decode_lease(value)))

        return change

    def _start_term(self, lease: Lease) -> None:
        now = self.clock()
        roster = Roster(self.state.rules, lease.term)
        roster.adopt(lease.shares, now)
        roster.registered(lease.shares)
        self.book = GrantBook(self.state.rules, roster)
        self.book.use_limits(self.limits, self.version, now)
        GRANT_LEASE_GAINED.write(term=lease.term, daemons=len(lease.shares))

    def _end_term(self, cause: str) -> None:
        GRANT_LEASE_LOST.write(term=self.state.seen.term, cause=cause)
        self.book = None
        self.state.term = 0
        self.state.held_until = 0

    def _note_loss(self, cause: str) -> None:
        """End the term if the lease has expired or was taken."""
        if self.book is not None and not self.state.holds(self.clock()):
            self._end_term(cause)

    def _use_limits(self, now: float) -> None:
        file = self.file()
        if file.version == self.version:
            return
        self.version = file.version
        try:
            deployment = decode_deployment(file.text) if file.text else None
        except ConfigurationError as error:
            VERSION_NOT_USED.write(version=file.version, cause=error.reason)
            return
        self.limits = team_limits(deployment)
        if self.book is not None:
            self.book.use_limits(self.limits, self.version, now)


def create_grant_service(
    settings: ControlSettings,
    registers: RegisterService,
    file: Callable[[], AcceptedFile],
    metrics: MetricSet,
) -> GrantService:
    """Return the grant service of a control replica."""
    identity = registers.identity
    session = f'{identity.identity}/{identity.start}'
    state = LeaseState(rules_of(settings), settings.replica_id, session)
    return GrantService(
        state,
        registers,
        lambda key: registers.commits.read(key).value,
        file,
        metrics,
    )
