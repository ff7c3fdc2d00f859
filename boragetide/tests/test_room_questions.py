"""Questions of a leader for room in other groups."""

from __future__ import annotations

from dataclasses import replace

from boragetide.durable import Fit, Offer, Resources, Step
from boragetide.effects import Effect, Send
from boragetide.messages import FindRoom, RoomFound, SubmitDurableJob, Tick
from boragetide.settings import Settings
from boragetide.tests.durable_fixtures import (
    BEGIN,
    CALLER,
    CAPACITY,
    Leader,
    make_durable_job,
)


def test_room_that_was_asked_for_in_an_earlier_term_refuses_no_job(
    settings: Settings,
) -> None:
    """Guards against a job that is refused as too large though another group fits it.

    The questions of each term have the same numbers.
    """
    leader = Leader(replace(settings, group_count=2), term=2)
    leader.lead()
    leader.join()
    step = Step(1, Resources(CAPACITY.millicores + 1, 64), 0.2)
    job = make_durable_job("j1", step, best_effort=True)
    leader.handle(SubmitDurableJob(job=job, reply_to=CALLER))
    question = find_question(leader.effects + leader.handle(Tick()))
    late = RoomFound(1, question.term - 1, question.number, ())
    leader.handle(late, BEGIN + 0.05)
    assert leader.replies() == []
    offers = tuple(Offer(need, Fit.FREE, slots=2) for need in question.needs)
    answer = RoomFound(1, question.term, question.number, offers)
    effects = leader.handle(answer, BEGIN + 0.06)
    assert leader.replies() == []
    assert [each for each in effects if _is_submission(each)]


def find_question(effects: list[Effect]) -> FindRoom:
    """Return the question for room that was sent to the other members."""
    sent = (each.message for each in effects if isinstance(each, Send))
    return next(message for message in sent if isinstance(message, FindRoom))


def _is_submission(effect: Effect) -> bool:
    return isinstance(effect, Send) and isinstance(effect.message, SubmitDurableJob)
