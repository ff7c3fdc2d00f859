"""Base class of the handlers that pass a request for a durable job to its leader."""

from __future__ import annotations

from boragetide.api.base import Handler
from boragetide.errors import RequestError
from boragetide.filters.durable_exchange import DurableExchange, describe_interruption


class ExchangeHandler(Handler):
    """Handler of requests for durable jobs.

    ``exchange`` is the state of the request, once it has entered the chain.
    """

    exchange: DurableExchange | None = None

    def describe_interruption(self) -> RequestError:
        """Return the error that answers the caller of an interrupted request."""
        return describe_interruption(self.exchange)
