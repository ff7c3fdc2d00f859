"""Commands for durable jobs."""

from __future__ import annotations

from typing import Any, ClassVar
from urllib.parse import quote

from cleo.helpers import argument, option

from boragetide.cli.base import (
    SHARED_OPTIONS,
    ExitCode,
    OperatorCommand,
    check_answer,
)
from boragetide.cli.jobs import read_body_file
from boragetide.settings_file import parse_duration


class DurableSubmitCommand(OperatorCommand):
    """Submits a durable job."""

    name = "durable submit"
    description = "Submit a durable job; for a best-effort job, wait until it has ended"
    help = (
        "Example: boragetide durable submit job.json\n"
        "The body contains an id, so submitting it again does not start the job twice."
    )
    arguments: ClassVar = [
        argument("file", "JSON file with the body, or - for standard input")
    ]
    options: ClassVar = [
        *SHARED_OPTIONS,
        option(
            "timeout",
            description="How long to wait for an answer",
            flag=False,
            default="3m",
        ),
    ]

    def handle(self) -> int:
        """Submit the body and print the state of the job."""
        timeout = self.read_option("timeout", parse_duration)
        body = read_body_file(self.argument("file"))
        response = self.call_daemon("POST", "/v1/durable-jobs", body, timeout)
        check_answer(response)
        self.emit(response.body, format_state(response.body))
        return ExitCode.DONE


class _OneDurableJobCommand(OperatorCommand):
    arguments: ClassVar = [argument("id", "Id of the job")]
    options: ClassVar = SHARED_OPTIONS
    method = "GET"

    def handle(self) -> int:
        """Print the state of the job."""
        path = f"/v1/durable-jobs/{quote(self.argument('id'), safe='')}"
        response = self.call_daemon(self.method, path)
        check_answer(response)
        self.emit(response.body, format_state(response.body))
        return ExitCode.DONE


class DurableShowCommand(_OneDurableJobCommand):
    """Shows a durable job."""

    name = "durable show"
    description = "Show the state of a durable job"
    help = "Example: boragetide durable show proof-17"


class DurableCancelCommand(_OneDurableJobCommand):
    """Cancels a durable job."""

    name = "durable cancel"
    description = "Cancel a durable job; an ended job keeps its state"
    help = "Example: boragetide durable cancel proof-17"
    method = "DELETE"


class JobExplainCommand(OperatorCommand):
    """Explains where a durable job would be placed."""

    name = "job explain"
    description = "Show where a durable job would be placed now, without submitting it"
    help = (
        "Example: boragetide job explain job.json\n"
        "The file has the body of a durable submit. The answer holds for the moment."
    )
    arguments: ClassVar = [
        argument("file", "JSON file with the body, or - for standard input")
    ]
    options: ClassVar = SHARED_OPTIONS

    def handle(self) -> int:
        """Print where each step of the job would be placed."""
        body = read_body_file(self.argument("file"))
        response = self.call_daemon("POST", "/v1/durable-jobs/explain", body)
        check_answer(response)
        self.emit(response.body, format_explanation(response.body))
        return ExitCode.DONE


def format_explanation(body: dict[str, Any]) -> str:
    """Return the lines that show where a job would be placed."""
    lines = [
        f"{body['id']}: pool {body['pool']}, {body['slack']:.3f} s of slack, "
        f"{body['jobs_ahead']} jobs ahead"
    ]
    if not body["can_start"]:
        lines.append("the leader starts no tasks at this moment")
    for position, step in enumerate(body["steps"]):
        placed = sum(step["tasks_by_server"].values())
        line = f"step {position}: {placed} of {step['count']} tasks would start now"
        if step["waits_for"]:
            earlier = ", ".join(map(str, step["waits_for"]))
            line = f"step {position}: waits for the steps {earlier}"
        lines.append(line)
        lines += [f"  {id_}: {n}" for id_, n in step["tasks_by_server"].items()]
        if step["servers_by_reason"]:
            reasons = step["servers_by_reason"].items()
            listed = ", ".join(f"{n} {reason}" for reason, n in reasons)
            lines.append(f"  servers without room for the others: {listed}")
    return "\n".join(lines)


def format_state(body: dict[str, Any]) -> str:
    """Return the line that shows the state of a job."""
    return f"{body['id']}: {body['state']}"
