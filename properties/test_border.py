"""No entry makes a daemon fail: each one is used, refused or skipped by itself."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from boragetide.api import durable_models
from boragetide.api.durable_models import DurableJobBody, RunServerBody
from boragetide.api.models import parse_body
from boragetide.commands import PublishConfiguration
from boragetide.daemon.repeated_logs import FaultLog
from boragetide.durable import DurableJob
from boragetide.effects import ReadRuns, Reply, Send
from boragetide.links import durable_client
from boragetide.links.codec import Envelope, decode_body, encode_body
from boragetide.links.order_client import CallResponse
from boragetide.messages import (
    MembersChanged,
    Propose,
    ReadFailed,
    ReportServer,
    RunOrdered,
    RunsRead,
    SubmitDurableJob,
    Tick,
)
from boragetide.policy.fencing import make_fence
from boragetide.tests.conftest import System, call, make_settings
from boragetide.tests.durable_fixtures import (
    BEGIN,
    BORN,
    Leader,
    make_durable_job,
    make_report,
)
from boragetide.types import ClassTarget, DurableStarts, ReplyTo
from boragetide_platform import worker_client
from boragetide_platform.wire import (
    HeartbeatBody,
    WireError,
    decode,
    parse_configuration,
    to_classes,
    to_job,
    to_server_report,
)
from boragetide_platform.wire import JobBody as PlatformJobBody

ALLOWED = frozenset({200, 400, 404, 409, 413})


def build_values(floats: st.SearchStrategy[float]) -> st.SearchStrategy[Any]:
    """Build a strategy for JSON-like values."""
    return st.recursive(
        st.none() | st.booleans() | st.integers() | floats | st.text(max_size=20),
        lambda inner: (
            st.lists(inner, max_size=4)
            | st.dictionaries(st.text(max_size=5), inner, max_size=4)
        ),
        max_leaves=10,
    )


# These may contain NaN and infinities, with which no body is JSON.
json_values = build_values(st.floats())
valid_json_values = build_values(st.floats(allow_nan=False, allow_infinity=False))
job_ids = st.uuids().map(str)
tasks = st.fixed_dictionaries(
    {"payload": json_values},
    optional={
        "size": st.floats(0.01, 10) | json_values,
        "timeout": st.floats(0.01, 10) | json_values,
        "cores": st.floats(0, 4) | json_values,
        "memory": st.integers(0, 2**70) | json_values,
    },
)
jobs = st.fixed_dictionaries(
    {
        "id": job_ids | json_values,
        "class": st.just("default") | json_values,
        "tasks": st.lists(tasks, max_size=4) | json_values,
    },
    optional={"team": json_values},
)
requests = st.fixed_dictionaries(
    {
        "id": job_ids,
        "class": st.just("default"),
        "payload": json_values,
        "idempotent": st.booleans() | json_values,
    },
    optional={"timeout": st.floats(0.01, 10) | json_values},
)
servers = st.fixed_dictionaries(
    {
        "address": st.just("http://127.0.0.1:9") | json_values,
        "availability_zone": st.just("a") | json_values,
        "slots": st.just(0) | json_values.filter(lambda value: value != 1),
    },
    optional={"rack": json_values, "memory": json_values, "leaving": json_values},
)


GOOD_HEARTBEAT = {
    "service": "pool",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "state": "ready",
    "capacity": {"cpu": 64_000, "mem_mb": 32_768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 482_113,
    "seq": 4,
    "born": 1_796_383_723_336,
}
extremes = st.sampled_from(
    [-1, 0, 2**53 + 1, 2**63, 2**64, -(2**63) - 1, 10**30, -1e-9, 1e300, "9" * 5000]
)
odd_values = st.booleans().flatmap(lambda odd: extremes if odd else json_values)


@st.composite
def nearly_valid(draw: st.DrawFn, good: dict[str, Any]) -> dict[str, Any]:
    """Draw a body of which one or two fields are changed, missing or unknown."""
    body = dict(good)
    names = st.sampled_from([*good, "unknown"])
    for name in draw(st.lists(names, min_size=1, max_size=2)):
        if isinstance(good.get(name), dict) and draw(st.booleans()):
            body[name] = draw(nearly_valid(good[name]))
        elif draw(st.integers(0, 9)) or name not in body:
            body[name] = draw(odd_values)
        else:
            del body[name]
    return body


def encode_deeply_nested(name: str, good: dict[str, Any]) -> bytes:
    """Encode a body of which one field is nested too deeply for any decoder."""
    text = json.dumps({**good, name: None})
    return text.replace("null", "[" * 100_000 + "]" * 100_000).encode()


def deeply_nested(good: dict[str, Any]) -> st.SearchStrategy[bytes]:
    """Draw a field of a body that is nested too deeply for any decoder."""
    names = st.sampled_from([*good, "unknown"])
    return names.map(lambda name: encode_deeply_nested(name, good))


def check_messages_can_be_sent(leader: Leader) -> None:
    """Check that another member reads what the last message caused to be sent."""
    for effect in leader.effects:
        if isinstance(effect, Send | Reply):
            kind = type(effect.message).__name__
            body = encode_body(effect.message)
            envelope = Envelope("a1", 1, "dispatcher", 0, kind, body)
            assert decode_body(envelope) == effect.message


def make_leader() -> Leader:
    """Build a dispatcher that leads three members."""
    leader = Leader(make_settings("a1", {"a1": "a", "a2": "a", "a3": "a"}))
    leader.handle(MembersChanged(("a1", "a2", "a3")))
    leader.lead()
    return leader


def announce(leader: Leader, server_id: str, body: bytes) -> bool:
    """Deliver an announcement to a leader; return whether it was accepted."""
    try:
        report = to_server_report(decode(body, HeartbeatBody), server_id)
    except WireError:
        return False
    leader.handle(ReportServer(report=report))
    check_messages_can_be_sent(leader)
    return True


@example(body=json.dumps({**GOOD_HEARTBEAT, "born": 2**70}).encode(), server_id="i1")
@given(
    body=nearly_valid(GOOD_HEARTBEAT).map(lambda v: json.dumps(v).encode())
    | deeply_nested(GOOD_HEARTBEAT)
    | st.binary(max_size=100),
    server_id=st.just("i1") | st.text(max_size=300),
)
def test_odd_announcement_costs_only_itself(body: bytes, server_id: str) -> None:
    """Guards against an entry of a worker that ends each process that passes it on."""
    leader = make_leader()
    announce(leader, server_id, body)
    assert announce(leader, "good", json.dumps(GOOD_HEARTBEAT).encode())
    assert "good" in leader.state.servers_by_id
    leader.list_runs("good", born=GOOD_HEARTBEAT["born"])
    for later in (1.0, 3.0, 4.5, 40.0):
        leader.handle(Tick(), BEGIN + later)
        check_messages_can_be_sent(leader)


class ScriptedClient:
    """Answers each call of an order with a fixed body."""

    def __init__(self, body: bytes, status: int = 200):
        self.response = CallResponse(status, body)

    async def post(self, *arguments: Any, **options: Any) -> CallResponse:
        """Return the answer."""
        return self.response


PLATFORM_END = [58, "j1.0.0.0", 1, "done", ""]
OWN_END = {
    "number": 58,
    "job": "j1",
    "step": 0,
    "index": 0,
    "run": 1,
    "reason": "done",
}
GOOD_LISTS = {
    worker_client: {
        "clock_ms": 482_113,
        "born": 1_796_383_723_336,
        "running": [["j1.0.0.1", 1, "00000bb87a21d94b", 41, 8]],
        "ended": [PLATFORM_END],
    },
    durable_client: {
        "clock": 482.113,
        "born": 1_796_383_723_336,
        "running": [{"job": "j1", "step": 0, "index": 1, "run": 1}],
        "ended": [OWN_END],
    },
}
odd_cells = extremes | valid_json_values
odd_rows = (
    odd_cells
    | st.tuples(odd_cells, odd_cells, odd_cells, odd_cells)
    | st.tuples(odd_cells, st.just("j1.0.0.1"), odd_cells, odd_cells)
    | st.tuples(st.just("j1.0.0.1"), odd_cells, odd_cells, odd_cells)
    | st.fixed_dictionaries(
        {name: st.just(OWN_END[name]) | odd_cells for name in OWN_END}
    )
)


def read_list(client: Any, body: bytes) -> RunsRead | ReadFailed:
    """Return what a client reads from an answer of the backend server s1."""
    order = ReadRuns("s1", "127.0.0.1:9", make_fence(1, 0), 0, None, 0.0)
    return asyncio.run(client.send_order(order, ScriptedClient(body), FaultLog()))


def start_job(client: Any) -> Leader:
    """Build a leader that has started the two tasks of job j1 on the server s1."""
    leader = make_leader()
    leader.handle(ReportServer(report=make_report(born=GOOD_HEARTBEAT["born"])))
    leader.list_runs(born=GOOD_HEARTBEAT["born"])
    job = make_durable_job(best_effort=True)
    leader.handle(SubmitDurableJob(job=job, reply_to=ReplyTo("e1", 7)))
    assert len(leader.starts()) == 2
    return leader


@pytest.mark.parametrize("client", GOOD_LISTS, ids=lambda each: each.__name__)
@given(data=st.data())
def test_odd_row_of_a_list_costs_only_itself(client: Any, data: st.DataObject) -> None:
    """Guards against a row that ends the leader, or that hides the other rows."""
    body = json.loads(json.dumps(GOOD_LISTS[client]))
    for name in ("running", "ended"):
        odd = data.draw(st.lists(odd_rows, max_size=2))
        body[name] = data.draw(st.permutations([*body[name], *odd]))
    leader = start_job(client)
    answer = read_list(client, json.dumps(body).encode())
    assert isinstance(answer, RunsRead)
    leader.handle(replace(answer, sent_at=BEGIN), BEGIN + 0.01)
    check_messages_can_be_sent(leader)
    assert leader.state.records_by_id["j1"].done == {0}
    for later in (1.0, 2.0, 4.5):
        leader.handle(Tick(), BEGIN + later)
        check_messages_can_be_sent(leader)


@pytest.mark.parametrize("client", GOOD_LISTS, ids=lambda each: each.__name__)
@given(data=st.data())
def test_odd_list_of_runs_is_an_answer_or_none(
    client: Any, data: st.DataObject
) -> None:
    """Guards against an answer after which the runs of a server are never read."""
    good = GOOD_LISTS[client]
    encoded = nearly_valid(good).map(lambda value: json.dumps(value).encode())
    body = data.draw(encoded | deeply_nested(good) | st.binary(max_size=100))
    leader = start_job(client)
    leader.handle(read_list(client, body), BEGIN + 0.01)
    check_messages_can_be_sent(leader)
    leader.handle(Tick(), BEGIN + 1.0)
    assert leader.state.servers_by_id["s1"].reading


@pytest.mark.parametrize("client", GOOD_LISTS, ids=lambda each: each.__name__)
@given(data=st.data(), status=st.sampled_from([200, 409]))
def test_odd_answer_to_an_order_is_a_result(
    client: Any, data: st.DataObject, status: int
) -> None:
    """Guards against a start whose odd answer is never reported to the leader."""
    names = {"clock_ms": 482_113, "clock": 482.113, "reason": "old", "result": "late"}
    encoded = nearly_valid(names).map(lambda value: json.dumps(value).encode())
    body = data.draw(encoded | deeply_nested(names) | st.binary(max_size=100))
    leader = start_job(client)
    (order, _) = leader.starts()
    scripted = ScriptedClient(body, status)
    answer = asyncio.run(client.send_order(order, scripted, FaultLog()))
    assert isinstance(answer, RunOrdered)
    for later in (0.01, 1.0, 4.5):
        leader.handle(answer if later < 1.0 else Tick(), BEGIN + later)
        check_messages_can_be_sent(leader)


@pytest.fixture(scope="module")
def installation(tmp_path_factory: pytest.TempPathFactory) -> Iterator[System]:
    """Start two daemons, so that bodies also pass the codec between instances."""
    system = System(tmp_path_factory.mktemp("border"))
    system.start({"a1": "a", "a2": "a"})
    system.add_server("s1", "a", speed=1000.0)
    yield system
    system.close()


def check_response(system: System, method: str, path: str, body: Any) -> None:
    """Send a body to the instance that is not the placer, and check the response."""
    daemon = system.daemons_by_id["a2"]
    code, answer = call(method, daemon.url + path, body, timeout=20.0)
    assert code in ALLOWED, (code, answer)
    # Two examples may draw the same id with different payloads.
    assert code != 409 or "another job with other payloads" in answer["error"]
    assert code == 200 or (answer["status"] == "not_run" and answer["error"])
    for each in system.daemons_by_id.values():
        assert "Traceback" not in each.log.read_text()


@given(body=st.binary(max_size=200) | json_values.map(lambda v: json.dumps(v).encode()))
def test_any_bytes_are_refused(installation: System, body: bytes) -> None:
    """Guards against bodies that cause an unhandled exception, not a refusal."""
    check_response(installation, "POST", "/v1/jobs", body)


@given(body=jobs)
def test_nearly_valid_jobs_are_answered(installation: System, body: Any) -> None:
    """Guards against values that pass validation but fail in later processing."""
    check_response(installation, "POST", "/v1/jobs", body)


@given(body=requests)
def test_nearly_valid_requests_are_answered(installation: System, body: Any) -> None:
    """Guards against values that pass validation but fail in later processing."""
    check_response(installation, "POST", "/v1/requests", body)


GOOD_SERVER = {
    "address": "http://127.0.0.1:9",
    "pool": "pool",
    "availability_zone": "a",
    "cores": 64.0,
    "memory": 1 << 37,
    "labels": ["rack-1"],
    "leaving": False,
    "born": BORN,
    "sequence": 12,
    "clock": 8132.25,
}
GOOD_JOB = {
    "id": "j1",
    "class": "proofs",
    "spec": "bottle 4",
    "steps": [{"count": 2, "cores": 4.0, "memory": 1 << 20, "estimate": 0.5}],
    "best_effort": True,
}


def list_events(system: System, event: str) -> int:
    """Count the lines of an event in the log of the instance that is asked."""
    return system.daemons_by_id["a2"].log.read_text().count(f"event={event} ")


@pytest.mark.parametrize(
    "changes",
    [
        {"born": 2**63},
        {"sequence": 2**64},
        {"clock": -1.0},
        {"clock": 1e300},
        {"address": "http://127.0.0.1:808080"},
        {"address": "http://127.0.0.1:0"},
    ],
)
def test_run_server_out_of_range_is_refused_and_logged_once(
    installation: System, changes: dict[str, Any]
) -> None:
    """Guards against an announcement that ends each instance that passes it on."""
    url = installation.daemons_by_id["a2"].url + "/v1/run-servers/s9"
    before = list_events(installation, "entry_refused")
    for _ in range(3):
        assert call("PUT", url, {**GOOD_SERVER, **changes}, timeout=20.0)[0] == 400
    assert call("PUT", url, GOOD_SERVER, timeout=20.0)[0] == 200
    assert list_events(installation, "entry_refused") <= before + 1


def test_odd_departures_are_refused(installation: System) -> None:
    """Guards against ids and times that are validated in a body but not in a URL."""
    servers_url = installation.daemons_by_id["a2"].url + "/v1/run-servers"
    odd = ["s9?born=999999999999999999", "s9?born=-1", "s9?born=x", "s%0A9", "s" * 201]
    for path in odd:
        code, answer = call("DELETE", f"{servers_url}/{path}", timeout=20.0)
        assert code == 400, (path, answer)


@given(body=nearly_valid(GOOD_SERVER))
def test_odd_run_server_costs_only_itself(body: dict[str, Any]) -> None:
    """Guards against an announcement that cannot be sent to the other members."""
    leader = make_leader()
    parsed = parse_body(RunServerBody, json.dumps(body).encode())
    if parsed.is_ok():
        report = durable_models.to_server_report("i1", parsed.ok)
        leader.handle(ReportServer(report=report))
        check_messages_can_be_sent(leader)
    leader.join("good")
    for later in (1.0, 3.0, 4.5, 40.0):
        leader.handle(Tick(), BEGIN + later)
        check_messages_can_be_sent(leader)


@given(
    body=nearly_valid(GOOD_JOB),
    step=st.none() | nearly_valid(GOOD_JOB["steps"][0]),
    best_effort=st.booleans(),
)
def test_odd_durable_job_costs_only_itself(
    body: dict[str, Any], step: dict[str, Any] | None, best_effort: bool
) -> None:
    """Guards against a job that ends the leader or that cannot be stored."""
    leader = make_leader()
    leader.join()
    body = {**body, "best_effort": best_effort}
    if step is not None:
        body["steps"] = [step]
    parsed = parse_body(DurableJobBody, json.dumps(body).encode())
    if parsed.is_ok():
        target = ClassTarget("proofs", 0.06, durable=DurableStarts("pool"))
        job = durable_models.to_durable_job(parsed.ok, target, BEGIN)
        check_job_can_be_served(leader, job)


def check_job_can_be_served(leader: Leader, job: DurableJob) -> None:
    """Submit a job, and check all messages that follow from it."""
    leader.handle(SubmitDurableJob(job=job, reply_to=ReplyTo("a2", 7)))
    check_messages_can_be_sent(leader)
    for later in (1.0, 4.5):
        leader.handle(Tick(), BEGIN + later)
        check_messages_can_be_sent(leader)


PLATFORM_STEP = {
    "count": 2,
    "cpu": 500,
    "mem_mb": 256,
    "gpu": 0,
    "estimate_ms": 900,
    "depends_on": [],
    "required_label": "",
    "data_rack": "r1-3",
    "max_per_server": 1,
}
PLATFORM_JOB = {"spec": "text", "steps": [PLATFORM_STEP], "best_effort": True}


@given(
    body=nearly_valid(PLATFORM_JOB) | st.just(PLATFORM_JOB),
    step=st.none() | nearly_valid(PLATFORM_STEP),
)
def test_odd_job_of_the_platform_costs_only_itself(
    body: dict[str, Any], step: dict[str, Any] | None
) -> None:
    """Guards against a job that ends the leader or that cannot be stored."""
    leader = make_leader()
    leader.join()
    if step is not None:
        body = {**body, "steps": [PLATFORM_STEP, step]}
    target = ClassTarget("proofs", 0.06, durable=DurableStarts("pool"))
    try:
        job = to_job(
            decode(json.dumps(body).encode(), PlatformJobBody), "j", target, BEGIN
        )
    except WireError:
        return
    check_job_can_be_served(leader, job)


ROUTE = {
    "name": "r",
    "host": "nony24.example",
    "path_prefix": "/p/",
    "timeout_ms": 1500,
    "target_latency_ms": 60,
    "priority": 0,
    "service": "s",
    "attempts": 4,
    "stretch": 1.6,
}
CONFIGURATION = {"version": 7, "routes": [ROUTE], "services": [{"name": "s"}]}


@given(
    body=nearly_valid(CONFIGURATION) | st.just(CONFIGURATION),
    route=st.none() | nearly_valid(ROUTE),
)
def test_odd_configuration_can_be_stored_or_is_refused(
    body: dict[str, Any], route: dict[str, Any] | None
) -> None:
    """Guards against a configuration that ends each member that stores it."""
    body = body if route is None else {**body, "routes": [route]}
    text = json.dumps(body).encode()
    try:
        configuration = parse_configuration(text)
    except WireError:
        return
    classes = to_classes(configuration)
    command = PublishConfiguration(configuration.version, classes, text.decode())
    proposal = Propose(command=command, command_id="revision")
    envelope = Envelope("a1", 1, "configuration", 0, "Propose", encode_body(proposal))
    assert decode_body(envelope) == proposal


@given(
    job_id=st.text(min_size=1, max_size=20), method=st.sampled_from(["GET", "DELETE"])
)
def test_any_job_id_in_a_path_is_answered(
    installation: System, job_id: str, method: str
) -> None:
    """Guards against job ids that are validated in a body but not in a path."""
    path = "".join(f"%{byte:02x}" for byte in job_id.encode())
    url = f"{installation.daemons_by_id['a2'].url}/v1/jobs/{path}"
    code, answer = call(method, url, timeout=20.0)
    assert code in {400, 404}, (code, answer)


@given(body=json_values.filter(lambda value: value != {}))
def test_bad_requests_for_ids_are_refused(installation: System, body: Any) -> None:
    """Guards against counts that make a daemon generate ids without a limit."""
    check_response(installation, "POST", "/v1/job-ids", body)


@given(body=servers, server_id=st.text(min_size=1, max_size=10))
def test_bad_announcements_are_refused(
    installation: System, body: Any, server_id: str
) -> None:
    """Guards against announcements that add an invalid record to a pool."""
    path = "".join(f"%{byte:02x}" for byte in server_id.encode("utf-8"))
    check_response(installation, "PUT", f"/v1/backend-servers/{path}", body)
