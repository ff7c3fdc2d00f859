"""Admitted share of the submissions to a leader that is short of processor time."""

from __future__ import annotations

import itertools
from collections.abc import Iterable

import pytest

from boragetide.policy.overload import (
    DELAY_TARGET,
    DRAIN_TIME,
    DURABLE_SHARE,
    MAX_WINDOW,
    MIN_SAMPLES,
    MIN_SHARE,
    WINDOW,
    AdmissionControl,
    Pacer,
    Stage,
    admit,
    choose_retry_after,
    find_durable_share,
    record_order,
    record_wait,
    update_share,
)
from boragetide.types import Seconds

BEGIN: Seconds = 1_000_000.0
INTERVAL: Seconds = 0.01  # between two submissions
SHORT_WAIT: Seconds = 0.002
LONG_WAIT: Seconds = 0.2
USUAL_ORDER_TIME: Seconds = 0.003
RECOVERY_TIME: Seconds = 2.0


@pytest.fixture
def control() -> AdmissionControl:
    """Control of a leader at which nothing waits."""
    made = AdmissionControl()
    record_wait(made, SHORT_WAIT, BEGIN - WINDOW)
    return made


def deliver(
    control: AdmissionControl, waits: Iterable[Seconds], begin: Seconds = BEGIN
) -> list[float]:
    """Handle submissions that waited so long; return the share after each of them."""
    shares = []
    for number, waited in enumerate(waits):
        record_wait(control, waited, begin + number * INTERVAL)
        shares.append(control.share)
    return shares


def count_in(duration: Seconds) -> int:
    return round(duration / INTERVAL)


def test_burst_that_passes_is_not_taken_for_overload(control: AdmissionControl) -> None:
    """Guards against refusals because of a queue that is emptied by itself."""
    burst = [LONG_WAIT] * (count_in(WINDOW) // 2) + [SHORT_WAIT]
    assert set(deliver(control, burst * 10)) == {1.0}


def test_standing_delay_reduces_the_share_at_once(control: AdmissionControl) -> None:
    """Guards against a queue that grows while submissions are still admitted."""
    shares = deliver(control, [LONG_WAIT] * (2 * count_in(WINDOW) + 2))
    excess = (LONG_WAIT - DELAY_TARGET) / DRAIN_TIME
    assert shares[-1] <= 1.0 - excess


def test_longer_queue_reduces_the_share_more() -> None:
    """Guards against a share that does not follow the load."""
    ends = []
    for growth in (0.2, 0.5):
        waits = [number * INTERVAL * growth for number in range(count_in(0.4))]
        ends.append(deliver(AdmissionControl(), waits)[-1])
    assert ends[1] < ends[0] < 1.0


def test_share_stays_above_zero(control: AdmissionControl) -> None:
    """Guards against a leader that never learns that its overload is over."""
    shares = deliver(control, [LONG_WAIT] * count_in(10.0))
    assert min(shares) == MIN_SHARE


@pytest.mark.parametrize("has_submissions", [True, False])
def test_whole_share_is_back_within_two_seconds(has_submissions: bool) -> None:
    """Guards against refusals long after an overload."""
    control = AdmissionControl(share=MIN_SHARE, overloaded_at=BEGIN)
    for number in range(count_in(RECOVERY_TIME)):
        now = BEGIN + number * INTERVAL
        if has_submissions:
            record_wait(control, SHORT_WAIT, now)
        else:
            update_share(control, now)
    assert control.share == 1.0


def answer_orders(
    control: AdmissionControl, seconds: Seconds, count: int, begin: Seconds = BEGIN
) -> float:
    """Handle the answers to orders within two windows; return the share."""
    for number in range(count):
        record_order(control, seconds, begin + number * 2.5 * WINDOW / count)
    return control.share


def test_orders_that_wait_reduce_the_share(control: AdmissionControl) -> None:
    """Guards against a queue that only moves from the submissions to the orders."""
    record_order(control, USUAL_ORDER_TIME, BEGIN - WINDOW)
    count = 5 * MIN_SAMPLES[Stage.ORDER]
    assert answer_orders(control, USUAL_ORDER_TIME, count) == 1.0
    later = BEGIN + 5 * WINDOW
    assert answer_orders(control, USUAL_ORDER_TIME + LONG_WAIT, count, later) < 1.0


def test_far_backend_servers_are_not_taken_for_overload(
    control: AdmissionControl,
) -> None:
    """Guards against refusals because orders take their time on the network."""
    assert answer_orders(control, LONG_WAIT, 5 * MIN_SAMPLES[Stage.ORDER]) == 1.0


def test_few_slow_answers_are_not_taken_for_overload(
    control: AdmissionControl,
) -> None:
    """Guards against refusals because of one slow backend server."""
    record_order(control, USUAL_ORDER_TIME, BEGIN - WINDOW)
    assert answer_orders(control, LONG_WAIT, MIN_SAMPLES[Stage.ORDER] // 2) == 1.0


def test_submissions_of_before_do_not_reduce_the_share_again(
    control: AdmissionControl,
) -> None:
    """Guards against a share that falls to nothing before a change has its effect."""
    shares = deliver(control, [LONG_WAIT] * count_in(LONG_WAIT + WINDOW))
    assert set(shares) == {1.0, control.share}


def test_share_rises_while_nobody_submits(control: AdmissionControl) -> None:
    """Guards against a share that stays low because there are no waits to measure."""
    deliver(control, [LONG_WAIT] * (2 * count_in(WINDOW) + 2))
    now = control.updated_at
    control.window_by_stage.clear()
    share = control.share
    assert not update_share(control, now + WINDOW)
    assert update_share(control, now + MAX_WINDOW)
    assert control.share > share


@pytest.mark.parametrize("share", [0.07, 0.25, 0.5, 0.9])
def test_refusals_are_even_within_each_class(share: float) -> None:
    """Guards against classes that bear more of the refusals, and runs of them."""
    pacer = Pacer()
    count = 1000
    for class_name in ("checks", "orders"):
        admitted = [admit(pacer, class_name, share) for _ in range(count)]
        assert abs(sum(admitted) - share * count) <= 1
        runs = [len(list(run)) for ok, run in itertools.groupby(admitted) if not ok]
        assert max(runs) <= 1 / share


def test_durable_jobs_are_refused_last() -> None:
    """Guards against refusals of durable jobs while best-effort jobs are admitted."""
    assert find_durable_share(DURABLE_SHARE) == 1.0
    assert find_durable_share(DURABLE_SHARE / 2) == 0.5


def test_refused_callers_do_not_return_together() -> None:
    """Guards against an overload that comes back with the callers that it refused."""
    pacer = Pacer()
    times = [choose_retry_after(pacer, 0.5) for _ in range(100)]
    assert max(times.count(time) for time in times) <= 100 / len(set(times))
    assert len(set(times)) > 1
