"""Choice and end of reservations, and the order by fit, without a network."""

from __future__ import annotations

from dataclasses import replace

from boragetide.durable import Resources, Step
from boragetide.policy.best_fit import FIT_ADVANCE, order_by_fit
from boragetide.policy.job_queue import JobQueue, WaitingJob
from boragetide.policy.reservations import (
    MAX_DELAY,
    MAX_HORIZON,
    RETRY_DELAY,
    Reservation,
    Reservations,
    ServerOutlook,
    choose_reservation,
)
from boragetide.policy.scheduling import latest_start
from boragetide.settings import JobOrder
from boragetide.tests.durable_fixtures import BEGIN, make_durable_job

NOW = 100.0
RUN = Resources(30_000, 64)
BIG = Step(1, Resources(50_000, 64), 0.2)
SMALL = Step(1, Resources(10_000, 64), 0.2)


def make_outlook(
    server: str = "s1", *ends: float, free: int = 4_000, speed: float = 1.0
) -> ServerOutlook:
    expected = tuple((NOW + end, RUN) for end in ends)
    return ServerOutlook(server, Resources(free, 1_000), speed, expected)


def make_reservation(job_id: str = "big", server: str = "s1") -> Reservation:
    return Reservation(
        job_id=job_id,
        server=server,
        needs=BIG.needs,
        latest_start=NOW + 0.3,
        in_time_until=NOW + 0.25,
        expected_at=NOW + 0.05,
        made_at=NOW,
    )


def test_room_that_ends_the_task_first_is_reserved() -> None:
    """Guards against the room that is free first on a server that is much slower."""
    outlooks = [
        make_outlook("slow", 0.01, 0.02, speed=0.5),
        make_outlook("fast", 0.01, 0.05, speed=2.0),
        make_outlook("unknown", 0.01, speed=2.0),
    ]
    outlook, at = choose_reservation(BIG, 0.5, outlooks, NOW)
    assert (outlook.id, at) == ("fast", NOW + 0.05)


def test_no_room_is_reserved_for_a_job_that_cannot_be_in_time() -> None:
    """Guards against a server that is held free for a start that comes too late."""
    outlooks = [make_outlook("s1", 0.04, 0.05)]
    assert choose_reservation(BIG, 0.06, outlooks, NOW) is not None
    assert choose_reservation(BIG, 0.04, outlooks, NOW) is None
    slow = [make_outlook("s1", 0.04, 0.05, speed=0.8)]
    assert choose_reservation(BIG, 0.06, slow, NOW) is None


def test_no_room_is_reserved_far_ahead() -> None:
    """Guards against a server that is kept idle for long on an uncertain end."""
    outlooks = [make_outlook("s1", 0.01, MAX_HORIZON + 0.01)]
    assert choose_reservation(BIG, 9.0, outlooks, NOW) is None


def test_others_start_beside_a_reservation_only_if_they_do_not_delay_it() -> None:
    """Guards against tasks that take reserved room, and against room left unused."""
    reservation = make_reservation()
    outlook = make_outlook("s1", 0.03, free=30_000)
    later = reservation.latest_start + 1.0
    at = reservation.expected_at
    assert reservation.admits(BIG, later, at, outlook)
    assert not reservation.admits(BIG, later, at + 0.1, outlook)
    assert reservation.admits(SMALL, later, at + 0.1, outlook)
    without_end = make_outlook("s1", free=30_000)
    assert not reservation.admits(SMALL, later, at + 0.1, without_end)


def test_more_urgent_job_is_not_kept_from_a_reserved_server() -> None:
    """Guards against a reservation that turns the urgency of two jobs round."""
    reservation = make_reservation()
    outlook = make_outlook("s1", free=60_000)
    urgent = reservation.latest_start - 0.01
    assert reservation.admits(BIG, urgent, NOW + 9.0, outlook)
    assert not reservation.admits(BIG, None, NOW + 9.0, outlook)


