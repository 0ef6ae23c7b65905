"""The users' API."""

from __future__ import annotations

from collections.abc import Callable

from tealrill.api.base import JsonHandler
from tealrill.api.relay import JobRequests
from tealrill.state.admission import Reply


class _AdmissionHandler(JsonHandler):
    def initialize(self, admission: JobRequests) -> None:
        self._admission = admission

    def answer(self, reply: Reply) -> None:
        self.reply(reply.status, reply.body, reply.retry_after_s)


class JobsHandler(_AdmissionHandler):
    async def post(self) -> None:
        self.answer(await self._admission.submit(self.request.body))


class JobHandler(_AdmissionHandler):
    async def get(self, job: str) -> None:
        self.answer(await self._admission.status(job))


class CancelHandler(_AdmissionHandler):
    async def post(self, job: str) -> None:
        self.answer(await self._admission.cancel(job))


class HealthHandler(JsonHandler):
    def initialize(self, healthy: Callable[[], bool]) -> None:
        self._healthy = healthy

    def get(self) -> None:
        if self._healthy():
            self.reply(200, {"status": "up"})
        else:
            self.reply(503, {"status": "down"}, retry_after_s=1)
