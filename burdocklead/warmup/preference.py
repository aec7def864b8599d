"""How much an entry prefers other upstreams to a cold one, without I/O."""

from __future__ import annotations

from burdocklead.values import LoadReport

MS_PER_S = 1000
# With 10 s left, another upstream is preferred unless it is 1 s slower. The
# preference fades with the cold time, so that the load returns gradually.
PENALTY_SHARE = 0.1


def cold_penalty_ms(load: LoadReport | None, age_s: float) -> float:
    """Return the time in ms added to the expected latency of an upstream.

    Args:
        load: Its last load report, None without one.
        age_s: Age of the report in s.
    """
    if load is None or not load.cold_ms:
        return 0
    return max(load.cold_ms - age_s * MS_PER_S, 0) * PENALTY_SHARE
