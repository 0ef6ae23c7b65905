"""The API for users."""

from __future__ import annotations

from collections.abc import Callable

from tealrill.api.base import JsonHandler
from tealrill.api.relay import JobRequests
from tealrill.state.admission import Reply


class _AdmissionHandler(JsonHandler):
    def initialize(self, admission: JobRequests) -> None:
        """Set the component that processes the requests."""
        self._admission = admission

    def answer(self, reply: Reply) -> None:
        """Finish the response with a reply."""
        self.reply(reply.status, reply.body, reply.retry_after_s)


class JobsHandler(_AdmissionHandler):
    """POST: submit a job."""

    async def post(self) -> None:
        """Submit the job in the request body."""
        self.answer(await self._admission.submit(self.request.body))


class JobHandler(_AdmissionHandler):
    """GET: the status of a job."""

    async def get(self, job: str) -> None:
        """Answer with the status of `job`."""
        self.answer(await self._admission.status(job))


class CancelHandler(_AdmissionHandler):
    """POST: cancel a job."""

    async def post(self, job: str) -> None:
        """Cancel `job`."""
        self.answer(await self._admission.cancel(job))


class HealthHandler(JsonHandler):
    """GET: health check of this controller."""

    def initialize(self, healthy: Callable[[], bool]) -> None:
        """Set the function that returns True if the controller is healthy."""
        self._healthy = healthy

    def get(self) -> None:
        """Answer 200 when healthy, otherwise 503."""
        if self._healthy():
            self.reply(200, {"status": "up"})
        else:
            self.reply(503, {"status": "down"}, retry_after_s=1)
