"""Steps for the order of an upstream's reports."""

from __future__ import annotations

from behave import given, then, when

from burdocklead.process.local_member import Announcement
from burdocklead.process.upstream_reports import (
    UpstreamReport,
    UpstreamReports,
    Verdict,
)

SILENCE_S = 3
MS_PER_S = 1000


@given('a daemon that has just started')
def start_daemon(context):
    """Create a filter that knows no incarnation."""
    context.reports = UpstreamReports(SILENCE_S)


@when(
    '"{instance}" of start {started_ms:d} sends report {number:d} at {at:g} s'
)
def send_report(context, instance, started_ms, number, at):
    """Judge a report of an upstream that accepts work."""
    judge(context, instance, started_ms, number, at, draining=False)


@when(
    '"{instance}" of start {started_ms:d} sends the draining report '
    '{number:d} at {at:g} s'
)
def send_draining_report(context, instance, started_ms, number, at):
    """Judge a report of an upstream that drains."""
    judge(context, instance, started_ms, number, at, draining=True)


def judge(context, instance, started_ms, number, at, *, draining):
    """Judge a report."""
    announcement = Announcement(
        service='sheets',
        address='127.0.0.1:1',
        slots=4,
        draining=draining,
        instance=instance,
    )
    report = UpstreamReport(announcement, number, started_ms)
    context.verdict = context.reports.judge(report, at)


@then('the report is {verdict}')
def check_verdict(context, verdict):
    """Check the verdict on the last report."""
    assert context.verdict is Verdict(verdict), context.verdict


@when('"{instance}" departs at {at:g} s')
def depart(context, instance, at):
    """Deregister an instance; its wall clock runs like the loop's."""
    context.reports.depart(instance, at, at * MS_PER_S)


@when('a health check of "{instance}" succeeds at {at:g} s')
def confirm(context, instance, at):
    """Pass on the instance that answered a health check."""
    context.counted = context.reports.confirm(instance, at)


@then('the health check counts')
def check_counted(context):
    """Check the result of the last health check."""
    assert context.counted


@then('the health check does not count')
def check_not_counted(context):
    """Check the result of the last health check."""
    assert not context.counted


@then('a health check is needed')
def check_needed(context):
    """Check that an instance awaits a health check."""
    assert context.reports.needs_health_check()


@then('no health check is needed')
def check_not_needed(context):
    """Check that no instance awaits a health check."""
    assert not context.reports.needs_health_check()
