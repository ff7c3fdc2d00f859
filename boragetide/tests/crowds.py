"""Crowds of clients that hold connections open, and the figures of a process.

A crowd is a set of connections from this process. It sends all that it has to send and
stays connected. Nothing here depends on the speed of the machine: the time limits only
end a test that hangs.
"""

from __future__ import annotations

import contextlib
import fcntl
import http.client
import json
import resource
import selectors
import socket
import tempfile
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import pytest

SEND_LIMIT = 90.0  # seconds in which a crowd sends all that the process accepts
STALL_LIMIT = 4.0  # seconds without any progress, after which a crowd stops sending
ANSWER_LIMIT = 30.0  # seconds to wait for an answer before the test fails
CONNECT_LIMIT = 2.0  # seconds
FETCH_LIMIT = 15.0  # seconds to wait for one answer
PIECE = 16 * 1024  # bytes sent on one connection before the next one has its turn
LARGE_CHUNK = 64 * 1024  # bytes
TINY_CHUNK = 16  # bytes
SMALL_WINDOW = 4096  # bytes that a client which does not read accepts
MIB = 1024 * 1024
# The small machine on which a process must bear a crowd.
MEMORY_MIB = 128
MAX_FILES = 512
# Files that a process may have open besides its connections; by the operators' sizes.
RESERVED_FILES = 200
# What a crowd sends together, or the number of connections that it holds.
CROWD_BYTES = 120 * MIB
CROWD_CONNECTIONS = 600

_LOCK = Path(tempfile.gettempdir()) / "boragetide-test-crowds.lock"


@pytest.fixture
def one_crowd_at_a_time() -> Iterator[None]:
    """Hold a lock that all tests with crowds share, across the test processes."""
    with _LOCK.open("ab") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


