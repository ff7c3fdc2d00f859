"""Requests of operators and backend servers at an instance without the log."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import pytest

from boragetide.commands import CommandStatus, PublishConfiguration
from boragetide.controllers import configuration
from boragetide.daemon.clock import read_clock
from boragetide.errors import PeerUnreachable, ReplyTimeout, RequestError
from boragetide.filters.durable import TAKEOVER_TIME
from boragetide.filters.leader_calls import call_leader, choose_route
from boragetide.messages import (
    CommandOutcome,
    ConfigurationRead,
    FindLeader,
    LeaderFound,
    PackedProposal,
    Propose,
    ReadConfiguration,
    RemoveServer,
    ReportServer,
    ServerReported,
)
from boragetide.messages.replies import can_answer
from boragetide.packed_proposals import unpack_proposal
from boragetide.settings import Peer, Settings
from boragetide.tests.durable_fixtures import BEGIN, make_report
from boragetide.tests.slow_link import make_classes, make_document
from boragetide.types import Address, Configuration, ReplyTo, Status

TIMEOUT = 0.5  # seconds
CLOCK_OFFSET = -3.0  # seconds
ACCEPTED = CommandOutcome(CommandStatus.ACCEPTED, 3)
PROPOSAL = Propose(PublishConfiguration(3, (), "{}"), "revision 3")
LEAVING = ReportServer(report=make_report("s1", draining=True))


@dataclass
class ScriptedRuntime:
    """Answers for the directory and for the leaders that a script names in turn.

    A step is the leader and its reply; an error as the reply is raised. After the last
    step no leader is known, and it was lost ``lost_for`` ago. ``held`` has the
    configurations that the directory has with each step.
    """

    settings: Settings
    steps: list[tuple[str, Any]]
    lost_for: float = TAKEOVER_TIME + 1.0
    asked: list[tuple[Address, Any]] = field(default_factory=list)
    held: list[Configuration | None] = field(default_factory=list)

    def local(self, controller: str) -> Address:
        """Address of a controller of this instance."""
        return Address(self.settings.id, controller)

    async def ask(self, to: Address, message: Any, timeout: float) -> Any:
        """Return the leader of the next step, or that leader's reply."""
        if isinstance(message, FindLeader):
            leader = self.steps[0][0] if self.steps else None
            held = self.held.pop(0) if self.held else None
            return LeaderFound(leader, held, False, self.lost_for, 1, CLOCK_OFFSET)
        self.asked.append((to, message))
        _, reply = self.steps.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply


@pytest.fixture
def run(settings: Settings) -> Callable[..., tuple[Any, ScriptedRuntime]]:
    """Return a function that sends a request through an instance without the log."""
    peers = {**settings.peers_by_id, "e1": Peer("e1", "a", "", "", disk=False)}
    edge = replace(settings, id="e1", peers_by_id=peers, controllers=("directory",))

    def run(message: Any, *steps: tuple[str, Any]) -> tuple[Any, ScriptedRuntime]:
        runtime = ScriptedRuntime(edge, list(steps))
        route = choose_route(runtime)
        return asyncio.run(call_leader(route, message, TIMEOUT)), runtime

    return run


@pytest.mark.parametrize("first", [PeerUnreachable("not sent"), ReplyTimeout("lost")])
def test_next_leader_is_asked(run: Any, first: Exception) -> None:
    """Guards against an operator who must find a live leader."""
    outcome, runtime = run(PROPOSAL, ("a1", first), ("a2", ACCEPTED))
    assert outcome is ACCEPTED
    assert [to for to, _ in runtime.asked] == [
        Address("a1", "configuration"),
        Address("a2", "configuration"),
    ]


@pytest.mark.parametrize(
    ("steps", "status"),
    [
        ([], Status.NOT_RUN),
        ([("a1", PeerUnreachable("not sent"))], Status.NOT_RUN),
        ([("a1", ReplyTimeout("lost"))], Status.UNKNOWN),
    ],
)
def test_refusal_without_a_leader_is_true(run: Any, steps: Any, status: Status) -> None:
    """Guards against "not run" for a change that a leader may have received."""
    begun = read_clock()
    with pytest.raises(RequestError) as refusal:
        run(PROPOSAL, *steps)
    assert (refusal.value.status, refusal.value.http_status) == (status, 503)
    assert read_clock() - begun < TIMEOUT, "what cannot succeed is refused at once"


