"""Which jobs go to another group, and to which one."""

from __future__ import annotations

import pytest

from boragetide.durable import Fit, Need, Offer, Resources
from boragetide.policy.transfers import (
    BUSY_PATIENCE,
    MAX_TRANSFERS_WHEN_BUSY,
    OUT_OF_SERVICE_PATIENCE,
    ServerRoom,
    StrandedJob,
    assign_groups,
    find_best_fit,
    make_offer,
    may_leave,
)
from boragetide.tests.durable_fixtures import BEGIN

CAPACITY = Resources(64_000, 100_000, 2)
TASK = Resources(27_000, 64)
NEED = Need("pool", TASK)
OTHER_NEED = Need("pool", TASK, "r1")


def make_room(**fields: object) -> ServerRoom:
    """Build a backend server that is empty and in service."""
    defaults: dict[str, object] = {
        "pool": "pool",
        "labels": ("r0",),
        "largest": CAPACITY,
        "capacity": CAPACITY,
        "free": CAPACITY,
        "in_service": True,
        "usable": True,
    }
    return ServerRoom(**(defaults | fields))


def make_stranded(job_id: str = "j1", **fields: object) -> StrandedJob:
    """Build a job of one task that its group cannot serve."""
    defaults: dict[str, object] = {
        "task_count_by_need": {NEED: 1},
        "fit": Fit.OUT_OF_SERVICE,
        "since": BEGIN,
    }
    return StrandedJob(job_id, **(defaults | fields))


def make_offers(*offers: Offer) -> dict[Need, Offer]:
    return {offer.need: offer for offer in offers}


@pytest.mark.parametrize(
    ("fields", "fit"),
    [
        ({}, Fit.FREE),
        ({"usable": False}, Fit.BUSY),
        ({"free": Resources(26_999, 100_000)}, Fit.BUSY),
        ({"free": Resources(64_000, 63)}, Fit.BUSY),
        ({"in_service": False, "usable": False}, Fit.OUT_OF_SERVICE),
        ({"capacity": Resources(20_000, 100_000)}, Fit.OUT_OF_SERVICE),
        ({"largest": Resources(20_000, 100_000)}, Fit.NONE),
        ({"pool": "other"}, Fit.NONE),
    ],
)
def test_server_fits_by_its_resources_and_its_service(
    fields: dict[str, object], fit: Fit
) -> None:
    """Guards against a job that waits for a server that cannot run it."""
    assert make_offer(NEED, [make_room(**fields)]).fit is fit


@pytest.mark.parametrize(
    ("need", "fit"),
    [
        (Need("pool", TASK, "r0"), Fit.FREE),
        (Need("pool", TASK, "r1"), Fit.NONE),
        (Need("pool", Resources(1000, 64, accelerators=2), ""), Fit.FREE),
        (Need("pool", Resources(1000, 64, accelerators=3), ""), Fit.NONE),
        (Need("pool", Resources(1000, 100_001), ""), Fit.NONE),
    ],
)
def test_need_names_label_and_all_resources(need: Need, fit: Fit) -> None:
    """Guards against an offer that ignores a part of what a task needs."""
    assert make_offer(need, [make_room()]).fit is fit


def test_best_server_of_a_group_decides_and_slots_are_summed() -> None:
    """Guards against a group that is taken for full because one server is."""
    rooms = [make_room(in_service=False, usable=False), make_room(), make_room()]
    assert make_offer(NEED, rooms) == Offer(NEED, Fit.FREE, slots=4)


