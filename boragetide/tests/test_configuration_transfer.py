"""Pieces of a configuration: which are used, and what is requested next."""

from __future__ import annotations

import os
import subprocess
import sys
from dataclasses import replace

import pytest

from boragetide import configuration_content
from boragetide.configuration_content import (
    MAX_NOTICE_CONTENT,
    ContentCache,
    PackedConfiguration,
    unpack,
)
from boragetide.controllers import configuration, directory
from boragetide.controllers.directory import ASK_INTERVAL
from boragetide.effects import Effect, LogEvent, Reconnect, Send
from boragetide.errors import ContentError
from boragetide.log_records import Ballot
from boragetide.messages import (
    ConfigurationOffered,
    ConfigurationPiece,
    FetchConfigurationPiece,
    FollowLeader,
    LeaderNotice,
    NewerConfiguration,
    ReadConfiguration,
    RequestConfiguration,
    Tick,
)
from boragetide.policy.configuration_transfer import (
    MAX_COMPRESSED,
    MAX_PIECE_WAIT,
    PIECE_BYTES,
    PIECE_WAIT,
    WAIT_JITTER,
    ConfigurationTransfer,
    begin_transfer,
    check_transfer,
    receive_piece,
    send_piece,
)
from boragetide.policy.distribution import put_in_force
from boragetide.policy.link_health import LINK_SILENCE
from boragetide.policy.replica import Progress, Replica, Role
from boragetide.settings import Settings
from boragetide.tests.durable_fixtures import BEGIN
from boragetide.tests.slow_link import make_classes, make_document
from boragetide.types import Address, Configuration, ReplyTo

HELD = 1
MEMBERS = ("a1", "a2", "a3")
LATE = PIECE_WAIT * (1 + WAIT_JITTER) + 0.001  # seconds


def make_configuration(
    version: int, size: int = 290_000, count: int = 1400
) -> Configuration:
    """Return a configuration, by default one of three pieces or more."""
    classes = {each.name: each for each in make_classes(count, version)}
    document = make_document(version, size)
    return Configuration(version, classes, frozenset({"s1"}), version, document)


class Member:
    """A member that has a configuration in force."""

    def __init__(self, id_: str, in_force: Configuration) -> None:
        self.id = id_
        self.in_force = in_force
        self.content = ContentCache()

    def answer(self, request: FetchConfigurationPiece) -> ConfigurationPiece:
        """Return the answer to a request."""
        effects = send_piece(self.content, self.in_force, request, self.id)
        return effects[-1].message


@pytest.fixture
def transfer() -> ConfigurationTransfer:
    """A transfer to the directory of an entry instance."""
    return ConfigurationTransfer(Address("e1", "directory"))


@pytest.fixture(scope="module")
def members() -> list[Member]:
    """Members that have the same configuration, of version 2."""
    return [Member(id_, make_configuration(2)) for id_ in MEMBERS]


def find_request(effects: list[Effect]) -> Send | None:
    """Return the request for a piece among some effects."""
    sent = [each for each in effects if isinstance(each, Send)]
    requests = (e for e in sent if isinstance(e.message, FetchConfigurationPiece))
    return next(requests, None)


def find_reason(effects: list[Effect]) -> str | None:
    """Return why a piece was dropped."""
    (event,) = [each for each in effects if isinstance(each, LogEvent)]
    assert event.event == "configuration_piece_dropped"
    return event.fields["reason"]


def begin(transfer: ConfigurationTransfer, sender: str = "a1") -> Send:
    """Begin to fetch version 2."""
    return find_request(begin_transfer(transfer, 2, sender, HELD, BEGIN))


def test_content_arrives_in_pieces_one_at_a_time(
    transfer: ConfigurationTransfer, members: list[Member]
) -> None:
    """Guards against content that is changed or cut on its way."""
    request = begin(transfer)
    pieces = 0
    completed = None
    while request is not None:
        assert request.to == Address("a1", "configuration")
        piece = members[0].answer(request.message)
        assert len(piece.data) <= PIECE_BYTES
        completed, effects = receive_piece(transfer, piece, HELD, BEGIN)
        request = find_request(effects)
        pieces += 1
    assert pieces > 2
    assert completed == members[0].in_force
    assert not transfer.in_progress


