"""Declarations of all log events that a process writes."""

from __future__ import annotations

import enum
from dataclasses import dataclass

import logbook


class Level(enum.IntEnum):
    """Log levels with the numbers of logbook."""

    debug = logbook.DEBUG
    info = logbook.INFO
    warning = logbook.WARNING
    error = logbook.ERROR


# Meaning and unit of each field.
FIELDS = {
    'accepted': 'true if the change was accepted',
    'address': 'address as IP:PORT',
    'attempt': 'id of the attempt',
    'base': 'configuration version that a change is based on',
    'call': 'id of the call, given by the caller or made by the entry',
    'cause': 'reason in a few words',
    'cold_ms': 'remaining time for which the upstream is cold in ms',
    'daemons': 'names of daemons',
    'elapsed_ms': 'time from the start to the end in ms',
    'evacuated': 'true if the evacuation was started, false if it was ended',
    'epoch': 'epoch of the replica set',
    'in_flight': 'attempts from this entry to the upstream, with this one',
    'in_force': 'configuration version in force after a decision',
    'incarnation': 'start time of the process in ns',
    'instance': 'name of the incarnation of an upstream',
    'joining': 'replica that joins the set, empty if none',
    'leaving': 'replica that leaves the set, empty if none',
    'limit_s': 'time limit in s',
    'load_age_ms': 'age of the last load report of the upstream in ms',
    'number': 'number of a heartbeat or list; number of times so far',
    'operation': 'operation that an operator requested',
    'outcome': 'answered, not-run, unknown; of attempts answer, refusal, lost',
    'pace': 'service time at the upstream as a multiple of the usual one',
    'path': 'path of the request',
    'peer': 'the other process: a daemon, a replica or an address',
    'process': 'name of the process',
    'rank': 'priority rank of the call; 0 is shed last',
    'register': 'key of a register',
    'replicas': 'names or number of replicas',
    'requests': 'requests of callers without a response',
    'route': 'name of the route',
    'running': 'calls that the upstream runs',
    'seeds': 'addresses of replicas in the settings',
    'service': 'service of the call or of the upstream',
    'share': 'share of each team limit that this daemon may use',
    'slots': 'calls that may run at the same time',
    'started_ms': 'wall time of the start of an upstream in ms',
    'state': 'new state of the process',
    'status': 'HTTP status',
    'step': 'step that failed',
    'target': 'path and query of the request',
    'team': 'team of the call; left out if there is none',
    'term': 'term of the lease on granting calls',
    'told_ms': 'latency last reported by the daemon of the upstream in ms',
    'version': 'configuration version',
    'waited_ms': 'time in the queue in ms',
    'waiting': 'calls queued for the upstream',
    'zone': 'availability zone',
    'zones': 'names of availability zones',
}
LOGGERS: dict[str, logbook.Logger] = {}
DECLARED: list[LogEvent] = []


@dataclass(frozen=True, slots=True)
class LogEvent:
    """One kind of log line.

    Attributes:
        message: What happened; the name of the event.
        channel: Component that writes it.
        level: Log level.
        when: When it is written.
        fields: Names of its fields; ``FIELDS`` describes them.
    """

    message: str
    channel: str
    level: Level
    when: str
    fields: tuple[str, ...] = ()

    def write(self, **fields: object) -> None:
        """Write a line with its fields.

        Args:
            fields: The declared fields; ``exc_info`` adds a traceback.
        """
        LOGGERS[self.channel].log(self.level, self.message, **fields)


def _declare(
    message: str, channel: str, level: Level, when: str, fields: str = ''
) -> LogEvent:
    event = LogEvent(message, channel, level, when, tuple(fields.split()))
    DECLARED.append(event)
    if channel not in LOGGERS:
        LOGGERS[channel] = logbook.Logger(channel)
    return event