@contextlib.contextmanager
def few_file_descriptors() -> Iterator[None]:
    """Let processes that are started meanwhile open at most `MAX_FILES` files."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FILES, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@dataclass(frozen=True, slots=True)
class Server:
    """An HTTP server of a process, and a path to which a crowd sends bodies."""

    host: str
    port: int
    path: str
    method: str = "POST"

    @property
    def head(self) -> bytes:
        """Request line and the headers that every request has."""
        return (
            f"{self.method} {self.path} HTTP/1.1\r\nHost: queue.example\r\n"
            "Content-Type: application/json\r\n"
        ).encode()


def send_length(server: Server, length: int) -> bytes:
    """Return the start of a request that announces a body of ``length`` bytes."""
    return server.head + f"Content-Length: {length}\r\n\r\n".encode()


def send_chunked(server: Server) -> bytes:
    """Return the start of a request with a chunked body."""
    return server.head + b"Transfer-Encoding: chunked\r\n\r\n"


def make_chunks(size: int, count: int) -> bytes:
    """Return chunks without the last one, which would end the body."""
    return (b"%x\r\n" % size + b" " * size + b"\r\n") * count


@dataclass(slots=True)
class Crowd:
    """Connections that send ``content`` and stay open.

    Parameters
    ----------
    sent_by_socket
        Bytes that were sent on each open connection.
    """

    server: Server
    content: bytes
    sent_by_socket: dict[socket.socket, int] = field(default_factory=dict)
    closed: int = 0

    def connect(self, count: int, window: int = 0) -> None:
        """Open connections; ``window`` is the size of the receive buffer, if given."""
        for _ in range(count):
            connection = socket.socket()
            if window:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
            connection.settimeout(CONNECT_LIMIT)
            try:
                connection.connect((self.server.host, self.server.port))
            except OSError:
                # The accept queue is full, or the process refuses more connections.
                connection.close()
                self.closed += 1
                continue
            connection.setblocking(False)
            self.sent_by_socket[connection] = 0

    def send(self, piece: int = MIB * 64) -> None:
        """Send the content on all connections, in turn and ``piece`` bytes at a time.

        Ends when all is sent, or nothing more is accepted.
        """
        view = memoryview(self.content)
        with selectors.DefaultSelector() as selector:
            for connection in self.sent_by_socket:
                selector.register(connection, selectors.EVENT_WRITE)
            deadline = time.monotonic() + SEND_LIMIT
            while selector.get_map() and time.monotonic() < deadline:
                ready = selector.select(STALL_LIMIT)
                if not ready:
                    return
                for key, _ in ready:
                    self._send_piece(selector, key.fileobj, view, piece)

    def _send_piece(
        self,
        selector: selectors.BaseSelector,
        connection: socket.socket,
        view: memoryview,
        piece: int,
    ) -> None:
        begin = self.sent_by_socket[connection]
        try:
            begin += connection.send(view[begin : begin + piece])
        except BlockingIOError:
            return
        except OSError:
            # The process has closed the connection.
            selector.unregister(connection)
            self.closed += 1
            return
        self.sent_by_socket[connection] = begin
        if begin >= len(view):
            selector.unregister(connection)

    def close(self) -> None:
        """Close all connections."""
        for connection in self.sent_by_socket:
            connection.close()


@dataclass(frozen=True, slots=True)
class Sending:
    """What a crowd sends, and how often.

    Parameters
    ----------
    make_content
        Makes what each connection sends.
    count
        Number of connections.
    piece
        Bytes that a connection sends before the next one has its turn.
    window
        Receive buffer of the clients, or 0 for the default.
    """

    make_content: Callable[[Server], bytes]
    count: int
    piece: int = MIB * 64
    window: int = 0


def make_body_crowds(legal: int) -> dict[str, Sending]:
    """Return the crowds that send bodies, by name.

    Parameters
    ----------
    legal
        Size of the largest legal body, in bytes.
    """
    count = CROWD_BYTES // legal
    last_short = b" " * (legal - 1)
    tiny_total = min(legal - TINY_CHUNK, 256 * 1024)
    return {
        "whole": Sending(lambda s: send_length(s, legal) + last_short, count),
        "pieces": Sending(
            lambda s: send_length(s, legal) + last_short, count, piece=PIECE
        ),
        "large-chunks": Sending(
            lambda s: (
                send_chunked(s) + make_chunks(LARGE_CHUNK, (legal - 1) // LARGE_CHUNK)
            ),
            count,
        ),
        "tiny-chunks": Sending(
            lambda s: (
                send_chunked(s) + make_chunks(TINY_CHUNK, tiny_total // TINY_CHUNK)
            ),
            count,
        ),
        "above-announced": Sending(
            lambda s: send_length(s, 4 * legal) + b" " * (4 * legal - 1), count
        ),
        "above-sent": Sending(
            lambda s: (
                send_chunked(s) + make_chunks(LARGE_CHUNK, 4 * legal // LARGE_CHUNK)
            ),
            count,
        ),
    }


def make_connection_crowds() -> dict[str, Sending]:
    """Return the crowds that hold connections without a whole request, by name."""
    fill = b"X-Fill: " + b"x" * (60 * 1024)
    return {
        "idle": Sending(lambda s: b"", CROWD_CONNECTIONS),
        "headers": Sending(lambda s: s.head + fill, CROWD_CONNECTIONS),
    }


def make_unread_crowd(count: int) -> Sending:
    """Return a crowd that sends whole requests and reads no answer."""
    return Sending(lambda s: s.head + b"\r\n", count, window=SMALL_WINDOW)


@contextlib.contextmanager
def crowd(server: Server, sending: Sending) -> Iterator[Crowd]:
    """Keep a crowd connected that has sent all that was accepted."""
    made = Crowd(server, sending.make_content(server))
    try:
        made.connect(sending.count, sending.window)
        made.send(sending.piece)
        yield made
    finally:
        made.close()


@dataclass(frozen=True, slots=True)
class Figures:
    """What a process uses, by ``/proc``."""

    peak_bytes: int
    unread_bytes: int
    descriptors: int

    @property
    def memory_mib(self) -> float:
        """Memory with the bytes that the kernel holds for the process, in MiB."""
        return (self.peak_bytes + self.unread_bytes) / MIB


def read_figures(pid: int, ports: set[int]) -> Figures:
    """Return the peak memory, the bytes in kernel buffers and the open descriptors.

    Parameters
    ----------
    ports
        Ports of the process, to find its connections.
    """
    status = Path(f"/proc/{pid}/status").read_text()
    (peak,) = (
        int(line.split()[1]) * 1024
        for line in status.splitlines()
        if line.startswith("VmHWM:")
    )
    inodes = set()
    count = 0
    for entry in Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(OSError):
            inodes.add(str(entry.readlink()).removeprefix("socket:[").rstrip("]"))
        count += 1
    unread = 0
    for line in Path(f"/proc/{pid}/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        port = int(fields[1].rpartition(":")[2], 16)
        # Connections in the accept queue have no inode yet.
        is_listening = fields[3] == "0A"
        if port in ports and not is_listening and fields[9] in {*inodes, "0"}:
            sending, receiving = fields[4].split(":")
            unread += int(sending, 16) + int(receiving, 16)
    return Figures(peak, unread, count)


def fetch(server: Server, body: bytes | None = None) -> tuple[int, bytes]:
    """Send an ordinary request on a new connection; status 0 means no answer."""
    connection = http.client.HTTPConnection(
        server.host, server.port, timeout=FETCH_LIMIT
    )
    headers = {
        "Host": "queue.example",
        "Content-Type": "application/json",
        "X-Deadline-Ms": "4000",
    }
    try:
        connection.request(server.method, server.path, body, headers)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


def encode(body: object) -> bytes:
    """Return a body as JSON."""
    return json.dumps(body).encode()


def check_with_crowd(
    server: Server,
    sending: Sending,
    pid: int,
    ports: set[int],
    is_answered: Callable[[], bool],
) -> None:
    """Let a crowd connect to a server of a process, and check the process meanwhile.

    It lives, an ordinary request is answered, and the memory and the descriptors are
    within the bounds of the small machine.

    Parameters
    ----------
    ports
        Ports of the process, to find its connections.
    is_answered
        Sends an ordinary request and returns whether it is answered.
    """
    with crowd(server, sending) as present:
        _check_process(pid, ports, is_answered, present)


def _check_process(
    pid: int, ports: set[int], is_answered: Callable[[], bool], present: Crowd
) -> None:
    max_descriptors = MAX_FILES - RESERVED_FILES
    deadline = time.monotonic() + ANSWER_LIMIT
    answered = is_answered()
    while not answered and time.monotonic() < deadline:
        time.sleep(0.2)
        answered = is_answered()
    alive = Path(f"/proc/{pid}/fd").exists()
    assert alive, "the process has ended"
    try:
        figures = read_figures(pid, ports)
    except (OSError, ValueError) as error:
        raise AssertionError("the process has ended") from error
    seen = (
        f"memory {figures.memory_mib:.0f} of {MEMORY_MIB} MiB "
        f"({figures.unread_bytes / MIB:.0f} in the kernel), descriptors "
        f"{figures.descriptors} of {max_descriptors}, answered {answered}, "
        f"sent {sum(present.sent_by_socket.values()) / MIB:.0f} MiB on "
        f"{len(present.sent_by_socket)} connections, {present.closed} closed"
    )
    print(seen)
    assert answered, seen
    assert figures.memory_mib <= MEMORY_MIB, seen
    assert figures.descriptors <= max_descriptors, seen