def test_configuration_that_is_on_its_way_is_not_requested_again(
    transfer: ConfigurationTransfer, members: list[Member]
) -> None:
    """Guards against copies because of each notice that names the newer version."""
    request = begin(transfer)
    assert begin_transfer(transfer, 2, "a2", HELD, BEGIN + 0.1) == []
    receive_piece(transfer, members[0].answer(request.message), HELD, BEGIN + 0.2)
    assert begin_transfer(transfer, 2, "a3", HELD, BEGIN + 0.2) == []
    assert check_transfer(transfer, MEMBERS, BEGIN + 0.2 + PIECE_WAIT / 2) == []


def test_another_member_continues_from_the_offset_reached(
    transfer: ConfigurationTransfer, members: list[Member]
) -> None:
    """Guards against a transfer that begins anew, or ends, with a lost member."""
    request = begin(transfer)
    piece = members[0].answer(request.message)
    receive_piece(transfer, piece, HELD, BEGIN)
    request = find_request(check_transfer(transfer, MEMBERS, BEGIN + LATE))
    assert request.to == Address("a2", "configuration")
    assert request.message.offset == len(piece.data)
    completed = None
    while completed is None:
        piece = members[1].answer(request.message)
        completed, effects = receive_piece(transfer, piece, HELD, BEGIN + LATE)
        request = find_request(effects)
    assert completed == members[0].in_force


def test_waits_grow_and_differ_between_instances() -> None:
    """Guards against instances that ask the next member all at once, or for ever."""
    waits = []
    for _ in range(20):
        transfer = ConfigurationTransfer(Address("e1", "directory"))
        begin(transfer)
        now, own = BEGIN, []
        for _ in range(6):
            own.append(transfer.due - now)
            now = transfer.due
            check_transfer(transfer, MEMBERS, now)
        waits.append(own)
    assert len({own[0] for own in waits}) > 1
    assert all(own[0] <= PIECE_WAIT * (1 + WAIT_JITTER) for own in waits)
    assert all(own[-1] >= MAX_PIECE_WAIT * (1 - WAIT_JITTER) for own in waits)
    assert max(map(max, waits)) <= MAX_PIECE_WAIT * (1 + WAIT_JITTER)


