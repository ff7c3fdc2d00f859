"""Entry point of the daemon ``boragetided``."""

from __future__ import annotations

import argparse
import asyncio
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from boragetide import log_records
from boragetide.api.application import make_server
from boragetide.controllers import (
    backend_servers,
    claims,
    configuration,
    directory,
    dispatcher,
    instances,
    jobs,
)
from boragetide.controllers.dispatch_state import DispatcherState
from boragetide.daemon.effect_execution import EffectContext
from boragetide.daemon.logs import configure_logs, log_event
from boragetide.daemon.process import (
    EXIT_FAILURE,
    Composition,
    RecoveredByController,
    StateMachines,
    run_process,
)
from boragetide.errors import SettingsError, StorageError
from boragetide.links.backend_client import make_client
from boragetide.links.durable_client import make_run_client
from boragetide.messages import Flush, SaveClaims, SavedClaims
from boragetide.settings import Settings, load_settings
from boragetide.types import Claim

EXIT_SETTINGS = 2

RECORD_TYPES_BY_CONTROLLER = {
    "configuration": log_records.RECORD_TYPES,
    "claims": (SavedClaims, Claim),
}


def main() -> None:
    """Run the daemon, or check its settings."""
    parser = argparse.ArgumentParser(prog="boragetided", description=__doc__)
    parser.add_argument("--config", type=Path, help="INI file with the settings")
    parser.add_argument(
        "--check", action="store_true", help="validate the settings and exit"
    )
    parser.add_argument(
        "--data-folder", type=Path, help="overrides the data folder in the settings"
    )
    arguments = parser.parse_args()
    try:
        settings = load_settings(arguments.config, arguments.data_folder)
    except SettingsError as error:
        for fault in error.faults:
            print(fault, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if not arguments.check:
        configure_logs(settings.id)
        try:
            sys.exit(asyncio.run(run_daemon(settings)))
        except StorageError as error:
            log_event("failed", error=str(error))
            sys.exit(EXIT_FAILURE)


async def run_daemon(
    settings: Settings, make: Callable[..., StateMachines] | None = None
) -> int:
    """Run the daemon until it is asked to stop, and return the exit code.

    Parameters
    ----------
    make
        Makes the state machines; defaults to `make_state_machines`. Benchmarks pass
        another function to measure other policies.

    Raises
    ------
    StorageError
        If the data folder cannot be read or its content cannot be recovered.
    """
    composition = Composition(
        make_state_machines=make or make_state_machines,
        servers_by_address={settings.own_peer.http_address: make_server},
        record_types_by_controller=RECORD_TYPES_BY_CONTROLLER,
        make_effect_context=lambda runtime, journals: EffectContext(
            runtime, make_client(), journals, make_run_client()
        ),
        make_first_messages=_make_first_messages,
        last_requests=(("claims", SaveClaims()), ("instances", Flush())),
    )
    return await run_process(settings, composition)


def _make_first_messages(recovered: RecoveredByController) -> dict[str, Any]:
    return {"claims": claims.read_journal(_get_records(recovered, "claims"))}


def make_state_machines(
    settings: Settings, incarnation: int, recovered: RecoveredByController
) -> StateMachines:
    """Return the state machine of each controller with its initial state.

    Parameters
    ----------
    settings, incarnation
        Settings and incarnation of this process.
    recovered
        Records recovered from the journals, by controller.
    """
    records = _get_records(recovered, "configuration")
    state_machines = {
        "instances": (
            instances.handle,
            instances.InstancesState(settings, incarnation),
        ),
        "configuration": (
            configuration.handle,
            configuration.make_state(settings, incarnation, records),
        ),
        "claims": (claims.handle, claims.ClaimsState(settings, incarnation)),
        "backend_servers": (
            backend_servers.handle,
            backend_servers.BackendServersState(settings, incarnation),
        ),
        "jobs": (jobs.handle, jobs.JobsState(settings, incarnation)),
        "directory": (directory.handle, directory.make_state(settings)),
    }
    if settings.dispatches:
        state = DispatcherState(settings, incarnation)
        state_machines["dispatcher"] = (dispatcher.handle, state)
    return state_machines


def _get_records(recovered: RecoveredByController, controller: str) -> tuple[Any, ...]:
    return recovered[controller].records if controller in recovered else ()


if __name__ == "__main__":
    main()
