"""Every accepted job can be learnt of while users ask for more than the request rate allows.

Guards against accepted jobs that are forgotten by the protocol's measure, 75 s without an answer,
at some 4,000 machines, where users' polls alone exceed the state service's request rate.
"""

from __future__ import annotations

import asyncio

import msgspec

from tealrill.settings import Settings
from tealrill.simulation.cluster import SimulatedCluster
from tealrill.simulation.process import ClusterConfig
from tealrill.simulation.scenario import run_scenario

POLLS_BEGIN_S = 40.0
"""How long jobs arrive, ten a second; each is polled every 5 s from then on."""
QUIET_S = 80.0
"""Longer than the 75 s after which an accepted job counts as forgotten."""


class _LowRequestRate(ClusterConfig):
    """A cluster whose controllers may send 40 requests a second; the polls need twice as many."""

    def settings(self, number: int) -> Settings:
        full = super().settings(number)
        state = msgspec.structs.replace(full.params.state, rps=40.0)
        return msgspec.structs.replace(
            full, params=msgspec.structs.replace(full.params, state=state)
        )


def test_no_accepted_job_is_forgotten_while_polls_exceed_the_request_rate() -> None:
    """Guards against polls of the same jobs that are refused again and again."""

    async def scenario(_: SimulatedCluster) -> None:
        await asyncio.sleep(0.0)

    config = _LowRequestRate(
        arrival_interval_s=0.1,
        job_kinds=((1, 60.0),),
        cancelled_share=0.0,
        checkpoint_share=0.0,
    )
    cluster = run_scenario(
        1, config, POLLS_BEGIN_S, scenario=scenario, quiet_s=QUIET_S, stop_on="forgotten"
    )
    assert sum(job.accepted for job in cluster.jobs.values()) > 300
    assert "forgotten" not in cluster.violated_invariants, cluster.violations[0]