def test_piece_on_a_very_slow_link_is_requested_once(
    transfer: ConfigurationTransfer, members: list[Member]
) -> None:
    """Guards against copies of each piece where one takes longer than the wait."""
    slow = 0.7  # seconds for a piece
    now, requests, completed = BEGIN, 1, None
    arrivals = [(now + slow, begin(transfer))]
    while completed is None:
        arrivals.sort(key=lambda each: each[0])
        if transfer.due < arrivals[0][0]:
            now = transfer.due
            effects = check_transfer(transfer, MEMBERS, now)
        else:
            now, request = arrivals.pop(0)
            piece = members[0].answer(request.message)
            completed, effects = receive_piece(transfer, piece, HELD, now)
        for each in effects:
            if isinstance(each, Send):
                arrivals.append((now + slow, each))
                requests += 1
    pieces = -(-len(members[0].content.pack(members[0].in_force).data) // PIECE_BYTES)
    assert requests == pieces + 1


def test_time_lost_on_one_member_does_not_delay_the_next_loss(
    transfer: ConfigurationTransfer, members: list[Member]
) -> None:
    """Guards against longer waits on a fast link after members were lost."""
    begin(transfer)
    for _ in range(2):
        now = transfer.due
        request = find_request(check_transfer(transfer, MEMBERS, now))
    assert request.to.instance == "a3"
    now += 0.02
    receive_piece(transfer, members[2].answer(request.message), HELD, now)
    assert transfer.slowest == pytest.approx(0.02)
    assert transfer.due - now <= PIECE_WAIT * (1 + WAIT_JITTER)


def test_older_piece_after_a_newer_one_is_dropped(
    transfer: ConfigurationTransfer, members: list[Member]
) -> None:
    """Guards against a configuration that is put together from two versions."""
    request = begin(transfer)
    late = members[0].answer(request.message)
    newer = Member("a2", make_configuration(3))
    (_, request) = begin_transfer(transfer, 3, "a2", HELD, BEGIN)
    receive_piece(transfer, newer.answer(request.message), HELD, BEGIN)
    received = bytes(transfer.data)
    completed, effects = receive_piece(transfer, late, HELD, BEGIN)
    assert (completed, find_reason(effects)) == (None, "older_version")
    assert bytes(transfer.data) == received


def test_repeated_piece_is_dropped(
    transfer: ConfigurationTransfer, members: list[Member]
) -> None:
    """Guards against bytes that are added twice."""
    piece = members[0].answer(begin(transfer).message)
    receive_piece(transfer, piece, HELD, BEGIN)
    _, effects = receive_piece(transfer, piece, HELD, BEGIN)
    assert find_reason(effects) == "other_offset"
    assert find_request(effects) is None
    assert len(transfer.data) == len(piece.data)


@pytest.mark.parametrize(
    ("fields", "reason"),
    [
        ({"version": HELD}, "older_version"),
        ({"offset": 5}, "other_offset"),
        ({"data": b""}, "no_data"),
        ({"total": 10}, "no_data"),
        ({"total": MAX_COMPRESSED + 1}, "too_large"),
    ],
    ids=["held", "offset", "empty", "behind_the_end", "too_large"],
)
def test_piece_that_does_not_fit_is_dropped(
    transfer: ConfigurationTransfer,
    members: list[Member],
    fields: dict[str, object],
    reason: str,
) -> None:
    """Guards against memory and content that no member meant."""
    piece = replace(members[0].answer(begin(transfer).message), **fields)
    completed, effects = receive_piece(transfer, piece, HELD, BEGIN)
    assert (completed, find_reason(effects)) == (None, reason)
    assert len(transfer.data) == 0
    assert find_request(check_transfer(transfer, MEMBERS, BEGIN + LATE)) is not None


def test_piece_without_a_transfer_is_dropped(
    transfer: ConfigurationTransfer, members: list[Member]
) -> None:
    """Guards against answers to an earlier process of the instance."""
    piece = members[0].answer(FetchConfigurationPiece("e1", 2, "", 0))
    _, effects = receive_piece(transfer, piece, HELD, BEGIN)
    assert find_reason(effects) == "no_transfer"


def test_member_without_the_version_is_left_at_once(
    transfer: ConfigurationTransfer, members: list[Member]
) -> None:
    """Guards against waiting for a member that was restarted and has to catch up."""
    restarted = Member("a1", make_configuration(1, 100))
    piece = restarted.answer(begin(transfer).message)
    _, effects = receive_piece(transfer, piece, HELD, BEGIN + 0.01)
    assert find_reason(effects) == "older_version"
    request = find_request(check_transfer(transfer, MEMBERS, BEGIN + 0.06))
    assert request.to.instance == "a2"
    # It is left once for each piece, so that members that all lack the version are not
    # asked with every tick.
    lacking = Member("a2", restarted.in_force).answer(request.message)
    receive_piece(transfer, lacking, HELD, BEGIN + 0.07)
    assert check_transfer(transfer, MEMBERS, BEGIN + 0.12) == []


def test_member_with_a_newer_version_sends_that(
    transfer: ConfigurationTransfer,
) -> None:
    """Guards against a version that nobody has any more after the next change."""
    newest = Member("a1", make_configuration(5))
    request: Send | None = begin(transfer)
    completed = None
    while completed is None:
        piece = newest.answer(request.message)
        completed, effects = receive_piece(transfer, piece, HELD, BEGIN)
        request = find_request(effects)
    assert completed == newest.in_force


def test_damaged_content_is_not_applied(
    transfer: ConfigurationTransfer, members: list[Member]
) -> None:
    """Guards against a configuration that no operator published."""
    request: Send | None = begin(transfer)
    effects: list[Effect] = []
    while request is not None:
        piece = members[0].answer(request.message)
        damaged = replace(piece, data=bytes(len(piece.data)))
        completed, effects = receive_piece(transfer, damaged, HELD, BEGIN)
        assert completed is None
        request = find_request(effects)
    (event,) = effects
    assert event.event == "configuration_content_refused"
    request = find_request(check_transfer(transfer, MEMBERS, BEGIN + LATE))
    assert (request.to.instance, request.message.offset) == ("a2", 0)


def test_content_of_another_build_counts_only_from_the_member_asked(
    transfer: ConfigurationTransfer, members: list[Member]
) -> None:
    """Guards against two members whose contents displace each other for ever."""
    first = members[0].answer(begin(transfer).message)
    receive_piece(transfer, first, HELD, BEGIN)
    other = replace(first, sender="a2", digest="other")
    _, effects = receive_piece(transfer, other, HELD, BEGIN)
    assert find_reason(effects) == "other_content"
    check_transfer(transfer, MEMBERS, BEGIN + LATE)
    receive_piece(transfer, other, HELD, BEGIN + LATE)
    assert (transfer.digest, len(transfer.data)) == ("other", len(other.data))


def test_content_is_the_same_in_all_processes() -> None:
    """Guards against members whose pieces do not fit together: sets have no order."""
    code = (
        "from boragetide.configuration_content import ContentCache\n"
        "from boragetide.types import Configuration\n"
        "drained = frozenset(f'server-{n}' for n in range(50))\n"
        "print(ContentCache().pack(Configuration(3, drained=drained)).digest)"
    )
    digests = {
        subprocess.run(
            [sys.executable, "-c", code],
            env={**os.environ, "PYTHONHASHSEED": seed},
            capture_output=True,
            check=True,
            text=True,
        ).stdout
        for seed in ("1", "2", "3")
    }
    assert len(digests) == 1


def test_classes_that_follow_from_the_text_are_not_sent() -> None:
    """Guards against sending the same content as text and as classes."""
    whole = make_configuration(2)

    def derive(document: str) -> dict[str, object]:
        return dict(whole.classes_by_name)

    packed = ContentCache(derive).pack(whole)
    assert len(packed.data) < 0.7 * len(ContentCache().pack(whole).data)
    assert unpack(packed, derive) == whole
    with pytest.raises(ContentError):
        unpack(packed)


def test_classes_of_a_very_large_text_are_not_derived() -> None:
    """Guards against an event loop of the leader that stands for half a second."""
    document = "x" * (configuration_content.MAX_DERIVED_TEXT + 1)
    whole = Configuration(2, document=document)

    def derive(text: str) -> dict[str, object]:
        raise AssertionError("derived")

    assert unpack(ContentCache(derive).pack(whole), derive) == whole


def test_classes_that_differ_from_the_text_are_sent() -> None:
    """Guards against the loss of a class that an operator set by a command."""
    whole = make_configuration(2, 100)
    packed = ContentCache(lambda document: {}).pack(whole)
    assert unpack(packed, lambda document: {}) == whole


@pytest.mark.parametrize("data", [b"", b"x", b"\x78\x9c"])
def test_unreadable_content_is_refused(data: bytes) -> None:
    """Guards against an instance that ends because of a damaged content."""
    digest = configuration_content.hashlib.sha256(data).hexdigest()
    with pytest.raises(ContentError):
        unpack(PackedConfiguration(2, digest, data))


def test_content_of_another_version_is_refused() -> None:
    """Guards against a version number that does not belong to the content."""
    packed = ContentCache().pack(make_configuration(2, 100))
    with pytest.raises(ContentError):
        unpack(replace(packed, version=3))


def test_content_is_compressed_once() -> None:
    """Guards against a member that compresses for each of hundreds of instances."""
    content, in_force = ContentCache(), make_configuration(2, 100)
    assert not content.is_packed(in_force)
    first = content.pack(in_force)
    assert content.is_packed(in_force)
    assert content.pack(in_force) is first


def make_edge(settings: Settings) -> directory.DirectoryState:
    """Return the directory of an entry instance."""
    return directory.make_state(replace(settings, id="e1", follows_leader=True))


def notify(
    state: directory.DirectoryState, now: float, **fields: object
) -> list[Effect]:
    """Deliver the answer of the leader to a question that was sent just now."""
    notice = LeaderNotice("a1", 1, "a1", MEMBERS, asked_at=now, **fields)
    return directory.handle(notice, state, now)


@pytest.mark.parametrize("arrives", [True, False])
def test_pieces_show_that_a_link_works(
    settings: Settings, members: list[Member], arrives: bool
) -> None:
    """Guards against replacing a link that is receiving pieces, which loses them."""
    state = make_edge(settings)
    request = find_request(notify(state, BEGIN, version=2))
    for now in (BEGIN + ASK_INTERVAL, BEGIN + 2 * ASK_INTERVAL):
        directory.handle(Tick(), state, now)
    if arrives:
        directory.handle(members[0].answer(request.message), state, now)
    effects = directory.handle(Tick(), state, BEGIN + LINK_SILENCE + 0.1)
    replaced = {each.instance for each in effects if isinstance(each, Reconnect)}
    assert ("a1" in replaced) == (not arrives)


def test_confirmation_ends_while_content_is_on_its_way(settings: Settings) -> None:
    """Guards against requests that are handled by a replaced configuration."""
    state = make_edge(settings)
    notify(state, BEGIN, version=1, has_authority=True, configuration=Configuration(1))
    confirmed_at = state.confirmed_at
    later = BEGIN + 0.4
    notify(state, later, version=2, has_authority=True)
    assert (state.version, state.confirmed_at) == (1, confirmed_at)


def test_notice_of_a_member_that_offers_nothing_begins_no_transfer(
    settings: Settings,
) -> None:
    """Guards against fetching what the next notice carries."""
    state = make_edge(settings)
    notice = LeaderNotice("a2", 1, "a1", MEMBERS, version=2)
    assert find_request(directory.handle(notice, state, BEGIN)) is None
    assert not state.transfer.in_progress
    notice = replace(notice, sender="a1")
    assert find_request(directory.handle(notice, state, BEGIN)) is not None


def make_member(
    settings: Settings, in_force: Configuration
) -> configuration.ConfigurationState:
    """Return the controller of a member with a configuration in force."""
    state = configuration.make_state(settings, 1, ())
    put_in_force(state.distribution, in_force)
    return state


@pytest.mark.parametrize(("size", "is_large"), [(100, False), (20_000, True)])
def test_notice_carries_only_small_content(
    settings: Settings, size: int, is_large: bool
) -> None:
    """Guards against copies of a large configuration, and requests for a small one."""
    in_force = Configuration(2, document=make_document(2, size))
    assert (size > MAX_NOTICE_CONTENT) == is_large
    state = make_member(settings, in_force)
    effects = configuration.handle(FollowLeader("e1", 1, 0.0, BEGIN), state, BEGIN)
    (notice,) = [each.message for each in effects if isinstance(each, Send)]
    assert notice.version == 2
    assert notice.configuration == (None if is_large else in_force)
    effects = configuration.handle(FollowLeader("e1", 2, 0.0, BEGIN), state, BEGIN)
    (notice,) = [each.message for each in effects if isinstance(each, Send)]
    assert notice.configuration is None


@pytest.mark.parametrize(("size", "count"), [(100, 1), (290_000, 1400)])
def test_instance_without_a_leader_fetches_from_its_peers(
    settings: Settings, size: int, count: int
) -> None:
    """Guards against whole copies among the instances of a daemon's installation."""
    newest = make_configuration(2, size, count)
    peers = {
        id_: make_member(replace(settings, id=id_), newest) for id_ in ("a2", "a3")
    }
    state = configuration.make_state(settings, 1, ())
    state.replica = None
    largest = 0
    waiting: list[tuple[str, object]] = [("a1", Tick())]
    handled = 0
    while waiting:
        instance, message = waiting.pop(0)
        own = state if instance == "a1" else peers[instance]
        effects = configuration.handle(message, own, BEGIN)
        for each in effects:
            if isinstance(each, Send) and each.to.controller == "configuration":
                waiting.append((each.to.instance, each.message))
                if isinstance(each.message, ConfigurationOffered | ConfigurationPiece):
                    handled += isinstance(each.message, ConfigurationPiece)
                    body = configuration_content.msgspec.msgpack.encode(each.message)
                    largest = max(largest, len(body))
    assert state.distribution.in_force == newest
    assert largest < 2 * PIECE_BYTES
    assert (handled > 0) == (size > MAX_NOTICE_CONTENT)


def test_newer_configuration_that_is_on_its_way_is_requested_once(
    settings: Settings,
) -> None:
    """Guards against one request for each heartbeat while a transfer takes its time."""
    state = make_member(settings, Configuration(1))
    state.replica = None
    newer = NewerConfiguration("a2", 2)
    (send,) = configuration.handle(newer, state, BEGIN)
    assert isinstance(send.message, RequestConfiguration)
    configuration.handle(ConfigurationOffered("a2", 2, None), state, BEGIN)
    assert configuration.handle(newer, state, BEGIN + 0.4) == []
    state.distribution.transfer.attempts = 1
    other = NewerConfiguration("a3", 2)
    (send,) = configuration.handle(other, state, BEGIN + 0.8)
    assert send.to.instance == "a3"


@pytest.mark.parametrize(
    ("held", "size", "has_content"),
    [
        (None, 20_000, True),
        (-1, 20_000, False),
        (1, 20_000, False),
        (2, 20_000, False),
        (1, 100, True),
        (2, 100, False),
    ],
)
def test_read_is_answered_with_content_that_is_needed_and_small(
    settings: Settings, held: int | None, size: int, has_content: bool
) -> None:
    """Guards against whole copies on the link of an instance that has the content."""
    in_force = Configuration(2, document=make_document(2, size))
    state = make_member(settings, in_force)
    state.replica = Replica(settings, 1, Role.LEADER, Ballot(1), leader="a1")
    state.leadership.announced_term = 1
    for progress in ("a2", "a3"):
        state.replica.progress_by_id[progress] = Progress(1, BEGIN, answered_at=BEGIN)
    question = ReadConfiguration(held, reply_to=ReplyTo("e1", 1))
    (reply,) = configuration.handle(question, state, BEGIN)
    assert reply.message.version == 2
    assert reply.message.configuration == (in_force if has_content else None)
