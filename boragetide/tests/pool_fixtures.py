"""Builders for tests and benchmarks of the pool controller."""

from __future__ import annotations

import random
from typing import Any

from boragetide.controllers.backend_servers import BackendServersState, handle
from boragetide.messages import PlacerChanged
from boragetide.settings import EMBEDDED_DEFAULT, Settings, parse_settings
from boragetide.types import BackendServer, Seconds

NOW: Seconds = 1000.0


def make_placer(
    settings: Settings | None = None, jitter: random.Random | None = None
) -> BackendServersState:
    """Build the state of an instance that places the tasks of its availability zone.

    Parameters
    ----------
    settings
        Settings of the instance; those of the embedded default if omitted.
    jitter
        Source of randomness; a generator with a fixed seed if omitted.
    """
    settings = settings or parse_settings(EMBEDDED_DEFAULT)
    state = BackendServersState(settings, 1, jitter=jitter or random.Random(1))
    handle(PlacerChanged(settings.id), state, NOW)
    return state


def describe_server(server_id: str, **fields: Any) -> BackendServer:
    """Build a backend server, by default one with four slots in zone ``a``."""
    described = {
        "address": f"http://{server_id}",
        "zone": "a",
        "rack": "",
        "slots": 4,
        "connections": 64,
        "cores": 8.0,
        "memory": 1 << 30,
    }
    return BackendServer(server_id, **{**described, **fields})
