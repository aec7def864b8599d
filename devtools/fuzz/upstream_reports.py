"""Fuzzes the order of an upstream's reports against the life of its processes.

Reports may arrive late, twice or never. The daemon beside the upstream may
restart at any step, also while a health check is on its way.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from hypothesis import strategies

from burdocklead.process.local_member import Announcement
from burdocklead.process.upstream_reports import (
    UpstreamReport,
    UpstreamReports,
    Verdict,
)
from devtools.fuzz.examples import run_examples

SILENCE_S = 3
MS_PER_S = 1000
REPORT_INTERVAL_S = 1.5
MAX_LATENESS_S = 30  # Reports that are older are lost.
ROUNDS_UNTIL_USED = 5
EXIT_S = 0.1
MIN_OPERATIONS = 12  # Shorter lists seldom reach the end of a process.
MAX_OPERATIONS = 25
INSTANCES = ('i-1', 'i-2')
OPERATIONS = (
    'send',
    'send',
    'deliver',
    'deliver',
    'drain',
    'depart',
    'exit',
    'start',
    'restart daemon',
    'ask health',
    'hear health',
    'check health',
    'wait',
    'wait',
)
WAITS_S = (0.1, 1, 4, 20)

Operation = tuple[str, int]


@dataclass(slots=True)
class UpstreamProcess:
    """A process of the upstream.

    Attributes:
        instance: Name of the instance.
        started_ms: Wall-clock time of its start in ms.
        number: Number of its last report.
        draining: True once it wants no new work.
        leaving: True once the daemon has acknowledged that it leaves.
    """

    instance: str
    started_ms: int
    number: int = 0
    draining: bool = False
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class SentReport:
    """A report on its way.

    Attributes:
        report: The report.
        sender: Process that sent it.
        sent_at: Time in s.
    """

    report: UpstreamReport
    sender: UpstreamProcess
    sent_at: float


@dataclass(slots=True)
class Vm:
    """A VM with a daemon and the upstream beside it.

    Attributes:
        now: Time in s.
        reports: The reports that the daemon has counted.
        process: Process of the upstream that runs, None if there is none.
        sent: Reports that may arrive.
        in_use: Instance that gets new work, empty if there is none.
        asked: Instance that answers a health check on its way, empty if the
            upstream is not in service, None if there is no health check.
    """

    now: float = 100
    reports: UpstreamReports = field(
        default_factory=lambda: UpstreamReports(SILENCE_S)
    )
    process: UpstreamProcess | None = None
    sent: list[SentReport] = field(default_factory=list)
    in_use: str = ''
    asked: str | None = None

    def apply(self, operation: str, number: int) -> None:
        """Apply one operation; raise AssertionError on a violation."""
        match operation:
            case 'start' if self.process is None:
                instance = INSTANCES[number % len(INSTANCES)]
                started_ms = int(self.now * MS_PER_S)
                self.process = UpstreamProcess(instance, started_ms)
            case 'exit':
                self.process = None
                self.now += EXIT_S
            case 'restart daemon':
                self.reports = UpstreamReports(SILENCE_S)
                self.in_use = ''
                self.asked = None
            case 'deliver' if self.sent:
                self.deliver(self.sent[number % len(self.sent)])
            case 'ask health' if self.reports.needs_health_check():
                self.ask_health()
            case 'hear health':
                self.hear_health()
            case 'check health' if self.reports.needs_health_check():
                self.ask_health()
                self.hear_health()
            case 'wait':
                self.now += WAITS_S[number % len(WAITS_S)]
            case _ if self.process is not None:
                self.act(operation, self.process)
        self.check()

    def act(self, operation: str, process: UpstreamProcess) -> None:
        """Let the running process of the upstream do something."""
        match operation:
            case 'send' if not process.leaving or process.draining:
                self.send(process)
            case 'drain':
                process.draining = True
            case 'depart':
                process.leaving = True
                self.reports.depart(
                    process.instance, self.now, self.now * MS_PER_S
                )
                if self.in_use == process.instance:
                    self.in_use = ''

    def send(self, process: UpstreamProcess) -> SentReport:
        """Send a report, which arrives when it is delivered."""
        process.number += 1
        announcement = Announcement(
            service='sheets',
            address='127.0.0.1:1',
            slots=1,
            draining=process.draining,
            instance=process.instance,
        )
        report = UpstreamReport(
            announcement, process.number, process.started_ms
        )
        sent = SentReport(report, process, self.now)
        self.sent.append(sent)
        return sent

    def deliver(self, sent: SentReport) -> None:
        """Let a report arrive, unless it is too late; it may arrive again."""
        if self.now > sent.sent_at + MAX_LATENESS_S:
            return
        verdict = self.reports.judge(sent.report, self.now)
        draining = sent.report.announcement.draining
        if draining:
            sent.sender.leaving = True
        if verdict is Verdict.announced:
            self.in_use = '' if draining else sent.report.instance

    def ask_health(self) -> None:
        """Send a health check, which the upstream answers at once."""
        process = self.process
        self.asked = ''
        if process and not (process.draining or process.leaving):
            self.asked = process.instance

    def hear_health(self) -> None:
        """Receive the answer to the health check on its way."""
        if self.asked and self.reports.confirm(self.asked, self.now):
            self.in_use = self.asked
        self.asked = None

    def check(self) -> None:
        """Raise AssertionError if a process that leaves gets new work."""
        process = self.process
        if process is not None and process.leaving:
            assert self.in_use != process.instance, (
                f'{process.instance} leaves and is in use'
            )

    def check_progress(self) -> None:
        """Raise AssertionError if a process in service stays unused."""
        process = self.process
        if process is None or process.draining or process.leaving:
            return
        for _ in range(ROUNDS_UNTIL_USED):
            self.now += REPORT_INTERVAL_S
            self.deliver(self.send(process))
            if self.reports.needs_health_check():
                self.ask_health()
                self.hear_health()
        assert self.in_use == process.instance, (
            f'{process.instance} is in service and not in use'
        )


def operation_lists() -> strategies.SearchStrategy[list[Operation]]:
    """Return the strategy for lists of operations."""
    return strategies.lists(
        strategies.tuples(
            strategies.sampled_from(OPERATIONS), strategies.integers(0, 20)
        ),
        min_size=MIN_OPERATIONS,
        max_size=MAX_OPERATIONS,
    )


def check_reports(operations: Sequence[Operation]) -> None:
    """Run operations on a VM, then let the upstream go on undisturbed."""
    vm = Vm()
    vm.apply('start', 0)
    for operation, number in operations:
        vm.apply(operation, number)
    vm.check_progress()


def run_fuzzer(*, seed: int, count: int, shrink: bool = True) -> None:
    """Run the examples; raise AssertionError if one fails."""
    run_examples(check_reports, operation_lists(), seed, count, shrink=shrink)
