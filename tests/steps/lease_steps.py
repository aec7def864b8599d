"""Steps for the leases of daemons and the quorum age."""

from __future__ import annotations

import msgspec
from behave import given, then, when

from burdocklead.clock import HybridTime
from burdocklead.connection.control_messages import MemberUpdate
from burdocklead.durable.replica_set import NO_QUORUM_AGE_S
from burdocklead.process.membership import MembershipView
from burdocklead.values import Address, CrashReport, Member

UNUSED_ADDRESS = Address('127.0.0.1', 1)
MS_PER_S = 1000
NS_PER_S = 1_000_000_000
INCARNATIONS = {'lower': 0, 'first': 1, 'higher': 2}
MEMBER = Member(
    daemon_id='d1',
    incarnation=1,
    revision=1,
    zone='victoria',
    link=UNUSED_ADDRESS,
    http=UNUSED_ADDRESS,
)


@given(
    'a membership view with a lease of {lease:d} s that heard a daemon at '
    '{at:g} s'
)
def make_view(context, lease, at):
    """Create a view with one daemon."""
    context.view = MembershipView('a', 1, lease)
    context.view.observe(MEMBER, at)


@when(
    'the replica "{name}" reports at {at:g} s that it heard the daemon '
    '{age:g} s before'
)
def merge_heard(context, name, at, age):
    """Merge a report of another replica that heard the daemon."""
    update = MemberUpdate(MEMBER, False, age * MS_PER_S, name)
    context.view.merge([update], at, name)


def sent(seconds):
    """Return the time at which a heartbeat was sent."""
    return HybridTime(int(seconds * NS_PER_S), 0)


@given(
    'replica "{replica_id}" with a lease of {lease:d} s got a heartbeat at '
    '{at:g} s'
)
def make_replica(context, replica_id, lease, at):
    """Create the view of a replica with one daemon."""
    context.view = MembershipView(replica_id, 1, lease)
    context.view.observe(MEMBER, at, sent_at=sent(at))


@when('a heartbeat sent at {sent_at:g} s arrives at {at:g} s')
def receive_heartbeat(context, sent_at, at):
    """Receive a heartbeat, perhaps late."""
    context.view.observe(MEMBER, at, sent_at=sent(sent_at))


@when(
    'a heartbeat of a process with a {which} incarnation, sent at {sent_at:g} '
    's, arrives at {at:g} s'
)
def receive_other_process(context, which, sent_at, at):
    """Receive a heartbeat of another process of the same daemon."""
    member = msgspec.structs.replace(MEMBER, incarnation=INCARNATIONS[which])
    context.view.observe(member, at, sent_at=sent(sent_at))


@then('the incarnation of the daemon is the {which} one')
def check_incarnation(context, which):
    """Compare the incarnation of the record."""
    found = [member.incarnation for member in context.view.live()]
    assert found == [INCARNATIONS[which]], found


@when(
    'replica "{name}" reports at {at:g} s that it got a heartbeat sent at '
    '{sent_at:g} s'
)
def merge_sent(context, name, at, sent_at):
    """Merge a report of the replica that got the heartbeat."""
    update = MemberUpdate(
        MEMBER, False, (at - sent_at) * MS_PER_S, name, sent(sent_at)
    )
    context.view.merge([update], at, name)


@when(
    'replica "{name}" reports at {at:g} s that the daemon is gone, last '
    'heartbeat sent at {sent_at:g} s'
)
def merge_lost(context, name, at, sent_at):
    """Merge a report that the lease ran out at another replica."""
    context.cursor = context.view.cursor
    update = MemberUpdate(
        MEMBER, True, (at - sent_at) * MS_PER_S, name, sent(sent_at)
    )
    context.view.merge([update], at, name)


@when('the replica "{name}" answers at {at:g} s')
def renew_leases(context, name, at):
    """Renew leases after an answer of another replica."""
    context.view.renew_leases(name, at)


@when('the daemon announces itself at {at:g} s with {what} changed')
def announce_again(context, at, what):
    """Change one field of the daemon's record."""
    changes = {
        'version_in_force': 7,
        'draining': True,
        'crashes': (CrashReport('f', 'c', 'd1', 1, alone=True),),
    }
    context.cursor = context.view.cursor
    changed = msgspec.structs.replace(
        MEMBER, revision=2, **{what: changes[what]}
    )
    context.view.observe(changed, at)
    assert context.view.live() == [changed]


@then('the view sends {count:d} change')
def check_updates(context, count):
    """Count the updates for other processes since the last change."""
    _, updates = context.view.updates_since(context.cursor, 12)
    assert len(updates) == count, updates


@when(
    'another replica reports at {at:g} s that the daemon is gone, heard '
    '{age:g} s before'
)
def merge_gone(context, at, age):
    """Merge a report of another replica that the daemon is gone."""
    update = MemberUpdate(MEMBER, gone=True, age_ms=age * MS_PER_S)
    context.view.merge([update], at, 'z')


@then('no daemon expires at {at:g} s')
def check_none_expires(context, at):
    """Expire leases and expect that no daemon expired."""
    assert not context.view.expire(at)


@then('the daemon expires at {at:g} s')
def check_expires(context, at):
    """Expire leases and expect that the daemon expired."""
    assert context.view.expire(at) == [MEMBER]


@then('the daemon is gone')
def check_gone(context):
    """Expect that no daemon is live."""
    assert not context.view.live()


@then('the daemon is present')
def check_present(context):
    """Expect that the daemon is present."""
    assert context.view.live() == [MEMBER]


def quorum_age_of(context, text):
    """Return the quorum age for ages by replica, as ``a 0, b 1``."""
    pairs = [part.split() for part in text.split(', ')]
    ages = {name: float(age) for name, age in pairs}
    return context.set.quorum_age(ages)


@then('the quorum age for {text} is {age:d} s')
def check_age(context, text, age):
    """Compare the quorum age."""
    assert quorum_age_of(context, text) == age


@then('the quorum age for {text} is unknown')
def check_no_age(context, text):
    """Expect that no quorum was heard."""
    assert quorum_age_of(context, text) == NO_QUORUM_AGE_S
