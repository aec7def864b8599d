"""End of all work of a daemon that stops."""

from __future__ import annotations

import math
from dataclasses import dataclass

from burdocklead.request.caller_input import CallerInputError
from burdocklead.values import RefusalCause


@dataclass(slots=True)
class WorkLimit:
    """Time at which a stopping daemon ends the calls in progress.

    Attributes:
        ends_at: Loop time in s, infinite unless the daemon stops.
    """

    ends_at: float = math.inf

    def check_deadline(self, deadline: float) -> None:
        """Check that a call ends before the daemon does.

        Args:
            deadline: Deadline of the call as loop time in s.

        Raises:
            CallerInputError: If the call could be cut.
        """
        if deadline > self.ends_at:
            reason = 'this daemon stops before the deadline of the call'
            raise CallerInputError(RefusalCause.draining, reason)
