"""The services under test, and the balancers that are compared on them."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from devtools.bench.plan import Arm, CallKind, Policy
from devtools.bench.scenario import Layout
from devtools.local_deployment import LocalDeployment

SLOTS = 20
WORK_MS = 300
LONG_FACTOR = 10
LONG_SHARE = 0.02
LIMIT_MS = 1500
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class Shape:
    """A service of one deployment, with its number of upstreams.

    All shapes use the archive route of the example file, because its timeout
    is long enough for long calls; they differ in their number of targets.

    Attributes:
        name: Name of the deployment.
        service: Service in the example file.
        path: Path of its cheap idempotent route.
        targets: Number of upstreams of the service.
    """

    name: str
    service: str
    path: str
    targets: int

    @property
    def saturation(self) -> float:
        """Return the calls per second that fill all slots."""
        mean_ms = WORK_MS * (1 + LONG_SHARE * (LONG_FACTOR - 1))
        return self.targets * SLOTS * MS_PER_S / mean_ms

    def layout(self, cost_ms: float) -> Layout:
        """Return a layout that declares the actual service time in ms."""
        counts = {self.service: self.targets}
        return Layout(counts, SLOTS, controls=1, cost_ms=cost_ms)

    def target(self, number: int) -> str:
        """Return the name of the daemon of one target."""
        return f'{self.service}-{number}'


CEDARLINE = Shape('cedarline', 'archive', '/records/9', 5)
GARANTIEWERK = Shape('garantiewerk', 'archive', '/records/9', 3)
SHAPES = {shape.name: shape for shape in (CEDARLINE, GARANTIEWERK)}


class Balancer(enum.StrEnum):
    """How calls are distributed among the upstreams.

    ``product`` sends them through the daemons; with the others, the load
    process calls the upstreams directly.
    """

    random = 'random, straight'
    round_robin = 'round robin, straight'
    least_stale = 'least stale, straight'
    product = 'product'


POLICY_BY_BALANCER = {
    Balancer.random: Policy.random,
    Balancer.round_robin: Policy.round_robin,
    Balancer.least_stale: Policy.least_stale,
    Balancer.product: Policy.round_robin,
}


def arm_of(
    deployment: LocalDeployment,
    shape: Shape,
    balancer: Balancer,
    kinds: tuple[CallKind, ...],
) -> Arm:
    """Return the arm of a balancer.

    Calls through the product are sent to the daemons in round robin.

    Args:
        deployment: Deployment under test.
        shape: Service and its targets.
        balancer: The product or a baseline.
        kinds: Mix of calls, with paths as the upstream sees them.
    """
    policy = POLICY_BY_BALANCER[balancer]
    if balancer is not Balancer.product:
        upstreams = deployment.upstreams.values()
        direct = tuple(one.addresses['http'] for one in upstreams)
        return Arm(direct, kinds, policy)
    daemons = deployment.daemons.values()
    entries = tuple(one.addresses['http'] for one in daemons)
    return Arm(
        entries,
        tuple(_kind_through_product(kind, shape) for kind in kinds),
        policy,
    )


def _kind_through_product(kind: CallKind, shape: Shape) -> CallKind:
    return CallKind(
        kind.name,
        f'/{shape.service}{kind.path}',
        kind.method,
        kind.work_ms,
        kind.weight,
        kind.body_bytes,
        kind.limit_ms,
    )


def mixed_kinds(shape: Shape) -> tuple[CallKind, ...]:
    """Return a mix of short calls and a few that run many times longer."""
    return (
        CallKind(
            'short',
            shape.path,
            work_ms=WORK_MS,
            weight=1 - LONG_SHARE,
            limit_ms=LIMIT_MS,
        ),
        CallKind(
            'long',
            shape.path,
            work_ms=WORK_MS * LONG_FACTOR,
            weight=LONG_SHARE,
            limit_ms=LIMIT_MS * LONG_FACTOR,
        ),
    )
