"""What an instance without a log knows about the leader and the configuration."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from boragetide.controllers import directory
from boragetide.controllers.directory import (
    ASK_INTERVAL,
    COMPLETE_ASK_PERIOD,
    CONFIRMATION_VALIDITY,
    FOLLOW_IDLE_TIMEOUT,
    LEADER_SILENCE,
    DirectoryState,
)
from boragetide.effects import Effect, Reconnect, Reply, Send
from boragetide.messages import (
    Admission,
    AdmitSubmission,
    ContactsChanged,
    FindLeader,
    FollowLeader,
    LeaderNotice,
    QuestionUnsent,
    RefuseSubmissions,
    SubmissionsRefused,
    Tick,
)
from boragetide.policy.refusal_batches import CONFIRMATION_TIMEOUT
from boragetide.settings import Peer, Settings
from boragetide.tests.durable_fixtures import BEGIN
from boragetide.types import Address, Configuration, ReplyTo

SUBMISSIONS = 40
PERIOD = ASK_INTERVAL + 0.01  # seconds between two questions to the contacts


@pytest.fixture
def state(settings: Settings) -> DirectoryState:
    """A directory whose contacts are the three members."""
    return directory.make_state(replace(settings, follows_leader=True))


def notify(
    state: DirectoryState,
    sender: str,
    term: int,
    leader: str | None,
    configuration: Configuration | None = None,
    now: float = BEGIN,
    **fields: Any,
) -> list[Effect]:
    """Deliver a member's answer to a question that was sent just now."""
    members = ("a1", "a2", "a3")
    fields.setdefault("has_authority", sender == leader)
    fields.setdefault("asked_at", now)
    notice = LeaderNotice(sender, term, leader, members, configuration, **fields)
    return directory.handle(notice, state, now)


def find_clock_offset(state: DirectoryState) -> float | None:
    (reply,) = directory.handle(FindLeader(reply_to=ReplyTo("e", 1)), state, BEGIN)
    return reply.message.clock_offset


def find_leader(state: DirectoryState, now: float = BEGIN) -> tuple[str | None, bool]:
    (reply,) = directory.handle(FindLeader(reply_to=ReplyTo("e", 1)), state, now)
    return reply.message.leader, reply.message.ready


def test_newest_term_names_the_leader(state: DirectoryState) -> None:
    """Guards against an instance that follows a deposed leader."""
    notify(state, "a2", 2, "a2")
    notify(state, "a1", 1, "a1")
    assert find_leader(state)[0] == "a2"


def test_configuration_never_goes_back(state: DirectoryState) -> None:
    """Guards against applying an older configuration from a late notice."""
    notify(state, "a1", 1, "a1", Configuration(version=5))
    notify(state, "a1", 1, "a1", Configuration(version=4))
    assert state.configuration.version == 5


def test_ready_only_while_the_leader_itself_is_heard(state: DirectoryState) -> None:
    """Guards against reporting an instance as ready that cannot serve requests."""
    notify(state, "a1", 1, "a1")
    assert find_leader(state) == ("a1", False)
    notify(state, "a1", 1, "a1", Configuration(version=1))
    assert find_leader(state) == ("a1", True)
    notify(state, "a2", 1, "a1", now=BEGIN + 4.0)
    assert find_leader(state, BEGIN + 4.0) == (None, False)


def test_silent_contact_is_reconnected(state: DirectoryState) -> None:
    """Guards against keeping a connection that stays silent."""
    directory.handle(Tick(), state, BEGIN)
    for contact in ("a1", "a2"):
        notify(state, contact, 1, "a1", now=BEGIN + 2.0, asked_at=BEGIN)
    effects = directory.handle(Tick(), state, BEGIN + 2.5)
    assert [e.instance for e in effects if isinstance(e, Reconnect)] == ["a3"]


