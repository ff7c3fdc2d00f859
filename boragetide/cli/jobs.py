"""Commands for jobs."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any, ClassVar
from urllib.parse import quote

from cleo.helpers import argument, option

from boragetide.cli.base import (
    SHARED_OPTIONS,
    ExitCode,
    OperatorCommand,
    check_answer,
)
from boragetide.errors import CommandLineError
from boragetide.settings_file import parse_duration

_EXIT_CODES_BY_STATUS = {
    "complete": ExitCode.DONE,
    "failed": ExitCode.REFUSED,
    "not_run": ExitCode.REFUSED,
}


class JobSubmitCommand(OperatorCommand):
    """Submits a job and waits for its whole answer."""

    name = "job submit"
    description = "Submit a job and wait for its answer"
    help = (
        "Example: boragetide job submit job.json\n"
        "Example: make-job | boragetide job submit - --server=http://10.0.0.1:8080\n"
        "If the body has no id, one is generated and printed. If the answer is lost, "
        "the job is sent again under the same id and is not started twice."
    )
    arguments: ClassVar = [
        argument("file", "JSON file with the body, or - for standard input")
    ]
    options: ClassVar = [
        *SHARED_OPTIONS,
        option(
            "id", description="Id of the job, replaces the one in the body", flag=False
        ),
        option(
            "timeout",
            description="How long to wait for an answer",
            flag=False,
            default="3m",
        ),
    ]

    def handle(self) -> int:
        """Submit the body, sending it again under the same id if the answer is lost."""
        timeout = self.read_option("timeout", parse_duration)
        body = read_body_file(self.argument("file"))
        if self.option("id"):
            body["id"] = self.option("id")
        if "id" not in body:
            body["id"] = self._request_job_id()
        try:
            response = self.call_daemon("POST", "/v1/jobs", body, timeout)
        except CommandLineError as error:
            text = f"{error}\nsubmit it again with --id={body['id']}"
            raise CommandLineError(
                error.exit_code, text, {**error.body, "id": body["id"]}
            ) from error
        answer = response.body
        code = _EXIT_CODES_BY_STATUS.get(answer.get("status"), ExitCode.UNKNOWN)
        if answer.get("status") == "not_run" and response.other_answer_lost:
            # Another attempt, whose answer was lost, may have started tasks.
            answer, code = {**answer, "status": "unknown"}, ExitCode.UNKNOWN
        self.emit(answer, _format_answer(answer))
        return code

    def _request_job_id(self) -> str:
        job_id = self.read_body("POST", "/v1/job-ids", {"count": 1})["ids"][0]
        print(f"job id {job_id}", file=sys.stderr, flush=True)
        return job_id


def read_body_file(name: str) -> dict[str, Any]:
    """Return the JSON object of a file, or of standard input for ``-``.

    Raises
    ------
    CommandLineError
        If the file cannot be read or does not contain a JSON object.
    """
    try:
        text = sys.stdin.read() if name == "-" else Path(name).read_text()
        body = json.loads(text)
    except OSError as error:
        message = f"file {name!r}: {error.strerror}"
        raise CommandLineError(ExitCode.USAGE, message) from error
    except ValueError as error:
        message = f"file {name!r}: not JSON: {error}"
        raise CommandLineError(ExitCode.USAGE, message) from error
    if not isinstance(body, dict):
        raise CommandLineError(ExitCode.USAGE, f"file {name!r}: not a JSON object")
    return body


def _format_answer(answer: dict[str, Any]) -> str:
    lines = [f"{answer.get('id', '')}: {answer.get('status', 'unknown')}"]
    if answer.get("error"):
        lines.append(answer["error"])
    lines += [json.dumps(result) for result in answer.get("results", ())]
    return "\n".join(lines)


class _OneJobCommand(OperatorCommand):
    arguments: ClassVar = [argument("id", "Id of the job")]

    def fetch(self, path: str) -> dict[str, Any]:
        """Return the state of the job."""
        return self.read_body("GET", path)

    def handle(self) -> int:
        """Print the state of the job, and its answer once it has ended."""
        path = f"/v1/jobs/{quote(self.argument('id'), safe='')}"
        body = self.fetch(path)
        text = f"{body['id']}: {body['state']}"
        if body.get("answer"):
            text += f"\n{_format_answer(body['answer'])}"
        self.emit(body, text)
        return ExitCode.UNKNOWN if body["state"] == "unknown" else ExitCode.DONE


class JobShowCommand(_OneJobCommand):
    """Shows a job."""

    name = "job show"
    description = "Show the state of a job and its answer"
    help = "Example: boragetide job show a:a1:1790000000000:1"


class JobCancelCommand(_OneJobCommand):
    """Cancels a job."""

    name = "job cancel"
    description = "Cancel a job; an ended job keeps its answer"
    help = "Example: boragetide job cancel a:a1:1790000000000:1"

    def fetch(self, path: str) -> dict[str, Any]:
        """Cancel the job; if the answer is lost, the outcome is unknown."""
        response = self.call_daemon("DELETE", path)
        check_answer(response)
        return response.body
