"""Limits the submissions to a leader whose processor is too small for the load."""

from __future__ import annotations

from boragetide.controllers.dispatch_state import DispatcherState
from boragetide.effects import Effect, LogEvent, Send, SetGauge
from boragetide.messages import AdmissionChanged, SubmitDurableJob
from boragetide.policy.overload import WINDOW, record_wait, update_share
from boragetide.types import Address, Seconds


def measure_submission(
    message: SubmitDurableJob, state: DispatcherState, now: Seconds
) -> list[Effect]:
    """Measure how long a submission waited before it is handled."""
    waited = message.mailbox_wait(now) + max(message.transit(now) or 0.0, 0.0)
    if not record_wait(state.admission, waited, now):
        return []
    return _announce_share(state)


def check_admission(state: DispatcherState, now: Seconds) -> list[Effect]:
    """Raise the admitted share again if nothing waits."""
    return _announce_share(state) if update_share(state.admission, now) else []


def _announce_share(state: DispatcherState) -> list[Effect]:
    admission = state.admission
    fields = {
        "share": admission.share,
        "standing_delay": admission.standing_delay,
        "window": WINDOW,
        "term": state.term,
    }
    to = Address(state.settings.id, "configuration")
    return [
        LogEvent("admission_changed", fields),
        SetGauge("admitted_share", admission.share),
        Send(to, AdmissionChanged(admission.share)),
    ]
