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
from tealrill.http import Client, NoAnswer
from tealrill.settings import Settings, parse_address

log = logging.getLogger(__name__)

CATALOGUE_PATH: Final = "/peer/catalogue"
_PEER_S: Final = 0.3
_RETRY_S: Final = 2.0
_EVERY_S: Final = 300.0


class Catalogues:
    """Wanted: the types that the cloud offers. Prices move; the leader asks for those itself."""

    def __init__(self, settings: Settings, cloud: Cloud) -> None:
        self._cloud = cloud
        self._peers = [Client(parse_address(m.peer_addr), most=1) for m in settings.members]
        self.known: wire.Catalogue | None = None

    async def run(self) -> None:
        while True:
            if self.known is None:
                self.known = await self.ask_peers()
                if self.known is not None:
                    await asyncio.sleep(_EVERY_S)
            try:
                self.known = await self._cloud.catalogue()
                await asyncio.sleep(_EVERY_S)
            except CloudError as error:
                log.debug("catalogue: %s", error)
                await asyncio.sleep(_RETRY_S)

    async def ask_peers(self) -> wire.Catalogue | None:
        """What another node knows; None if none knows any."""
        asked = [asyncio.create_task(self._ask(peer)) for peer in self._peers]
        try:
            for first in asyncio.as_completed(asked):
                found = await first
                if found is not None:
                    return found
            return None
        finally:
            for task in asked:
                task.cancel()

    @staticmethod
    async def _ask(peer: Client) -> wire.Catalogue | None:
        try:
            answer = await peer.request("GET", CATALOGUE_PATH, timeout_s=_PEER_S)
            return wire.decode(answer.body, wire.Catalogue) if answer.status == 200 else None
        except (NoAnswer, wire.Malformed) as error:
            log.debug("catalogue of another node: %s", error)
            return None
