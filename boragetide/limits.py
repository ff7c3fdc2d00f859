"""Bounds of the values that enter through any interface.

A value outside these bounds is refused where it enters. All integers within them fit in
64 bits, so that they can be sent between instances and stored.
"""

from __future__ import annotations

from boragetide.types import Seconds

# Largest integer that every JSON implementation reads exactly.
MAX_EXACT_INTEGER = 2**53

MAX_CORES = 4096
MAX_MILLICORES = MAX_CORES * 1000
MAX_MEMORY = 1 << 50  # bytes
MAX_MEMORY_MIB = MAX_MEMORY >> 20
MAX_ACCELERATORS = 1024

MAX_TIMESTAMP_MS = 253_402_300_799_999  # Unix milliseconds; end of the year 9999
# Also admits a monotonic clock that shows the Unix time.
MAX_CLOCK: Seconds = MAX_TIMESTAMP_MS / 1000
MAX_SEQUENCE = MAX_EXACT_INTEGER
MAX_RUN_NUMBER = MAX_EXACT_INTEGER
MAX_END_NUMBER = MAX_EXACT_INTEGER

MAX_NAME_LENGTH = 200  # characters of an id, a pool, an availability zone or a label
MAX_LABELS = 64
MAX_SPEC_LENGTH = 4000  # characters
MAX_STEPS = 1000
MAX_TASKS = 10_000  # per job; limits the time that parsing one request body takes

MAX_TEXT_LENGTH = 2000  # characters of a host or a path
MAX_DURATION: Seconds = 30 * 86_400.0
MAX_VERSION = MAX_EXACT_INTEGER
MAX_PRIORITY = 1_000_000
MAX_ATTEMPTS = 1_000_000
MAX_STRETCH = 1_000_000.0

MAX_PORT = 65_535
# Unanchored, because regular expression engines anchor in different ways.
ID_PATTERN = rf"[!-~]{{1,{MAX_NAME_LENGTH}}}"
HOST_PATTERN = r"[A-Za-z0-9.-]{1,253}"
PORT_PATTERN = (
    r"(?:[1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}"
    r"|655[0-2][0-9]|6553[0-5])"
)
