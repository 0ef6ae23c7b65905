"""The machine types, as this node knows them.

A process that was just started asks the other nodes first: they have what the cloud told them, also
while the cloud is away, and a process that ends again and again would use up the few requests that
the cloud grants to all.
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
_PEER_S: Final = 0.3
_HEAD_START_S: Final = 0.05
"""Nodes answer within milliseconds, those that don't may be silent."""
_RETRY_S: Final = 2.0
_EVERY_S: Final = 300.0


_Asked = asyncio.Task[wire.Catalogue | None]


async def _first_found(asked: list[_Asked]) -> wire.Catalogue | None:
    """The first of them that brings any; the others are given up."""
    try:
        for first in asyncio.as_completed(asked):
            found = await first
            if found is not None:
                return found
        return None
    finally:
        for task in asked:
            task.cancel()


class CatalogueCache:
    """Wanted: the types that the cloud offers. Prices move; the leader asks for those itself."""

    def __init__(self, settings: Settings, cloud: Cloud) -> None:
        self._cloud = cloud
        self._peers = list(peer_clients(settings).values())
        self.known: wire.Catalogue | None = None

    async def run(self) -> None:
        """Keep the catalogue known and fresh; never returns."""
        while True:
            found = await (self._first() if self.known is None else self._ask_cloud())
            self.known = found or self.known
            await asyncio.sleep(_EVERY_S if found is not None else _RETRY_S)

    async def _first(self) -> wire.Catalogue | None:
        """The first answer that there is; the cloud is asked if no node has answered at once.

        Where all nodes were restarted together none knows, and users wait for the types.
        """
        peers = asyncio.create_task(self.ask_peers())
        return await _first_found([peers, asyncio.create_task(self._ask_cloud_after(peers))])

    async def _ask_cloud_after(self, peers: _Asked) -> wire.Catalogue | None:
        await asyncio.wait({peers}, timeout=_HEAD_START_S)
        known = peers.done() and peers.result() is not None
        return None if known else await self._ask_cloud()

    async def _ask_cloud(self) -> wire.Catalogue | None:
        try:
            return await self._cloud.catalogue()
        except CloudError as error:
            log.debug("catalogue: %s", error)
            return None

    async def ask_peers(self) -> wire.Catalogue | None:
        """What another node knows; None if none knows any."""
        return await _first_found([asyncio.create_task(self._ask(peer)) for peer in self._peers])

    @staticmethod
    async def _ask(peer: Client) -> wire.Catalogue | None:
        try:
            answer = await peer.request("GET", CATALOGUE_PATH, timeout_s=_PEER_S)
            return wire.decode(answer.body, wire.Catalogue) if answer.status == 200 else None
        except (NoAnswerError, wire.MalformedMessageError) as error:
            log.debug("catalogue of another node: %s", error)
            return None