def test_only_an_answer_shows_that_a_link_works(state: DirectoryState) -> None:
    """Guards against questions that are lost while notices go on to arrive.

    Neither a notice without a question nor late answers to earlier questions show that
    questions arrive.
    """
    directory.handle(Tick(), state, BEGIN)
    notify(state, "a1", 1, "a1", now=BEGIN + 0.3, asked_at=BEGIN)
    directory.handle(Tick(), state, BEGIN + 0.4)
    notify(state, "a1", 1, "a1", now=BEGIN + 1.0, asked_at=None)
    notify(state, "a1", 1, "a1", now=BEGIN + 1.1, asked_at=BEGIN)
    notify(state, "a1", 1, "a1", now=BEGIN + 1.2, asked_at=BEGIN - 0.4)
    for contact in ("a2", "a3"):
        notify(state, contact, 1, "a1", now=BEGIN + 1.5, asked_at=BEGIN + 0.4)
    effects = directory.handle(Tick(), state, BEGIN + 1.7)
    assert [e.instance for e in effects if isinstance(e, Reconnect)] == ["a1"]


def test_slow_answers_show_that_a_link_works(state: DirectoryState) -> None:
    """Guards against replacing the links to members that are only busy."""
    reconnected: list[str] = []
    for step in range(20):
        now = BEGIN + 0.4 * step
        if step >= 3:
            notify(state, "a1", 1, "a1", now=now, asked_at=BEGIN + 0.4 * (step - 3))
        effects = directory.handle(Tick(), state, now)
        reconnected += [e.instance for e in effects if isinstance(e, Reconnect)]
    assert "a1" not in reconnected


def test_new_seeds_are_asked_beside_the_members(state: DirectoryState) -> None:
    """Guards against an instance that knows only members that are gone."""
    directory.handle(ContactsChanged(("a9",)), state, BEGIN)
    effects = directory.handle(Tick(), state, BEGIN)
    assert list_asked(effects, "configuration") == ["a9", "a1", "a2", "a3"]


def list_asked(effects: list[Effect], controller: str) -> list[str]:
    sent = [each for each in effects if isinstance(each, Send)]
    return [each.to.instance for each in sent if each.to.controller == controller]


def test_seed_without_the_log_is_asked_for_the_members_only(
    state: DirectoryState,
) -> None:
    """Guards against an instance that finds no member behind the seeds it has."""
    directory.handle(ContactsChanged(("e9",)), state, BEGIN)
    effects = directory.handle(Tick(), state, BEGIN)
    assert list_asked(effects, "directory") == ["e9"]
    named = LeaderNotice("e9", 1, "a7", ("a7", "a8"), has_log=False, asked_at=BEGIN)
    asked = directory.handle(named, state, BEGIN + 0.1)
    assert list_asked(asked, "configuration") == ["a7"]
    effects = directory.handle(Tick(), state, BEGIN + 1.0)
    assert list_asked(effects, "configuration") == ["a1", "a2", "a3", "a7", "a8"]
    notify(state, "a7", 1, "a7", now=BEGIN + 1.1)
    effects = directory.handle(Tick(), state, BEGIN + 2.0)
    assert list_asked(effects, "directory") == []


def test_instance_without_the_log_names_the_members(settings: Settings) -> None:
    """Guards against a lost disk that comes back to seeds without the log."""
    peers = {**settings.peers_by_id, "e1": Peer("e1", "a", "", "", disk=False)}
    edge = replace(settings, id="e1", peers_by_id=peers, follows_leader=True)
    state = directory.make_state(replace(edge, contacts=("e1", "e2")))
    notify(state, "a1", 3, "a1")
    question = FollowLeader("a9", -1, sent_at=BEGIN, controller="configuration")
    (effect,) = directory.handle(question, state, BEGIN)
    assert effect.to == Address("a9", "configuration")
    notice = effect.message
    assert notice.members == ("a1", "a2", "a3")
    assert (notice.leader, notice.has_authority, notice.has_log) == ("a1", False, False)


def test_instance_with_the_log_leaves_the_answer_to_its_member(
    state: DirectoryState,
) -> None:
    """Guards against two notices of one instance that contradict each other."""
    assert directory.handle(FollowLeader("e1", -1), state, BEGIN) == []


