"""Entry point of the command-line client ``boragetide``."""

from __future__ import annotations

import json
import sys

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput

from boragetide import __version__
from boragetide.cli import changes, durable, jobs, views
from boragetide.cli.base import ExitCode
from boragetide.errors import CommandLineError

COMMANDS = (
    changes.ClassSetCommand,
    views.ClassShowCommand,
    views.ClassListCommand,
    changes.DrainCommand,
    changes.ReturnCommand,
    views.BackendServerListCommand,
    changes.ZoneEvacuateCommand,
    changes.ZoneReturnCommand,
    views.ZoneListCommand,
    jobs.JobSubmitCommand,
    jobs.JobShowCommand,
    jobs.JobCancelCommand,
    durable.JobExplainCommand,
    durable.DurableSubmitCommand,
    durable.DurableShowCommand,
    durable.DurableCancelCommand,
    views.StatusCommand,
    views.ConfigShowCommand,
    views.ConfigHistoryCommand,
)


def main() -> None:
    """Run one command and exit with its code."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: list[str]) -> int:
    """Run one command and return its exit code.

    The exit code is 0 for success; 1 if the request is refused, conflicts with another
    change or is answered as failed; 2 for wrong usage; 3 if the outcome is unknown; 4
    if no daemon is reachable.
    """
    application = Application("boragetide", __version__)
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in COMMANDS:
        application.add(command())
    try:
        return application.run(ArgvInput(["boragetide", *arguments]))
    except CommandLineError as error:
        _print_error(str(error), error, "--json" in arguments)
        return error.exit_code
    except CleoError as error:
        print(error, file=sys.stderr)
        return ExitCode.USAGE


def _print_error(message: str, error: CommandLineError, as_json: bool) -> None:
    if as_json:
        print(json.dumps({"error": message, **error.body}))
    print(message, file=sys.stderr)


if __name__ == "__main__":
    main()
