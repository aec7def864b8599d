"""Clients of teams on the stand-in platform, and the bound on their calls."""

from __future__ import annotations

import threading
import time
from bisect import bisect_right
from dataclasses import dataclass, field

import requests

from tests.platform.stand_in import HTTP_TIMEOUT_S, PORTS

KEY_PREFIX = 'key-of-'
WINDOW_S = 5
OVERAGE = 0.1
SLACK = 20
BOUNDS = ('quotaWindowS=5', 'quotaOverage=0.1', 'quotaSlack=20')


def team_entry(name, rate, burst):
    """Return a team with a limit in the platform's JSON form."""
    return {
        'entryType': 'tenants',
        'metadata': {'name': name},
        'spec': {
            'apiKeys': [KEY_PREFIX + name],
            'ratePerS': rate,
            'burst': burst,
        },
    }


@dataclass
class TeamClients:
    """Sends calls of one team to daemons at a constant rate.

    Attributes:
        platform: The platform.
        host: Host of the calls.
        path: Path of the calls.
        team: Name of the team.
        answers: Time sent in s, status and ``Retry-After`` of each call.
    """

    platform: object
    host: str
    path: str
    team: str
    answers: list = field(default_factory=list)

    def send(self, daemon):
        """Send one call and record the answer."""
        sent_at = time.monotonic()
        try:
            answer = requests.get(
                f'http://{self.platform.ip(daemon)}:{PORTS["outbound"]}'
                f'{self.path}',
                headers={
                    'Host': self.host,
                    'X-Attempt-Id': f'{self.team}-{sent_at}',
                    'X-Timeout-Remaining': '1000',
                    'X-Api-Key': KEY_PREFIX + self.team,
                },
                timeout=HTTP_TIMEOUT_S,
            )
        except requests.RequestException:
            return
        retry_after = answer.headers.get('Retry-After')
        self.answers.append((sent_at, answer.status_code, retry_after))

    def send_at(self, rate, length_s, daemons):
        """Send calls at a rate to the daemons in turn, without waiting."""
        started = time.monotonic()
        threads = []
        for number in range(int(rate * length_s)):
            due = started + number / rate
            time.sleep(max(due - time.monotonic(), 0))
            daemon = daemons[number % len(daemons)]
            thread = threading.Thread(target=self.send, args=(daemon,))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    def count(self, status):
        """Return the number of calls that were answered with a status."""
        return sum(one == status for _, one, _ in self.answers)

    def most_served(self):
        """Return the most served calls that were sent within a window."""
        times = sorted(at for at, status, _ in self.answers if status == 200)
        return max(
            bisect_right(times, start + WINDOW_S) - index
            for index, start in enumerate(times)
        )


def bound(rate, burst):
    """Return the calls that may run in a window."""
    return (rate * WINDOW_S + burst) * (1 + OVERAGE) + SLACK