def test_instance_that_follows_on_demand_asks_nothing_while_idle(
    settings: Settings,
) -> None:
    """Guards against needless control messages of an instance without durable jobs."""
    state = directory.make_state(settings)
    assert directory.handle(Tick(), state, BEGIN) == []
    assert find_leader(state) == (None, False)
    assert len(directory.handle(Tick(), state, BEGIN + 0.1)) == 3
    notify(state, "a1", 1, "a1", now=BEGIN + 0.2)
    assert find_leader(state, BEGIN + 0.3)[0] == "a1"
    idle = BEGIN + 0.3 + FOLLOW_IDLE_TIMEOUT
    assert directory.handle(Tick(), state, idle) == []
    assert find_leader(state, idle)[0] is None


def test_clock_is_that_of_the_leader_alone(state: DirectoryState) -> None:
    """Guards against jobs dated by the clock of another member or an earlier leader."""
    notify(state, "a2", 1, "a1", clock=BEGIN + 9.0)
    assert find_clock_offset(state) is None
    notify(state, "a1", 1, "a1", clock=BEGIN + 3.0)
    assert find_clock_offset(state) == 3.0
    notify(state, "a2", 2, "a2")
    assert find_clock_offset(state) is None


@pytest.mark.parametrize(
    "fields",
    [
        {"has_authority": False},
        {"asked_at": None},
        {"asked_at": BEGIN + 3.0 - CONFIRMATION_VALIDITY},
        {"asked_at": BEGIN + 3.1},
        {"version": 2},
    ],
    ids=["no_authority", "not_an_answer", "late", "other_process", "newer_version"],
)
def test_configuration_is_not_confirmed_by(
    state: DirectoryState, fields: dict[str, Any]
) -> None:
    """Guards against requests that are handled by a replaced configuration."""
    notify(state, "a1", 1, "a1", Configuration(version=1))
    later = BEGIN + 3.0
    notify(state, "a1", 1, "a1", now=later, **fields)
    assert find_leader(state, later) == ("a1", False)
    notify(state, "a1", 1, "a1", now=later, version=1)
    assert find_leader(state, later) == ("a1", True)


def test_answer_to_an_earlier_process_confirms_nothing(state: DirectoryState) -> None:
    """Guards against an answer about the version that another process had."""
    directory.handle(Tick(), state, BEGIN)
    notify(state, "a1", 1, "a1", Configuration(version=1), asked_at=BEGIN - 0.1)
    assert find_leader(state) == ("a1", False)


def test_configuration_is_used_while_a_short_silence_lasts(
    state: DirectoryState,
) -> None:
    """Guards against refusals because one answer of the leader was lost."""
    notify(state, "a1", 1, "a1", Configuration(version=1), asked_at=BEGIN - 0.5)
    assert find_leader(state, BEGIN + 0.9) == ("a1", True)


def test_new_leader_has_time_to_confirm(state: DirectoryState) -> None:
    """Guards against refusals between the news of a successor and its first answer."""
    notify(state, "a1", 1, "a1", Configuration(version=1))
    later = BEGIN + 2.1
    notify(state, "a2", 2, "a2", now=later, asked_at=None)
    question = FindLeader(reply_to=ReplyTo("e", 1))
    (reply,) = directory.handle(question, state, later + 0.1)
    assert not reply.message.ready
    assert reply.message.lost_for == pytest.approx(0.1)


def test_new_leader_is_asked_at_once(state: DirectoryState) -> None:
    """Guards against requests that wait although the successor is elected."""
    directory.handle(Tick(), state, BEGIN)
    notify(state, "a1", 1, "a1")
    effects = notify(state, "a3", 2, "a2", now=BEGIN + 0.1)
    (sent,) = [each for each in effects if isinstance(each, Send)]
    assert sent.to == Address("a2", "configuration")
    assert sent.message.sent_at == BEGIN + 0.1


