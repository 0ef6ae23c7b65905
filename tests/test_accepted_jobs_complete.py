"""Accepted jobs complete once the faults are over.

Guards against accepted jobs of which a part waits for ever, or for minutes, though nothing fails
any more and the cloud has machines for it.
"""

from __future__ import annotations

from tealrill.simulation.process import ClusterConfig
from tealrill.simulation.scenario import run_scenario


def test_every_accepted_job_completes_after_the_faults_of_seed_5031() -> None:
    """Guards against a job that is accepted and has not completed 150 s after the last fault."""
    cluster = run_scenario(5031, ClusterConfig(), 150.0)
    assert not cluster.violations, [*cluster.events, *cluster.violations]
