"""Rules of acceptors and owners that randomized tests seldom reach."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from boragetide.controllers import claims, jobs
from boragetide.effects import Reply, SaveSnapshot, Send
from boragetide.messages import (
    AcceptorRegistered,
    CancelQueued,
    ClaimAndSubmit,
    ClaimReply,
    ClaimRequest,
    ClaimsRecovered,
    ClaimStatus,
    FetchClaims,
    SaveClaims,
    SubmitJob,
    Tick,
)
from boragetide.policy.claiming import AskAcceptor, Decided, decide_claim
from boragetide.policy.ids import generate_job_id
from boragetide.settings import Settings
from boragetide.types import Claim, ReplyTo, Status, Submission, Task

GROUP = ("a1", "a2", "a3")
START = 1_000.0
WINDOW = 600.0
REPLY_TO = ReplyTo("a2", 1)
CLAIM = Claim("a:x", "a1", 1_000_000, START)
SUBMISSION = Submission("a:x", "default", (Task(0),))


@pytest.fixture
def acceptor(settings: Settings) -> claims.ClaimsState:
    """Acceptor ``a1`` that has just registered for the first time."""
    state = claims.ClaimsState(settings, int(START * 1000))
    claims.handle(AcceptorRegistered(first=True), state, START)
    return state


@pytest.fixture
def restarted(settings: Settings) -> claims.ClaimsState:
    """Acceptor ``a1`` that has just restarted without its claims."""
    return claims.ClaimsState(settings, int(START * 1000))


def request(state: claims.ClaimsState, claim: Claim, now: float, **options: Any) -> str:
    """Request a claim and return the status of the acceptor's reply."""
    asked = ClaimRequest(claim=claim, asked_at=options.get("asked_at", now))
    (effect,) = claims.handle(asked, state, now)
    return effect.message.status


def test_grant_from_before_a_restart_is_not_counted() -> None:
    """Guards against a quorum with a grant that its acceptor lost in a restart."""
    replies = {"a1": ClaimReply(ClaimStatus.GRANTED, CLAIM, 1)}
    replies["a2"] = ClaimReply(ClaimStatus.GRANTED, CLAIM, 1, {"a1": 2})
    assert decide_claim(CLAIM, GROUP, replies) == AskAcceptor("a3", CLAIM)
    replies["a2"] = ClaimReply(ClaimStatus.GRANTED, CLAIM, 1, {"a1": 1})
    assert decide_claim(CLAIM, GROUP, replies) == Decided(CLAIM, 2)


def test_planned_stop_grants_nothing_after_the_claims_are_written(
    acceptor: claims.ClaimsState, restarted: claims.ClaimsState
) -> None:
    """Guards against grants that are not on disk at the next start."""
    assert request(acceptor, CLAIM, START) == "granted"
    claims.handle(FetchClaims("a", "a2", 7), acceptor, START)
    saved, _ = claims.handle(SaveClaims(reply_to=REPLY_TO), acceptor, START)
    assert request(acceptor, Claim("a:y", "a1", 1, START), START) == "incomplete"
    recovered = ClaimsRecovered(saved.record, ())
    *_, cleared = claims.handle(recovered, restarted, START)
    assert isinstance(cleared, SaveSnapshot) and not cleared.record.clean
    assert not cleared.record.claims and not cleared.record.complete_zones
    assert request(restarted, CLAIM, START) == "held"
    assert request(restarted, Claim("a:y", "a1", 1, START), START) == "granted"
    assert restarted.restarts_by_id == {"a2": 7}


def test_claim_outlives_every_request_of_the_window(
    acceptor: claims.ClaimsState,
) -> None:
    """Guards against two grants for one id because of clock skew or late requests."""
    late = Claim("a:x", "a2", 1, START + WINDOW)
    assert request(acceptor, CLAIM, START) == "granted"
    assert request(acceptor, late, START + WINDOW + 19) == "held"
    asked_at = START + WINDOW
    assert request(acceptor, late, START + WINDOW + 21, asked_at=asked_at) != "granted"
    assert request(acceptor, late, START + WINDOW + 21) == "granted"


