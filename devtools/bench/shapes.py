"""The two deployments that are measured, one service of each at a time."""

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
    """One service of a deployment.

    Both use the archive route of the example file, whose timeout leaves room
    for long calls; the shapes differ by their number of targets.

    Attributes:
        name: Deployment.
        service: Service of the example file.
        path: Path of its cheap idempotent route.
        targets: Upstreams of the service.
    """

    name: str
    service: str
    path: str
    targets: int

    @property
    def saturation(self) -> float:
        """Return the calls a second that fill all slots."""
        mean_ms = WORK_MS * (1 + LONG_SHARE * (LONG_FACTOR - 1))
        return self.targets * SLOTS * MS_PER_S / mean_ms

    def layout(self, cost_ms: float) -> Layout:
        """Return the deployment with a truly declared service time in ms."""
        counts = {self.service: self.targets}
        return Layout(counts, SLOTS, controls=1, cost_ms=cost_ms)

    def target(self, number: int) -> str:
        """Return the name of one target's daemon."""
        return f'{self.service}-{number}'


CEDARLINE = Shape('cedarline', 'archive', '/records/9', 5)
GARANTIEWERK = Shape('garantiewerk', 'archive', '/records/9', 3)
SHAPES = {shape.name: shape for shape in (CEDARLINE, GARANTIEWERK)}


class Balancer(enum.StrEnum):
    """A way to an upstream that is compared."""

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
    """Return the arm of a way; the product is entered at each daemon in turn.

    Args:
        deployment: What runs.
        shape: Service and targets.
        balancer: The product or a baseline.
        kinds: Mix of calls with paths at the upstream.
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
    """Return usual calls and a few that run many times longer."""
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