@pytest.mark.parametrize(
    ("fit", "best_effort", "patience"),
    [
        (Fit.NONE, False, 0.0),
        (Fit.NONE, True, 0.0),
        (Fit.OUT_OF_SERVICE, False, OUT_OF_SERVICE_PATIENCE),
        (Fit.OUT_OF_SERVICE, True, 0.0),
        (Fit.BUSY, False, BUSY_PATIENCE),
        (Fit.BUSY, True, BUSY_PATIENCE),
    ],
)
def test_job_waits_for_a_server_that_may_soon_be_back(
    fit: Fit, best_effort: bool, patience: float
) -> None:
    """Guards against jobs that change groups at each missed call."""
    job = make_stranded(fit=fit, best_effort=best_effort)
    assert may_leave(job, BEGIN + patience)
    assert not patience or not may_leave(job, BEGIN + patience - 0.01)


def test_job_that_waits_for_busy_servers_changes_groups_a_bounded_number_of_times() -> (
    None
):
    """Guards against a job that swings between two groups for ever."""
    job = make_stranded(fit=Fit.BUSY, transfers=MAX_TRANSFERS_WHEN_BUSY)
    assert not may_leave(job, BEGIN + 60)
    lost = make_stranded(fit=Fit.OUT_OF_SERVICE, transfers=MAX_TRANSFERS_WHEN_BUSY)
    assert may_leave(lost, BEGIN + 60)


def test_group_with_most_free_slots_takes_a_job() -> None:
    """Guards against a job that goes to a full group beside a free one."""
    offers = {
        1: make_offers(Offer(NEED, Fit.BUSY)),
        2: make_offers(Offer(NEED, Fit.FREE, slots=1)),
        3: make_offers(Offer(NEED, Fit.FREE, slots=2)),
    }
    jobs = [make_stranded(f"j{number}") for number in range(3)]
    assert assign_groups(jobs, offers) == {"j0": 3, "j1": 2, "j2": 3} or (
        assign_groups(jobs, offers) == {"j0": 3, "j1": 3, "j2": 2}
    )


def test_jobs_beyond_the_free_slots_are_spread_over_the_groups_that_fit() -> None:
    """Guards against one group that gets all jobs of a lost server."""
    offers = {group: make_offers(Offer(NEED, Fit.BUSY)) for group in (1, 2, 3)} | {
        4: make_offers(Offer(NEED, Fit.OUT_OF_SERVICE))
    }
    jobs = [make_stranded(f"j{number}") for number in range(60)]
    group_by_job = assign_groups(jobs, offers)
    counts = [list(group_by_job.values()).count(group) for group in (1, 2, 3, 4)]
    assert len(group_by_job) == 60
    assert counts[3] == 0
    assert min(counts[:3]) >= 10


def test_busy_job_goes_only_where_it_can_start() -> None:
    """Guards against jobs that wait elsewhere instead of here."""
    job = make_stranded(fit=Fit.BUSY)
    assert assign_groups([job], {1: make_offers(Offer(NEED, Fit.BUSY))}) == {}
    free = {1: make_offers(Offer(NEED, Fit.FREE, slots=1))}
    assert assign_groups([job], free) == {"j1": 1}
    second = make_stranded("j2", fit=Fit.BUSY)
    assert assign_groups([job, second], free) == {"j1": 1}


def test_job_stays_if_no_group_can_serve_it() -> None:
    """Guards against a job that goes round among groups that cannot serve it."""
    offers = {
        1: make_offers(Offer(NEED, Fit.OUT_OF_SERVICE)),
        2: make_offers(Offer(OTHER_NEED, Fit.FREE, slots=3)),
    }
    assert assign_groups([make_stranded()], offers) == {}
    assert find_best_fit(NEED, offers) is Fit.OUT_OF_SERVICE
    assert find_best_fit(OTHER_NEED, {}) is Fit.NONE


def test_any_step_that_can_run_elsewhere_is_enough() -> None:
    """Guards against a job that waits until one group fits all of its steps."""
    job = make_stranded(task_count_by_need={NEED: 2, OTHER_NEED: 1})
    offers = {1: make_offers(Offer(OTHER_NEED, Fit.FREE, slots=1))}
    assert assign_groups([job], offers) == {"j1": 1}
