"""HTTP handlers for single jobs and for job ids."""

from __future__ import annotations

import itertools
import secrets
from typing import Any

from boragetide.api.base import Handler
from boragetide.api.models import JobIdsBody, find_id_error, parse_body
from boragetide.api.submissions import describe_answer
from boragetide.daemon.clock import read_clock
from boragetide.filters.lookup import ask_owner
from boragetide.messages import CancelJob, JobState, LookUpJob
from boragetide.policy.ids import generate_job_id

# Starts at a random number so that a process that restarts within the same millisecond
# does not generate the same ids again.
_COUNTER = itertools.count(secrets.randbelow(1 << 32))


class JobHandler(Handler):
    """Shows or cancels a job, whichever instance owns it."""

    async def get(self, job_id: str) -> None:
        """Return the state of a job, or 404 if no instance has claimed its id."""
        await self._ask_owner(LookUpJob(id=job_id))

    async def delete(self, job_id: str) -> None:
        """Cancel a job and return its state."""
        await self._ask_owner(CancelJob(id=job_id))

    async def _ask_owner(self, message: LookUpJob | CancelJob) -> None:
        id_error = find_id_error(message.id, job=True)
        if id_error is not None:
            self.refuse(400, id_error)
            return
        state = await ask_owner(self.runtime, message.id, message)
        if state is None:
            window = self.runtime.settings.timing.resubmission_window
            error = f"no job has had this id within the last {window:g} s"
            self.respond(404, {"id": message.id, "error": error})
        else:
            self.respond(200, describe_job(state))


def describe_job(state: JobState) -> dict[str, Any]:
    """Return the JSON body for the state of a job.

    An ended job includes its answer for as long as the answer is retained.
    """
    body: dict[str, Any] = {"id": state.id, "state": state.state}
    if state.answer is not None:
        body["answer"] = describe_answer(state.answer)
    return body


class JobIdsHandler(Handler):
    """Generates job ids whose home zone is the zone of this instance."""

    def post(self) -> None:
        """Return the requested number of new job ids."""
        parsed = parse_body(JobIdsBody, self.request.body or b"{}")
        if parsed.is_error():
            self.refuse(parsed.error.http_status, parsed.error.message)
            return
        settings, now = self.runtime.settings, read_clock()
        job_ids = [
            generate_job_id(settings, now, next(_COUNTER))
            for _ in range(parsed.ok.count)
        ]
        self.respond(200, {"ids": job_ids})