def test_read_is_repeated_until_a_leader_has_authority(run: Any) -> None:
    """Guards against 503 or an old configuration during an election."""
    newest = ConfigurationRead(Configuration(version=4), "a2")
    found, _ = run(
        ReadConfiguration(), ("a1", ConfigurationRead(None, None)), ("a2", newest)
    )
    assert found is newest


def test_announcement_is_dated_on_the_clock_of_the_leader(run: Any) -> None:
    """Guards against an old capacity that counts as new after a slow link."""
    begun = read_clock()
    report = ReportServer(report=make_report("s1"))
    _, runtime = run(report, ("a1", ServerReported(True)))
    (to, message), *_ = runtime.asked
    assert to == Address("a1", "dispatcher")
    assert 0.0 <= message.heard_at - (begun + CLOCK_OFFSET) < TIMEOUT
    assert message.find_age(message.heard_at + 1.5) == pytest.approx(1.5)


def test_only_the_leader_acknowledges_a_leaving_server(run: Any) -> None:
    """Guards against starts at a backend server whose notice reached no leader."""
    reported, _ = run(
        LEAVING, ("a1", ServerReported(False)), ("a2", ServerReported(True))
    )
    assert reported.by_leader
    reported, _ = run(LEAVING, ("a1", ServerReported(False)))
    assert not reported.by_leader


def test_member_asks_its_own_controllers_first(settings: Settings) -> None:
    """Guards against a needless hop for each announcement."""
    dispatching = replace(settings, controllers=("configuration", "dispatcher"))
    runtime = ScriptedRuntime(dispatching, [("a1", ServerReported(False))])
    message = RemoveServer(id="s1")
    asyncio.run(call_leader(choose_route(runtime), message, TIMEOUT))
    assert runtime.asked == [(Address("a1", "dispatcher"), message)]


def test_member_passes_a_leaving_server_on_to_the_leader(settings: Settings) -> None:
    """Guards against a notice that ends at a member that does not lead."""
    dispatching = replace(settings, controllers=("configuration", "dispatcher"))
    steps = [
        ("a1", ServerReported(False)),
        ("a1", ConfigurationRead(None, "a2")),
        ("a2", ServerReported(True)),
    ]
    runtime = ScriptedRuntime(dispatching, steps)
    reported = asyncio.run(call_leader(choose_route(runtime), LEAVING, TIMEOUT))
    assert reported.by_leader
    assert runtime.asked[-1] == (Address("a2", "dispatcher"), LEAVING)


def test_read_sends_no_content_that_the_instance_has(settings: Settings) -> None:
    """Guards against a whole copy on the link for each read of a configuration."""
    peers = {**settings.peers_by_id, "e1": Peer("e1", "a", "", "", disk=False)}
    edge = replace(settings, id="e1", peers_by_id=peers, controllers=("directory",))
    older, newest = Configuration(version=3), Configuration(version=4)
    named = ConfigurationRead(None, "a1", version=4)
    runtime = ScriptedRuntime(edge, [("a1", named)] * 3, held=[None, older, newest])
    message = ReadConfiguration()
    found = asyncio.run(call_leader(choose_route(runtime), message, TIMEOUT))
    assert found.configuration is newest
    assert [asked.held for _, asked in runtime.asked] == [-1, 3, 4]


def test_large_configuration_is_proposed_in_compressed_form(run: Any) -> None:
    """Guards against a proposal that occupies a slow link until it is sent again."""
    document = make_document(5, 290_000)
    command = PublishConfiguration(5, make_classes(1400, 5), document)
    outcome, runtime = run(Propose(command, "c5"), ("a1", ACCEPTED))
    assert outcome is ACCEPTED
    ((to, message),) = runtime.asked
    assert to == Address("a1", "configuration")
    assert len(message.data) < 0.2 * len(document)
    assert can_answer(ACCEPTED, message)
    assert unpack_proposal(message) == Propose(command, "c5")


@pytest.mark.parametrize("data", [b"", b"x", zlib.compress(b"x")])
def test_damaged_proposal_is_refused(settings: Settings, data: bytes) -> None:
    """Guards against a member that ends because of what it received."""
    state = configuration.make_state(settings, 1, ())
    message = PackedProposal(data=data, reply_to=ReplyTo("e1", 1))
    (event,) = configuration.handle(message, state, BEGIN)
    assert event.event == "proposal_refused"