def test_restarted_acceptor_grants_when_all_old_claims_have_expired(
    restarted: claims.ClaimsState,
) -> None:
    """Guards against an acceptor that becomes complete too early, or never."""
    for age, status in ((WINDOW + 24, "incomplete"), (WINDOW + 26, "granted")):
        now = START + age
        claims.handle(Tick(), restarted, now)
        assert request(restarted, Claim("a:x", "a1", 1, now), now) == status


def test_restarted_acceptor_grants_ids_generated_after_its_start(
    restarted: claims.ClaimsState,
) -> None:
    """Guards against a zone that decides no claims until its acceptors are complete."""
    now = START + 20
    for generated_at, status in ((START + 4, "incomplete"), (START + 6, "granted")):
        job_id = generate_job_id(restarted.settings, generated_at, 1)
        assert request(restarted, Claim(job_id, "a1", 1, now), now) == status


@pytest.mark.parametrize("age", [WINDOW, -6.0])
def test_minted_ids_from_another_time_are_not_granted(
    acceptor: claims.ClaimsState, age: float
) -> None:
    """Guards against a second run of an old id, and against ids of a future time."""
    now = START + WINDOW
    job_id = generate_job_id(acceptor.settings, now - age, 1)
    assert request(acceptor, Claim(job_id, "a1", 1, now), now) == "incomplete"


def test_owner_starts_a_job_only_with_a_quorum(acceptor: claims.ClaimsState) -> None:
    """Guards against jobs that run with only one grant of three."""
    other = ClaimReply(ClaimStatus.HELD, Claim("a:x", "a3", 1, START), 1)
    for reply, kind in ((other, Reply), (ClaimReply(ClaimStatus.HELD, CLAIM, 1), Send)):
        message = ClaimAndSubmit(
            submission=SUBMISSION,
            claim=CLAIM,
            asked_at=START,
            replies_by_acceptor={"a2": reply},
            reply_to=REPLY_TO,
        )
        (effect,) = claims.handle(message, acceptor, START)
        assert isinstance(effect, kind)


def test_owner_takes_no_claim_and_runs_no_job_beyond_the_window(
    settings: Settings,
) -> None:
    """Guards against task starts that overlap with those of the id's next owner."""
    submit = SubmitJob(submission=SUBMISSION, claim=CLAIM, reply_to=REPLY_TO)
    state = jobs.JobsState(settings, CLAIM.owner_incarnation)
    (refused,) = jobs.handle(submit, state, START + WINDOW)
    assert refused.message.answer.status is Status.UNKNOWN
    jobs.handle(submit, state, START)
    effects = jobs.handle(Tick(), state, START + WINDOW)
    assert isinstance(effects[0].message, CancelQueued)
    assert effects[-1].message.answer.status is Status.UNKNOWN
    jobs.handle(Tick(), state, START + 2 * WINDOW - 1)
    assert state.jobs_by_id
    jobs.handle(Tick(), state, START + 2 * WINDOW)
    assert not state.jobs_by_id and not state.records


def test_page_for_an_earlier_process_does_not_complete_an_acceptor(
    settings: Settings,
) -> None:
    """Guards against a second owner of a job: the page lacks what was granted since."""
    sender = claims.ClaimsState(settings, int(START * 1000))
    for table in sender.tables_by_zone.values():
        table.complete = True
    earlier = FetchClaims("a", "a1", int(START * 1000) - 5_000)
    (sent,) = claims.handle(earlier, sender, START)
    restarted = claims.ClaimsState(settings, int(START * 1000))
    claims.handle(Tick(), restarted, START)
    for member in ("a2", "a3"):
        page = replace(sent.message, sender=member)
        claims.handle(page, restarted, START)
    assert not restarted.tables_by_zone["a"].complete
    for member in ("a2", "a3"):
        page = replace(sent.message, sender=member, for_incarnation=int(START * 1000))
        claims.handle(page, restarted, START)
    assert restarted.tables_by_zone["a"].complete
