"""The simulated network: links, partitions, and the delivery of requests."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

import orjson

from tealrill import wire
from tealrill.api.relay import PEER_PREFIX
from tealrill.fleet.catalogue import CATALOGUE_PATH
from tealrill.http import Answer, NoAnswerError
from tealrill.leadership.lease_extension import EXTENSION_PATH, PING_PATH, ExtensionRequest
from tealrill.settings import Address
from tealrill.simulation.process import PROCESS, Host, zone_of_controller
from tealrill.simulation.replies import NoReplyError, Reply
from tealrill.simulation.users import call_user_api

if TYPE_CHECKING:
    from tealrill.simulation.cluster import SimulatedCluster

STATE: Final = "state"
_CLOUD: Final = "cloud"
_MIN_COPY_DELAY_S: Final = 0.5
_MAX_COPY_DELAYS_S: Final = (2.0, 10.0, 40.0, 120.0)
"""Upper bounds of a late copy's delay; each copy draws one of them."""


class Network:
    """Carries requests between controllers, services and machines, subject to the active faults."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster

    def endpoint_of(self, address: Address) -> str:
        """Return the name of the service, controller or machine that listens on the address."""
        if address.host == "10.2.0.1":
            return STATE
        if address.host == "10.2.0.2":
            return _CLOUD
        if address.host.startswith("10.0.0."):
            return f"host-{int(address.host.rpartition('.')[2]) - 1}"
        return self.cluster.machine_by_address[f"{address.host}:{address.port}"]

    def _zone_of(self, name: str) -> str | None:
        if name.startswith("m-"):
            return self.cluster.cloud.machines[name].zone
        return (
            zone_of_controller(int(name.removeprefix("host-")))
            if name.startswith("host-")
            else None
        )

    def partitioned(self, first: str, second: str) -> bool:
        """Return True if no messages pass between the two endpoints."""
        if (
            self.cluster.active_faults.isolated_zones
            or self.cluster.active_faults.zones_partitioned
        ):
            zones = self._zone_of(first), self._zone_of(second)
            if zones[0] != zones[1] and (
                not self.cluster.active_faults.isolated_zones.isdisjoint(zones)
                or (self.cluster.active_faults.zones_partitioned and None not in zones)
            ):
                return True
        link = frozenset("workers" if name.startswith("m-") else name for name in (first, second))
        return link in self.cluster.active_faults.cut_links

    async def wait_until_resumed(self, name: str) -> None:
        """Wait until the controller's process is not paused."""
        while name in self.cluster.active_faults.paused:
            await asyncio.sleep(0.05)

    async def delay(self) -> None:
        """Wait for the one-way latency of a link."""
        await asyncio.sleep(
            self.cluster.rng.uniform(0.0003, 0.002)
            + self.cluster.rng.uniform(0.0, self.cluster.active_faults.link_delay_s)
        )

    async def call(
        self,
        address: Address,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
        check: Callable[[], None] | None,
    ) -> Answer:
        """Carry one request of a controller and return the response, as `http.Client.request` does.

        Raises:
            NoAnswerError: A partition, a host without a process, or no response within `timeout_s`.
        """
        source, endpoint = PROCESS.get().name, self.endpoint_of(address)
        if endpoint.startswith("m-"):
            # Checked when sent: what the controller learns afterwards can't affect these commands.
            self.cluster.invariants.check_commands(
                source, orjson.loads(body or b"{}").get("orders", [])
            )
        self.cluster.digest.add(self.cluster.now(), source, endpoint, method, path, body or b"")
        await self.delay()
        host = self.cluster.hosts.get(endpoint)
        if self.partitioned(source, endpoint) or (
            endpoint in self.cluster.active_faults.inbound_partitioned and endpoint.startswith("m-")
        ):
            await asyncio.sleep(timeout_s)
            raise NoAnswerError("TimeoutError", self.cluster.rng.random() < 0.5, timed_out=True)
        if host is not None and host.node is None:
            raise NoAnswerError("refused", False, refused=True)
        if check is not None:
            check()
        reply_future: asyncio.Future[Reply] = self.cluster.loop.create_future()
        coroutine = self._deliver(reply_future, source, endpoint, method, path, body)
        self.cluster.spawn(coroutine, host.context if host is not None else None)
        try:
            async with asyncio.timeout(timeout_s):
                status, value = await asyncio.shield(reply_future)
                await self.delay()
        except TimeoutError:
            raise NoAnswerError("TimeoutError", True, timed_out=True) from None
        if self.partitioned(source, endpoint):
            raise NoAnswerError("StreamClosedError", True)
        answer = Answer()
        answer.status, answer.body, answer.complete = status, orjson.dumps(value), True
        self.cluster.digest.add(self.cluster.now(), endpoint, source, status, answer.body)
        return answer

    async def _deliver(
        self,
        reply_future: asyncio.Future[Reply],
        source: str,
        endpoint: str,
        method: str,
        path: str,
        body: bytes | None,
    ) -> None:
        delayed = endpoint.startswith("m-") and self.cluster.active_faults.command_delay_s > 0
        if delayed and self.cluster.rng.random() < 0.5:
            if self.cluster.active_faults.cancel_in_flight:
                self.cluster.users.cancel_started(body)
            await asyncio.sleep(
                self.cluster.rng.uniform(0.0, self.cluster.active_faults.command_delay_s)
            )
        try:
            reply = await self._carry_out(source, endpoint, method, path, body)
        except NoReplyError:
            self._maybe_copy(source, endpoint, method, path, body)
            return
        self._maybe_copy(source, endpoint, method, path, body)
        if delayed and self.cluster.rng.random() < 0.5:
            await asyncio.sleep(
                self.cluster.rng.uniform(0.0, self.cluster.active_faults.command_delay_s)
            )
        if not reply_future.done():
            reply_future.set_result(reply)

    async def _carry_out(
        self, source: str, endpoint: str, method: str, path: str, body: bytes | None
    ) -> Reply:
        """Pass a request that has arrived to its receiver, and return the reply.

        Raises:
            NoReplyError: The receiver does not answer.
        """
        if endpoint == STATE:
            return await self.cluster.state(source, method, path, body)
        if endpoint == _CLOUD:
            return await self.cluster.cloud(source, method, path, body)
        if endpoint in self.cluster.hosts:
            await self.wait_until_resumed(endpoint)
            return await self._call_peer(self.cluster.hosts[endpoint], method, path, body)
        return await self._call_worker(source, endpoint, method, path, body)

    def _maybe_copy(
        self, source: str, endpoint: str, method: str, path: str, body: bytes | None
    ) -> None:
        """Let a request that was carried out arrive once more, if that fault is active."""
        faults = self.cluster.active_faults
        is_command = endpoint.startswith("m-")
        share = faults.command_copy_share if is_command else faults.request_copy_share
        if method != "GET" and share and self.cluster.rng.random() < share:
            self.cluster.spawn(self._deliver_copy(source, endpoint, method, path, body))

    async def _deliver_copy(
        self, source: str, endpoint: str, method: str, path: str, body: bytes | None
    ) -> None:
        """Deliver a late copy of a request; nobody waits for the reply."""
        longest_s = self.cluster.rng.choice(_MAX_COPY_DELAYS_S)
        await asyncio.sleep(self.cluster.rng.uniform(_MIN_COPY_DELAY_S, longest_s))
        while self.partitioned(source, endpoint):
            await asyncio.sleep(0.5)
        self.cluster.digest.add(
            self.cluster.now(), "copy", source, endpoint, method, path, body or b""
        )
        host = self.cluster.hosts.get(endpoint)
        context = host.context if host is not None else None
        with contextlib.suppress(NoReplyError):
            await self.cluster.spawn(self._carry_out(source, endpoint, method, path, body), context)

    async def _call_worker(
        self, source: str, endpoint: str, method: str, path: str, body: bytes | None
    ) -> Reply:
        """Pass a request to a machine's worker once the machine is not paused.

        Raises:
            NoReplyError: The machine is terminated or has not booted.
        """
        worker = self.cluster.workers.get(endpoint)
        while worker is not None and worker.paused_at is not None:
            await asyncio.sleep(0.05)
        if worker is None or worker.machine.terminated:
            raise NoReplyError
        return await worker(source, method, path, body)

    async def _call_peer(self, host: Host, method: str, path: str, body: bytes | None) -> Reply:
        node = host.node
        if node is None:
            raise NoReplyError
        if path == EXTENSION_PATH:
            found = await node._lease_extension.handle_request(
                wire.decode(body or b"", ExtensionRequest)
            )
            return 200, orjson.loads(wire.encode(found))
        if path == PING_PATH:
            return 200, orjson.loads(wire.encode(node._lease_extension.presence()))
        if path == CATALOGUE_PATH:
            known = node._catalogue_cache.catalogue
            return (503, {}) if known is None else (200, orjson.loads(wire.encode(known)))
        answer = await call_user_api(node.admission, method, path.removeprefix(PEER_PREFIX), body)
        return answer.status, answer.body
