"""Measures the processor time of one call to a backend server, as an order makes it.

``python -m benchmarks.calls`` starts simulated backend servers in another process and
prints the time that a call takes in the process that makes it.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import time

from boragetide.links.order_call import ORDER_TIMEOUT, call_server, make_order_client
from boragetide.links.order_client import OrderClient
from boragetide.tests.conftest import free_port

SERVERS = 60
WIDTHS = (6, 30)  # calls in progress at a time
CALLS = 600
REPEATS = 5
START_TIME = 1.0  # seconds until the simulated backend servers listen
BODY = {"task": "5c0e7a21d94b36f8.0.0.1", "run": 1, "spec": "5", "deadline_ms": 12345}
HEADERS = (b"X-Target-Instance: s1",)
HEAD_END = b"\r\n\r\n"
ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Content-Length: 21\r\n\r\n"
    b'{"clock_ms": 1234567}'
)


class SimulatedServer(asyncio.Protocol):
    """Answers each request that arrives in one piece."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for the answers."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer one request."""
        if HEAD_END in data:
            self.transport.write(ANSWER)


def serve(port: int) -> None:
    """Serve all addresses of `list_urls` until the process is ended."""

    async def listen() -> None:
        loop = asyncio.get_running_loop()
        for number in range(SERVERS):
            await loop.create_server(SimulatedServer, f"127.21.1.{number + 1}", port)
        await asyncio.Event().wait()

    asyncio.run(listen())


def list_urls(port: int) -> list[str]:
    """Return the address of one call at each simulated backend server."""
    return [f"http://127.21.1.{number + 1}:{port}/start" for number in range(SERVERS)]


async def measure(client: OrderClient, urls: list[str], width: int) -> float:
    """Return the processor time of a call in seconds; the least of some repeats."""
    seconds = []
    for _ in range(REPEATS):
        began = time.process_time()
        for first in range(0, CALLS, width):
            chosen = [urls[(first + k) % SERVERS] for k in range(width)]
            await asyncio.gather(
                *(
                    call_server(client, "s1", url, BODY, ORDER_TIMEOUT, HEADERS)
                    for url in chosen
                )
            )
        seconds.append((time.process_time() - began) / CALLS)
    return min(seconds)


async def run(port: int) -> None:
    """Measure each width and print a line."""
    await asyncio.sleep(START_TIME)
    client = make_order_client()
    urls = list_urls(port)
    for width in WIDTHS:
        seconds = await measure(client, urls, width)
        print(f"{width} calls at a time: {seconds * 1e6:.0f} microseconds a call")


def main() -> None:
    """Start the simulated backend servers, measure, and end them."""
    port = free_port()
    servers = multiprocessing.get_context("spawn").Process(target=serve, args=(port,))
    servers.start()
    try:
        asyncio.run(run(port))
    finally:
        servers.terminate()
        servers.join()


if __name__ == "__main__":
    main()
