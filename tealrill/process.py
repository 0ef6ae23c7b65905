"""The daemon's process: logging, garbage collector, event loop and signals."""

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

_COLLECT: Final = (10_000, 20, 10)
"""New objects, and younger collections, before each generation is looked through."""


def configure_logging() -> None:
    """Log to standard error at the level that `LOG_LEVEL` names."""
    names = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
    level = names.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    logging.basicConfig(level=level, format="%(levelname).1s %(name)s: %(message)s")
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    logging.getLogger("tornado.access").setLevel(logging.ERROR)


def tune_garbage_collector() -> None:
    """Look for garbage cycles more rarely, and not among what was there at the start.

    Nearly everything here is freed by its last reference; the records that live long were gone
    through again and again. What is found later takes at most a few MB meanwhile.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_COLLECT)


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Return libuv's event loop where there is one.

    It is not built for every platform, and nothing needs it.
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
        # The profiler charges the turns of the loop that is written in Python.
        asyncio.run(_profiled(settings, features))
    else:
        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(run_until_stopped(Controller(settings, features)))


async def run_until_stopped(controller: Controller) -> None:
    """Run until the controller fails or SIGTERM comes; then hand its duties over."""
    stop_requested = asyncio.Event()
    # Where signals can't be taken, the process is killed as before.
    with contextlib.suppress(NotImplementedError, RuntimeError, ValueError, OSError):
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop_requested.set)
    running = asyncio.create_task(controller.run())
    waiting = asyncio.create_task(stop_requested.wait())
    await asyncio.wait({running, waiting}, return_when=asyncio.FIRST_COMPLETED)
    waiting.cancel()
    if not running.done():
        await controller.hand_over("this node is told to stop")
        running.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await running


async def _profiled(settings: Settings, features: Features) -> None:
    """Run a controller with the profiler's log beside it."""
    from tealrill.profiling import ProfileLog, Size

    watch = ProfileLog(settings.host_name, features.profile.every_s)
    watch.install()
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

    await controller.run(lambda: watch.run(size))