STATE_CHANGED = _declare(
    'state changed',
    'lifecycle',
    Level.info,
    'a process starts, serves, drains or stops',
    'process zone incarnation state',
)
CALL_NOT_ANSWERED = _declare(
    'call not answered',
    'calls',
    Level.info,
    'an entry ends a call without an answer from an upstream',
    'call target service version team outcome cause status elapsed_ms',
)
CALL_FAILED = _declare(
    'call failed',
    'calls',
    Level.error,
    'an unexpected error ends a call',
    'call',
)
ATTEMPT_ENDED = _declare(
    'attempt ended',
    'attempts',
    Level.info,
    'an entry receives the result of an attempt',
    'call attempt peer zone service told_ms load_age_ms in_flight elapsed_ms '
    'outcome cause',
)
ATTEMPT_ADMITTED = _declare(
    'attempt admitted',
    'gate',
    Level.info,
    'an attempt gets a slot of the upstream',
    'call attempt service route rank waited_ms pace',
)
ATTEMPT_NOT_ANSWERED = _declare(
    'attempt not answered',
    'gate',
    Level.info,
    'the daemon beside an upstream refuses an attempt or gets no answer',
    'call attempt service route outcome cause running waiting slots',
)
ATTEMPT_FAILED = _declare(
    'attempt failed',
    'gate',
    Level.error,
    'an unexpected error ends an attempt',
    'attempt',
)
CONTROL_FAILED = _declare(
    'control request failed',
    'control',
    Level.error,
    'an unexpected error ends a request to a replica',
    'operation',
)
RESULT_NOT_SENT = _declare(
    'result not sent',
    'link',
    Level.debug,
    'the link ended before the result of an attempt could be sent',
    'attempt',
)
LINK_ENDED = _declare(
    'link ended',
    'link',
    Level.info,
    'the link of an entry to a daemon ended',
    'peer cause',
)
LOAD_NOT_ASKED = _declare(
    'load not asked for',
    'load',
    Level.warning,
    'the port for load probes cannot be bound; calls are routed without them',
    'address cause',
)
LOAD_QUESTION_FAILED = _declare(
    'load question failed',
    'load',
    Level.debug,
    'a load probe could not be sent',
    'cause',
)
LOAD_NOT_READ = _declare(
    'load datagram not read',
    'load',
    Level.info,
    'a datagram with a valid proof could not be decoded',
    'peer cause',
)
UPSTREAM_FOUND = _declare(
    'upstream found',
    'upstream',
    Level.info,
    'a daemon learns of the upstream beside it',
    'instance service slots',
)
UPSTREAM_LEFT = _declare(
    'upstream left',
    'upstream',
    Level.info,
    'the upstream announces that it leaves or drains',
    'instance service cause',
)
UPSTREAM_LOST = _declare(
    'upstream lost',
    'upstream',
    Level.warning,
    'the lease of the upstream expired without a heartbeat',
    'instance service',
)
UPSTREAM_COLD = _declare(
    'upstream cold',
    'upstream',
    Level.info,
    'the upstream is cold or assumed to be; its calls are limited',
    'cold_ms',
)
UPSTREAM_WARM = _declare(
    'upstream warm',
    'upstream',
    Level.info,
    'the cold time of the upstream has ended',
    'cold_ms',
)
COLD_TIME_IGNORED = _declare(
    'cold time ignored',
    'upstream',
    Level.warning,
    'the upstream reports a remaining cold time that is not possible; '
    'written once in 10 s',
    'cold_ms limit_s',
)
HEARTBEAT_REFUSED = _declare(
    'heartbeat refused',
    'upstream',
    Level.info,
    'a heartbeat is invalid or belongs to another upstream',
    'instance cause',
)
HEARTBEAT_NOT_USED = _declare(
    'heartbeat not used',
    'upstream',
    Level.info,
    'a heartbeat is ignored as late, or held until a health check',
    'instance number started_ms cause',
)
MEMBER_JOINED = _declare(
    'member joined',
    'directory',
    Level.info,
    'a daemon learns of another daemon or of its restart',
    'peer zone service incarnation',
)
MEMBER_DRAINING = _declare(
    'member draining',
    'directory',
    Level.info,
    'a daemon learns that another daemon accepts no new work',
    'peer service',
)
MEMBER_LEFT = _declare(
    'member left',
    'directory',
    Level.info,
    'a daemon learns that another daemon has left',
    'peer service',
)
VERSION_IN_FORCE = _declare(
    'configuration in force',
    'directory',
    Level.info,
    'a daemon starts to use a newer configuration',
    'version',
)
VERSION_NOT_USED = _declare(
    'configuration not used',
    'directory',
    Level.error,
    'a process can not read a newer configuration and keeps the one before',
    'version cause',
)
VERSION_ACCEPTED = _declare(
    'configuration accepted',
    'control',
    Level.info,
    'a replica learns of a newer configuration',
    'version',
)
VALUE_CONFIRMED = _declare(
    'value confirmed',
    'registers',
    Level.info,
    'a replica found a newer value in its own register and read it from a '
    'quorum',
    'register',
)
CHANGE_DECIDED = _declare(
    'change decided',
    'control',
    Level.info,
    'a quorum decided on a change of the configuration',
    'operation version base accepted in_force cause',
)
CHANGE_REFUSED = _declare(
    'change refused',
    'control',
    Level.info,
    'a change of the configuration is invalid',
    'operation cause',
)
CHANGE_NOT_DECIDED = _declare(
    'change not decided',
    'control',
    Level.warning,
    'no quorum answered; the change may still take effect',
    'operation cause',
)
LEASE_RAN_OUT = _declare(
    'lease ran out',
    'control',
    Level.info,
    'a replica removes a daemon whose lease has expired',
    'peer',
)
DRAINS_CHANGED = _declare(
    'drains changed',
    'control',
    Level.info,
    'a replica learns which daemons are drained by operators',
    'daemons',
)
EVACUATION_DECIDED = _declare(
    'evacuation decided',
    'evacuation',
    Level.info,
    'a quorum decided on an order of an operator to evacuate or restore a zone',
    'zone evacuated number',
)
EVACUATIONS_CHANGED = _declare(
    'evacuated zones changed',
    'evacuation',
    Level.info,
    'a replica learns which zones are evacuated',
    'zones',
)
ZONES_EVACUATED = _declare(
    'evacuated zones in force',
    'evacuation',
    Level.info,
    'a daemon starts to use another list of evacuated zones',
    'zones',
)
CONTROL_REACHED = _declare(
    'control reached',
    'control-agent',
    Level.info,
    'a daemon is connected to a control replica that has a quorum',
    'peer',
)
CONTROL_LEFT = _declare(
    'control replica left',
    'control-agent',
    Level.warning,
    'a control replica does not answer or has no quorum',
    'peer cause',
)
REPLICA_SET = _declare(
    'replica set',
    'registers',
    Level.info,
    'a process learns of a newer replica set',
    'epoch replicas',
)
SET_CHANGE_PROPOSED = _declare(
    'replica set change proposed',
    'registers',
    Level.info,
    'a replica proposes to replace or to add a replica',
    'epoch leaving joining',
)
SET_CHANGE_TAKEN_BACK = _declare(
    'replica set change taken back',
    'registers',
    Level.info,
    'a change is cancelled: the joining replica is silent or was replaced',
    'epoch cause',
)
SET_CHANGE_WAITS = _declare(
    'set change waits',
    'registers',
    Level.debug,
    'a change of the replica set cannot continue now',
    'cause',
)
CAUGHT_UP = _declare(
    'caught up',
    'registers',
    Level.info,
    'a joining replica has read the registers of a quorum',
    'epoch replicas',
)
CATCH_UP_FAILED = _declare(
    'catch-up failed',
    'registers',
    Level.debug,
    'a replica sent no page of its registers',
    'peer cause',
)
EXCHANGE_FAILED = _declare(
    'exchange failed',
    'registers',
    Level.debug,
    'another replica did not answer',
    'peer cause',
)
REQUEST_FAILED = _declare(
    'request failed',
    'http-server',
    Level.error,
    'an unexpected error ends a request',
    'target',
)
MEMORY_SHED = _declare(
    'memory shed',
    'memory',
    Level.warning,
    'the memory budget makes a process refuse a request, skip a frame or '
    'close a connection; at most one line a second for each cause',
    'cause number',
)
REQUEST_REFUSED = _declare(
    'request refused',
    'http-server',
    Level.debug,
    'a request could not be read',
    'status cause',
)
PAGE_FAILED = _declare(
    'page failed',
    'admin',
    Level.error,
    'an unexpected error ends a request to an admin endpoint',
    'path',
)
METRICS_NOT_SERVED = _declare(
    'metrics not served',
    'metrics',
    Level.warning,
    'the port of the metrics endpoint cannot be bound',
    'address cause',
)
GRANT_LEASE_GAINED = _declare(
    'grant lease gained',
    'allowance',
    Level.info,
    'this replica grants the calls of teams with a limit from now on',
    'term daemons',
)
GRANT_LEASE_LOST = _declare(
    'grant lease lost',
    'allowance',
    Level.info,
    'this replica grants no calls any more',
    'term cause',
)
FALLBACK_ENTERED = _declare(
    'fallback entered',
    'allowance',
    Level.warning,
    'no lease holder replies; a fixed share of the team limits is used',
    'share',
)
FALLBACK_LEFT = _declare(
    'fallback left',
    'allowance',
    Level.info,
    'a lease holder replies again',
    'peer',
)
SETTINGS_RELOADED = _declare(
    'settings reloaded',
    'settings',
    Level.info,
    'the settings file was reloaded',
    'seeds',
)
SETTINGS_NOT_RELOADED = _declare(
    'settings not reloaded',
    'settings',
    Level.warning,
    'the settings file is unusable; the previous settings stay in force',
    'cause',
)
STOPPED_WITH_WORK = _declare(
    'stopped with work in progress',
    'lifecycle',
    Level.warning,
    'a graceful stop reached its time limit',
    'limit_s requests running',
)
UNEXPECTED_ERROR = _declare(
    'unexpected error',
    'supervision',
    Level.error,
    'an unexpected error reached the event loop or ended a task',
    'step',
)