def submit(
    state: DirectoryState, *, best_effort: bool = True, now: float = BEGIN
) -> list[Effect]:
    """Ask for the admission of `SUBMISSIONS` submissions."""
    effects: list[Effect] = []
    for number in range(SUBMISSIONS):
        question = AdmitSubmission(
            f"j{number}", "proofs", best_effort, reply_to=ReplyTo("a1", number)
        )
        effects += directory.handle(question, state, now)
    return effects


def list_admissions(effects: list[Effect]) -> list[Admission]:
    """Return the answers to submissions."""
    return [each.message.admission for each in effects if isinstance(each, Reply)]


def find_batch(effects: list[Effect]) -> RefuseSubmissions:
    """Return the only question to the dispatcher of the leader."""
    (send,) = [each for each in effects if isinstance(each, Send)]
    assert send.to == Address("a1", "dispatcher")
    return send.message


def count_admitted(
    state: DirectoryState, *, best_effort: bool = True, now: float = BEGIN
) -> int:
    """Return how many of `SUBMISSIONS` submissions are admitted."""
    effects = submit(state, best_effort=best_effort, now=now)
    return list_admissions(effects).count(Admission.ADMITTED)


def is_quarter(count: int) -> bool:
    """Return whether a count is a quarter of `SUBMISSIONS`, but for one."""
    return abs(count - SUBMISSIONS / 4) <= 1


def test_share_of_the_leader_limits_submissions(state: DirectoryState) -> None:
    """Guards against submissions that an overloaded leader cannot bear."""
    assert count_admitted(state) == SUBMISSIONS
    notify(state, "a1", 1, "a1", admitted_share=0.25)
    assert is_quarter(count_admitted(state))
    assert count_admitted(state, best_effort=False) == SUBMISSIONS
    notify(state, "a1", 1, "a1", admitted_share=1.0)
    assert count_admitted(state) == SUBMISSIONS


def test_share_of_another_member_does_not_count(state: DirectoryState) -> None:
    """Guards against refusals because of what a member says that does not lead."""
    notify(state, "a1", 1, "a1", admitted_share=0.25)
    notify(state, "a2", 1, "a1", admitted_share=1.0)
    assert is_quarter(count_admitted(state))


def test_overload_of_a_lost_leader_does_not_outlive_it(state: DirectoryState) -> None:
    """Guards against refusals in the name of a leader that is gone."""
    notify(state, "a1", 1, "a1", admitted_share=0.25)
    assert count_admitted(state, now=BEGIN + LEADER_SILENCE + 1.0) == SUBMISSIONS
    notify(state, "a2", 2, "a2")
    assert count_admitted(state) == SUBMISSIONS


@pytest.fixture
def overloaded(state: DirectoryState) -> DirectoryState:
    """A directory whose leader admits a quarter of the submissions."""
    notify(state, "a1", 1, "a1", admitted_share=0.25)
    return state


def test_refusal_waits_for_the_word_of_the_leader(overloaded: DirectoryState) -> None:
    """Guards against refusing a job that runs by a submission elsewhere."""
    effects = submit(overloaded)
    assert set(list_admissions(effects)) == {Admission.ADMITTED}
    first = find_batch(effects)
    (known,) = first.job_ids
    answer = SubmissionsRefused(first.number, known_job_ids=(known,))
    effects = directory.handle(answer, overloaded, BEGIN)
    assert list_admissions(effects) == [Admission.ADMITTED]
    second = find_batch(effects)
    answer = SubmissionsRefused(second.number)
    effects = directory.handle(answer, overloaded, BEGIN)
    assert list_admissions(effects) == [Admission.REFUSED] * len(second.job_ids)
    assert directory.handle(answer, overloaded, BEGIN) == []


def test_unanswered_refusals_are_left_undecided(overloaded: DirectoryState) -> None:
    """Guards against callers that wait for a leader that does not answer."""
    submit(overloaded)
    waiting = len(overloaded.refusals.waiting)
    effects = directory.handle(Tick(), overloaded, BEGIN + CONFIRMATION_TIMEOUT)
    assert list_admissions(effects) == [Admission.UNDECIDED]
    now = BEGIN + 2 * CONFIRMATION_TIMEOUT
    effects = directory.handle(Tick(), overloaded, now)
    assert list_admissions(effects) == [Admission.UNDECIDED] * waiting


