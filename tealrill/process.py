"""The controller's process: logging, garbage collector, event loop and signals."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import os
import signal
from typing import Final

from tealrill.daemon import Controller
from tealrill.features import Features
from tealrill.settings import Settings
from tealrill.types import monotonic_now

_GC_THRESHOLDS: Final = (10_000, 20, 10)
"""Thresholds of `gc.set_threshold`: new objects, then collections of the younger generation."""


def configure_logging() -> None:
    """Log to standard error at the level in the environment variable `LOG_LEVEL`."""
    names = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
    level = names.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    logging.basicConfig(level=level, format="%(levelname).1s %(name)s: %(message)s")
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    logging.getLogger("tornado.access").setLevel(logging.ERROR)


def tune_garbage_collector() -> None:
    """Make cyclic garbage collection less frequent and exclude the objects that exist so far.

    Reference counting frees nearly all objects, while each collection would traverse the many
    long-lived records again. Cyclic garbage takes at most a few MB until it is collected.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Return a uvloop event loop if uvloop is installed, else asyncio's.

    uvloop is not available on every platform, and the controller does not depend on it.
    """
    try:
        import uvloop
    except ImportError:
        return asyncio.new_event_loop()
    return uvloop.new_event_loop()


def serve(settings: Settings, features: Features) -> None:
    """Run a controller until the process is killed."""
    tune_garbage_collector()
    if features.profile.on:
        # The profiler instruments asyncio's event loop, which is written in Python.
        asyncio.run(_run_profiled(settings, features))
    else:
        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(run_until_stopped(Controller(settings, features)))


async def run_until_stopped(controller: Controller) -> None:
    """Run until the controller fails or SIGTERM arrives; on SIGTERM, hand leadership over."""
    stop_requested = asyncio.Event()
    # On platforms without signal handlers in the event loop, SIGTERM kills the process.
    with contextlib.suppress(NotImplementedError, RuntimeError, ValueError, OSError):
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop_requested.set)
    controller_task = asyncio.create_task(controller.run())
    stop_task = asyncio.create_task(stop_requested.wait())
    await asyncio.wait({controller_task, stop_task}, return_when=asyncio.FIRST_COMPLETED)
    stop_task.cancel()
    if not controller_task.done():
        await controller.hand_over("SIGTERM received")
        controller_task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await controller_task


async def _run_profiled(settings: Settings, features: Features) -> None:
    """Run a controller with the profiler enabled."""
    from tealrill.profiling import ProfileLog, Size

    profile_log = ProfileLog(settings.host_name, features.profile.every_s)
    profile_log.install()
    controller = Controller(settings, features)

    def size() -> Size | None:
        leader = controller.leader
        if leader is None or not leader.fleet.loaded:
            return None
        machines = leader.fleet.machines.values()
        jobs = leader.job_store.jobs.values()
        return Size(
            monotonic_now(),
            len(machines),
            sum(m.lease_expired or m.id in leader.prober.diagnosis.suspicions for m in machines),
            sum(job.waiting > 0 for job in jobs),
            sum(job.waiting for job in jobs),
            sum(len(m.bindings) for m in machines),
        )

    await controller.run(lambda: profile_log.run(size))
