"""Metrics of the daemon, rendered for Prometheus."""

from __future__ import annotations

from collections import defaultdict
from typing import TypeAlias

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

RESPONSE_BUCKETS = (0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0)  # seconds

_Series: TypeAlias = tuple[tuple[str, str], ...]

_DESCRIPTIONS_BY_NAME = {
    "admitted_share": "Share of the submissions that this leader admits.",
    "announcements": "Announcements of backend servers received here.",
    "bodies_refused": "Request bodies that were refused or dropped, by reason.",
    "calls_unanswered": "Unanswered calls to backend servers, by call and reaction.",
    "cancellations": "Cancellations of tasks sent, by backend server.",
    "configuration_bytes_sent": "Compressed bytes of configurations, by receiver.",
    "configuration_pieces_dropped": "Pieces of a configuration not used, by reason.",
    "configuration_transfer_seconds": "Time to fetch a large configuration.",
    "dispatches": "Batches of tasks sent, by backend server.",
    "ejections": "Ejections of backend servers.",
    "evacuated_zones": "Availability zones that are evacuated, as known here.",
    "connections_closed": "Connections of clients closed by this process, by reason.",
    "held_body_bytes": "Bytes charged for request bodies.",
    "jobs": "Ended jobs by class and status.",
    "late_outcomes": "Task outcomes that came after the end of their job.",
    "replies_dropped": "Replies that answer no pending request, by message and reason.",
    "messages_not_encoded": "Messages dropped as they cannot be encoded, by message.",
    "open_connections": "Open connections of clients.",
    "peer_messages_received": "Messages from other instances, by message.",
    "peer_messages_sent": "Messages to other instances, by message.",
    "peer_message_bytes_sent": "Bytes of messages to other instances, by message.",
    "ready": "Whether the last readiness check of this instance succeeded.",
    "submissions_shed": "Submissions refused because the leader is overloaded.",
    "submission_delay_seconds": "Delay of a submission before the leader, by stage.",
    "refusals_for_evacuation": "Jobs refused that may fit an evacuated zone.",
    "refusals": "Jobs that the pool refused, by class and reason.",
    "retries": "Tasks that were sent again, by class and outcome.",
    "stranded_jobs": "Jobs that cannot start in their group, up to 64 of a kind.",
    "starts_withheld": "Times that starts stopped as the view of the zones was old.",
    "tasks": "Ended tasks by class and outcome.",
    "transfer_notes_dropped": "Notes removed of jobs that another group has forgotten.",
    "unread_answer_bytes": "Bytes of answers that clients have not read.",
    "mailbox_messages": "Messages that wait for a controller.",
    "durable_job_seconds": "Time from submission to the end, by phase.",
    "durable_job_outcomes": "Durable jobs by class and outcome.",
    "durable_jobs_refused": "Refused durable jobs.",
    "reservations": "Reservations of room for durable tasks, by outcome and reason.",
    "run_wait_seconds": "Time from the submission of a job to the start of a task.",
    "jobs_transferred": "Jobs that went to another group, by whether it has them yet.",
    "runs_ended": "Ended runs of durable tasks, by how they ended.",
    "runs_listed_after_over": "Runs listed after they were counted as over, by reason.",
    "runs_ordered": "Runs of durable tasks that were ordered.",
    "link_messages": "Messages that wait to be sent to an instance.",
    "link_bytes_received": "Bytes from other instances.",
    "link_bytes_sent": "Bytes to other instances.",
    "live_instances": "Instances that this one hears, itself included.",
    "pool_backend_servers": "Backend servers that this instance leases.",
    "pool_slots": "Slots of the leased backend servers.",
    "pool_queued_jobs": "Jobs with tasks that wait for a slot.",
    "pool_queued_tasks": "Tasks that wait for a slot.",
    "pool_running_tasks": "Tasks that run on the leased backend servers.",
}


class Metrics:
    """All metrics of one process, by name.

    Counters are summed in plain dictionaries and copied to their collectors when the
    metrics are rendered, because a collector encodes the labels as JSON on each change.
    """

    def __init__(self) -> None:
        self._registry = Registry()
        self._totals_by_name: dict[str, dict[_Series, float]] = {}
        self._counters_by_name: dict[str, Counter] = {}
        self._gauges_by_name: dict[str, Gauge] = {}
        self._histograms_by_name: dict[str, Histogram] = {}
        self._response_seconds = Histogram(
            "boragetide_response_seconds",
            "Response time of submissions by class and status.",
            registry=self._registry,
            buckets=RESPONSE_BUCKETS,
        )

    def count(self, name: str, labels: dict[str, str], value: float = 1.0) -> None:
        """Add to a counter, which is created on first use."""
        totals = self._totals_by_name.get(name)
        if totals is None:
            totals = self._totals_by_name[name] = defaultdict(float)
        totals[tuple(labels.items())] += value

    def set_gauge(self, name: str, labels: dict[str, str], value: float) -> None:
        """Set a gauge, which is created on first use."""
        gauge = self._gauges_by_name.get(name)
        if gauge is None:
            gauge = self._gauges_by_name[name] = Gauge(
                f"boragetide_{name}", _describe(name), registry=self._registry
            )
        gauge.set(_escape(labels), value)

    def observe(self, name: str, labels: dict[str, str], seconds: float) -> None:
        """Add a duration to a histogram, which is created on first use."""
        histogram = self._histograms_by_name.get(name)
        if histogram is None:
            histogram = self._histograms_by_name[name] = Histogram(
                f"boragetide_{name}",
                _describe(name),
                registry=self._registry,
                buckets=RESPONSE_BUCKETS,
            )
        histogram.observe(_escape(labels), seconds)

    def observe_response(self, class_name: str, status: str, seconds: float) -> None:
        """Record the response time of one submission."""
        self._response_seconds.observe({"class": class_name, "status": status}, seconds)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in the Prometheus text format, and the HTTP headers."""
        for name, totals in self._totals_by_name.items():
            counter = self._counters_by_name.get(name)
            if counter is None:
                counter = self._counters_by_name[name] = Counter(
                    f"boragetide_{name}_total", _describe(name), registry=self._registry
                )
            for series, total in totals.items():
                counter.set(_escape(dict(series)), total)
        content, headers = render(self._registry, ["text/plain"])
        return content, dict(headers)


def _describe(name: str) -> str:
    return _DESCRIPTIONS_BY_NAME.get(name, name.replace("_", " "))


def _escape(labels: dict[str, str]) -> dict[str, str]:
    """Escape label values, because aioprometheus writes them unescaped."""
    return {
        key: str(value).replace("\\", r"\\").replace("\n", r"\n").replace('"', r"\"")
        for key, value in labels.items()
    }