def test_next_leader_decides_unconfirmed_refusals(overloaded: DirectoryState) -> None:
    """Guards against refusals because of the overload of an earlier leader."""
    effects = submit(overloaded)
    pending = SUBMISSIONS - len(list_admissions(effects))
    effects = notify(overloaded, "a2", 2, "a2")
    assert list_admissions(effects) == [Admission.ADMITTED] * pending


def test_leader_alone_is_asked_while_all_answer(state: DirectoryState) -> None:
    """Guards against members that spend their time on answers that say the same."""
    notify(state, "a1", 1, "a1")
    asked = []
    for number in range(COMPLETE_ASK_PERIOD):
        now = BEGIN + number * PERIOD
        contacts = list_asked(directory.handle(Tick(), state, now), "configuration")
        for contact in contacts:
            notify(state, contact, 1, "a1", now=now + 0.01, asked_at=now)
        asked.append(contacts)
    others = COMPLETE_ASK_PERIOD - 1
    assert asked == [["a1"]] * others + [["a1", "a2", "a3"]]


def test_silent_contact_is_asked_until_it_answers(state: DirectoryState) -> None:
    """Guards against a link that is replaced for ever, dropping the rare answers."""
    notify(state, "a1", 1, "a1")
    state.asked_count = COMPLETE_ASK_PERIOD - 1
    for number in range(COMPLETE_ASK_PERIOD):
        now = BEGIN + number * PERIOD
        effects = directory.handle(Tick(), state, now)
        assert list_asked(effects, "configuration") == ["a1", "a2", "a3"]
        for contact in ("a1", "a3") if number else ():
            notify(state, contact, 1, "a1", now=now + 0.01, asked_at=now)
        if number == 1:
            break
    effects = directory.handle(Tick(), state, now + PERIOD)
    assert list_asked(effects, "configuration") == ["a1", "a2"]


def test_refusals_of_an_earlier_process_confirm_none_of_the_next(
    settings: Settings,
) -> None:
    """Guards against refused jobs that run: the clock was set back between two starts.

    The numbers of batches began at the time of day.
    """
    batches = [refuse_first(settings) for _ in range(2)]
    (_, earlier), (state, current) = batches
    late = SubmissionsRefused(earlier.number)
    assert directory.handle(late, state, BEGIN) == []
    effects = directory.handle(SubmissionsRefused(current.number), state, BEGIN)
    assert [each for each in effects if isinstance(each, Reply)]


def refuse_first(
    settings: Settings,
) -> tuple[directory.DirectoryState, RefuseSubmissions]:
    """Refuse one submission in a new process; return the question to the leader."""
    state = directory.make_state(settings)
    state.term, state.leader, state.leader_heard_at = 1, "a2", BEGIN
    state.admitted_share = 0.25
    effects: list[Effect] = []
    # The pacer admits the first submission.
    for number in (1, 2):
        reply_to = ReplyTo("a1", number)
        question = AdmitSubmission(f"j{number}", "proofs", True, reply_to=reply_to)
        effects += directory.handle(question, state, BEGIN)
    sent = (each.message for each in effects if isinstance(each, Send))
    return state, next(sent)


def test_questions_that_were_not_sent_count_as_no_wait(state: DirectoryState) -> None:
    """Guards against a member that replaces its link as it answers for the first time.

    The member has started after the first questions, which were dropped.
    """
    waits: list[float] = []
    for number in range(5):
        now = BEGIN + number * PERIOD
        effects = directory.handle(Tick(), state, now)
        sent = [each for each in effects if isinstance(each, Send)]
        waits += [
            each.message.waits
            for each in sent
            if each.to.instance == "a2" and isinstance(each.message, FollowLeader)
        ]
        if number < 3:
            directory.handle(QuestionUnsent("a2"), state, now)
    assert waits == [0.0, 0.0, 0.0, 0.0, pytest.approx(PERIOD)]
