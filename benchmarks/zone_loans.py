"""Cost of one group for each availability zone, and what loans of jobs recover.

``python -m benchmarks.zone_loans`` replays the load of a whole installation with one
dispatcher for each zone, on a virtual clock. A job goes to the group of its home zone.
That group lends it to another one never, by the rules of transfers, or when it arrives
and the other group alone can start all of its tasks at once. The first line of each
load is a single dispatcher for all backend servers.
"""

from __future__ import annotations

import argparse
from dataclasses import replace
from enum import StrEnum

from benchmarks.dispatch_loads import BEGIN, GeneratedJob, Load
from benchmarks.product_run import COMMIT_DELAY, EDGE, ONE_WAY_DELAY
from benchmarks.zone_division import (
    DIVISION_LOADS,
    SKEWS,
    ZONES,
    Division,
    DivisionOutcome,
    PartRun,
    format_outcome,
)
from boragetide.controllers.room_questions import REVIEW_INTERVAL
from boragetide.controllers.stranded_jobs import RoomTable, list_needs, update_stranded
from boragetide.durable import Fit, Need, Offer
from boragetide.messages import WithdrawSubmissions
from boragetide.policy.transfers import StrandedJob, assign_groups, may_leave
from boragetide.types import Seconds, ZoneId

GROUPS = 5  # groups of the installations of which `DIVISION_LOADS` has one
# The other groups are asked, the note is committed, the caller's instance is directed.
LOAN_DELAY: Seconds = 4 * ONE_WAY_DELAY + COMMIT_DELAY


class Loans(StrEnum):
    """When a group lends a job to another one."""

    NONE = "none"
    TRANSFERS = "transfers"
    AT_ARRIVAL = "at arrival"


class LendingDivision(Division):
    """Replay with one dispatcher for each zone.

    Parameters
    ----------
    loans
        When a job goes to another zone.
    """

    def __init__(self, load: Load, skew: float, seed: int, loans: Loans):
        super().__init__(load, skew, seed, by_zone=True, notice_delay=0.0)
        self.loans = loans
        self.lent_jobs = 0
        self.generated_by_id = {each.job.id: each for each in self.jobs}
        if loans is Loans.TRANSFERS:
            self.clock.schedule(BEGIN, self.review)

    def route(self, generated: GeneratedJob) -> None:
        """Submit a job to its home zone, or to one that can start it at once."""
        home = self.home_by_job[generated.job.id]
        part = self.part_by_zone[home]
        if self.loans is Loans.AT_ARRIVAL:
            job = self.describe(part, generated)
            own = self.find_offers(part, job)
            zone = self.choose_zone(home, job)
            is_short = count_slots(own, job) < len(generated.work)
            if zone is not None and is_short:
                offers = self.find_offers(self.part_by_zone[zone], job)
                if count_slots(offers, job) >= len(generated.work):
                    self.lend(generated, zone)
                    return
        part.take(generated)

    def describe(self, part: PartRun, generated: GeneratedJob) -> StrandedJob:
        """Return a job that has not been submitted, for the rules of transfers."""
        (need,) = list_needs(part.state, generated.job)
        counts = {need: len(generated.work)}
        return StrandedJob(generated.job.id, counts, Fit.BUSY, self.clock.now, True)

    def find_offers(self, part: PartRun, job: StrandedJob) -> dict[Need, Offer]:
        """Return what a part has for the needs of a job."""
        rooms = RoomTable(part.state, self.clock.now)
        return {need: rooms.find_offer(need) for need in job.task_count_by_need}

    def choose_zone(self, home: ZoneId, job: StrandedJob) -> ZoneId | None:
        """Return the zone that a job goes to by the rules of transfers, if any."""
        others = [zone for zone in ZONES if zone != home]
        offers_by_group = {
            number: self.find_offers(self.part_by_zone[zone], job)
            for number, zone in enumerate(others)
        }
        group = assign_groups([job], offers_by_group).get(job.id)
        return None if group is None else others[group]

    def lend(self, generated: GeneratedJob, zone: ZoneId) -> None:
        """Submit a job to another zone, after the messages that this takes."""
        self.lent_jobs += 1
        other = self.part_by_zone[zone]
        at = self.clock.now + LOAN_DELAY
        self.clock.schedule(at, lambda: other.take(generated))

    def review(self) -> None:
        """Lend the jobs that may leave their zone by the rules of transfers."""
        for home, part in self.part_by_zone.items():
            update_stranded(part.state, self.clock.now)
            for job in list(part.state.transfers.stranded_by_id.values()):
                if may_leave(job, self.clock.now):
                    self.transfer(home, part, job)
        self.clock.schedule(self.clock.now + REVIEW_INTERVAL, self.review)

    def transfer(self, home: ZoneId, part: PartRun, job: StrandedJob) -> None:
        """Lend a stranded job if another zone has room for it."""
        zone = self.choose_zone(home, job)
        if zone is None:
            return
        part.handle(WithdrawSubmissions(job.id, EDGE, self.clock.now))
        self.lend(self.generated_by_id[job.id], zone)

    def summarize(self) -> DivisionOutcome:
        """Return the outcome of the replay."""
        outcome = super().summarize()
        outcome.lent_jobs = self.lent_jobs
        return outcome


def count_slots(offers: dict[Need, Offer], job: StrandedJob) -> int:
    """Return how many tasks of a job can start at once."""
    return sum(offers[need].slots for need in job.task_count_by_need)


def enlarge(load: Load) -> Load:
    """Return the load of a whole installation."""
    return replace(load, servers=load.servers * GROUPS, rate=load.rate * GROUPS)


def main() -> None:
    """Replay the loads and print the outcomes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", help="replay loads whose name contains this")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--skews", type=float, nargs="+", default=SKEWS)
    arguments = parser.parse_args()
    for load in DIVISION_LOADS:
        if arguments.only is not None and arguments.only not in load.name:
            continue
        whole = enlarge(load)
        print(f"-- whole {load.name}")
        undivided = Division(whole, SKEWS[0], arguments.seed, notice_delay=0.0)
        print(format_outcome("no zones", undivided.run()), flush=True)
        for skew in arguments.skews:
            print(f"-- whole {load.name}, demand 1 to {skew}")
            for loans in Loans:
                run = LendingDivision(whole, skew, arguments.seed, loans)
                name = f"loans: {loans.value}"
                print(format_outcome(name, run.run()), flush=True)


if __name__ == "__main__":
    main()