def test_reservation_ends_when_it_is_not_kept() -> None:
    """Guards against a server that waits without bound for a run that ends late."""
    reservation = make_reservation()
    assert reservation.find_fault(reservation.expected_at + MAX_DELAY) is None
    late = reservation.expected_at + MAX_DELAY + 0.001
    assert reservation.find_fault(late) == "end_late"
    assert reservation.find_fault(reservation.in_time_until + 0.001) == "too_late"


def test_job_of_a_given_up_reservation_gets_no_other_one_for_a_while() -> None:
    """Guards against servers that are held free again and again for the same job."""
    reservations = Reservations()
    reservation = make_reservation()
    assert reservations.may_reserve("big", NOW)
    reservations.by_server["s1"] = reservation
    assert not reservations.may_reserve("big", NOW)
    reservations.give_up(reservation, NOW)
    assert not reservations.by_server
    assert not reservations.may_reserve("big", NOW + RETRY_DELAY - 0.01)
    assert reservations.may_reserve("big", NOW + RETRY_DELAY)
    assert reservations.may_reserve("other", NOW)


def test_memory_of_given_up_reservations_is_bounded_in_time() -> None:
    """Guards against a table that grows with every job that was ever given up."""
    reservations = Reservations()
    for number in range(100):
        at = NOW + number * RETRY_DELAY / 10
        reservations.give_up(make_reservation(f"j{number}"), at)
    assert len(reservations.barred_until_by_job) <= 11


def make_waiting(*needs_and_ages: tuple[int, float]) -> list[WaitingJob]:
    """Queue jobs of one task and return them in scheduling order."""
    queue = JobQueue()
    for number, (cores, age) in enumerate(needs_and_ages):
        step = replace(SMALL, needs=Resources(cores, 64))
        job = make_durable_job(f"j{number}", step, submitted_at=BEGIN - age)
        queue.put(job, {0: step})
    return [queue.waiting_by_id[job_id] for _, job_id in queue.in_time]


def test_larger_needs_go_first_among_similarly_urgent_jobs() -> None:
    """Guards against gaps that a small task leaves and no other one fits."""
    waiting = make_waiting((20_000, 0.01), (40_000, 0.0), (30_000, 0.005))
    assert [each.job.id for each in waiting] == ["j0", "j2", "j1"]
    assert [each.job.id for each in order_by_fit(waiting)] == ["j1", "j2", "j0"]


def test_order_by_fit_bounds_how_far_a_job_is_overtaken() -> None:
    """Guards against small jobs that wait as long as larger ones arrive."""
    waiting = make_waiting((1_000, FIT_ADVANCE), (40_000, 0.0))
    assert [each.job.id for each in order_by_fit(waiting)] == ["j0", "j1"]


def test_late_jobs_stay_behind_those_that_can_be_in_time() -> None:
    """Guards against a large late job that makes another one late as well."""
    in_time, late = make_waiting((10_000, 0.0), (60_000, 0.05))[::-1]
    queue = JobQueue()
    late.lane = queue.late
    assert order_by_fit([in_time, late]) == [in_time, late]


def test_late_begun_jobs_stay_in_the_order_of_what_is_left() -> None:
    """Guards against an advance in seconds that is subtracted from shares of work."""
    queue = JobQueue(JobOrder.PRIORITY)
    small, large = (replace(each, count=20) for each in (SMALL, BIG))
    nearly = make_durable_job("nearly", small)
    queue.put(nearly, {0: small}, has_started=True)
    waiting = dict.fromkeys(range(3), large)
    queue.put(make_durable_job("more", large), waiting, has_started=True)
    queue.list_expired(latest_start(nearly) + 0.1)
    late = [queue.waiting_by_id[job_id] for _, job_id in queue.late]
    assert [each.job.id for each in late] == ["nearly", "more"]
    assert order_by_fit(late) == late
