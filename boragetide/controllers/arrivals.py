"""Where a submission spent its time before the leader handled it, for on-call."""

from __future__ import annotations

from typing import Any

from boragetide.effects import Effect, Observe
from boragetide.messages import SubmitDurableJob
from boragetide.types import Seconds

DELAY_METRIC = "submission_delay_seconds"


def describe_arrival(message: SubmitDurableJob, now: Seconds) -> dict[str, Any]:
    """Return the fields of a log line that tell how a submission arrived.

    ``sender`` is the instance that sent it, ``attempt`` the number of the copy,
    ``sent_age`` the age with which it was sent, ``transit`` the time in the sender's
    link and in the connection (absent if the sender did not know the clock of this
    instance), and ``mailbox`` the time in the mailbox, in seconds.
    """
    sender = None if message.reply_to is None else message.reply_to.instance
    fields: dict[str, Any] = {"sender": sender, "attempt": message.attempt}
    fields["sent_age"] = message.age
    transit = message.transit(now)
    if transit is not None:
        fields["transit"] = transit
    return {**fields, "mailbox": message.mailbox_wait(now)}


def observe_arrival(message: SubmitDurableJob, now: Seconds) -> list[Effect]:
    """Record the delays of a submission before it was handled, by stage."""
    mailbox = message.mailbox_wait(now)
    effects: list[Effect] = [Observe(DELAY_METRIC, mailbox, {"stage": "mailbox"})]
    transit = message.transit(now)
    if transit is not None:
        effects.append(Observe(DELAY_METRIC, transit, {"stage": "transit"}))
    return effects
