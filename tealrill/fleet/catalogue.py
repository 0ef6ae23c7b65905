"""This node's cache of the cloud's machine types.

After a start the catalogue is requested from the other nodes first. They have it even while the
cloud is unavailable, and a process that restarts repeatedly would otherwise use up the cloud's rate
limit, which all nodes share.
"""

from __future__ import annotations

import asyncio
import logging
from typing import Final

from tealrill import wire
from tealrill.fleet.cloud import Cloud, CloudError
from tealrill.http import Client, NoAnswerError, peer_clients
from tealrill.settings import Settings

log = logging.getLogger(__name__)

CATALOGUE_PATH: Final = "/peer/catalogue"
_PEER_TIMEOUT_S: Final = 0.3
_PEERS_HEAD_START_S: Final = 0.05
"""Seconds that the other nodes have to answer before the cloud is asked as well; a node that is
reachable answers within milliseconds."""
_RETRY_INTERVAL_S: Final = 2.0
_REFRESH_INTERVAL_S: Final = 300.0


_FetchTask = asyncio.Task[wire.Catalogue | None]


async def _first_available(tasks: list[_FetchTask]) -> wire.Catalogue | None:
    """Return the first catalogue that a task brings, or None, and cancel the other tasks."""
    try:
        for completed in asyncio.as_completed(tasks):
            catalogue = await completed
            if catalogue is not None:
                return catalogue
        return None
    finally:
        for task in tasks:
            task.cancel()


class CatalogueCache:
    """Cache of the cloud's machine types.

    Prices change; the leader fetches the current ones itself.
    """

    def __init__(self, settings: Settings, cloud: Cloud) -> None:
        self._cloud = cloud
        self._peers = list(peer_clients(settings).values())
        self.catalogue: wire.Catalogue | None = None

    async def run(self) -> None:
        """Fetch the catalogue and refresh it periodically; never returns."""
        while True:
            catalogue = await (
                self._first() if self.catalogue is None else self._fetch_from_cloud()
            )
            self.catalogue = catalogue or self.catalogue
            await asyncio.sleep(_REFRESH_INTERVAL_S if catalogue is not None else _RETRY_INTERVAL_S)

    async def _first(self) -> wire.Catalogue | None:
        """Return the first catalogue from another node or the cloud; None if neither has one.

        The cloud is asked if no node has answered within `_PEERS_HEAD_START_S`: after a restart of
        all nodes none has the catalogue, and submissions wait for it.
        """
        peers = asyncio.create_task(self.fetch_from_peers())
        return await _first_available(
            [peers, asyncio.create_task(self._fetch_from_cloud_after(peers))]
        )

    async def _fetch_from_cloud_after(self, peers: _FetchTask) -> wire.Catalogue | None:
        await asyncio.wait({peers}, timeout=_PEERS_HEAD_START_S)
        peer_has_catalogue = peers.done() and peers.result() is not None
        return None if peer_has_catalogue else await self._fetch_from_cloud()

    async def _fetch_from_cloud(self) -> wire.Catalogue | None:
        try:
            return await self._cloud.catalogue()
        except CloudError as error:
            log.debug("catalogue not received from the cloud: error=%s", error)
            return None

    async def fetch_from_peers(self) -> wire.Catalogue | None:
        """Return another node's catalogue, or None if no node has one."""
        return await _first_available(
            [asyncio.create_task(self._fetch_from_peer(peer)) for peer in self._peers]
        )

    @staticmethod
    async def _fetch_from_peer(peer: Client) -> wire.Catalogue | None:
        try:
            answer = await peer.request("GET", CATALOGUE_PATH, timeout_s=_PEER_TIMEOUT_S)
            return wire.decode(answer.body, wire.Catalogue) if answer.status == 200 else None
        except (NoAnswerError, wire.MalformedMessageError) as error:
            log.debug("catalogue not received from a node: error=%s", error)
            return None
