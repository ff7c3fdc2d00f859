"""msgpack encoding of messages between instances."""

from __future__ import annotations

import dataclasses
import inspect
from typing import Annotated, Any, TypeAlias

import msgspec
from msgspec import Meta

from boragetide import messages
from boragetide.encoding import decode_value, encode_value
from boragetide.errors import LinkError
from boragetide.limits import MAX_NAME_LENGTH

REPLY_CONTROLLER = ""

_Name: TypeAlias = Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """One message to another instance, encoded as an array without field names.

    Parameters
    ----------
    sender, sender_incarnation
        Instance that sends the message, and its incarnation.
    controller
        Receiving mailbox; `REPLY_CONTROLLER` for a reply to ``request``.
    request
        Number of the answered request in a reply; in a request, the number under which
        the sender waits for the reply; otherwise 0.
    kind
        Class name of the message.
    body
        Encoded message.
    """

    sender: _Name
    sender_incarnation: int
    controller: _Name
    request: int
    kind: _Name
    body: msgspec.Raw


_TYPES_BY_KIND = {
    name: value
    for name, value in vars(messages).items()
    if inspect.isclass(value)
    and dataclasses.is_dataclass(value)
    and value.__module__.startswith(messages.__name__)
}
_DECODERS_BY_KIND = {
    kind: msgspec.msgpack.Decoder(type_, dec_hook=decode_value)
    for kind, type_ in _TYPES_BY_KIND.items()
}
_FRAME_DECODER = msgspec.msgpack.Decoder(list[Envelope])
_ENCODER = msgspec.msgpack.Encoder(enc_hook=encode_value)
# Integers above 64 bits, lone surrogates, other types, and values nested too deeply.
_ENCODE_ERRORS = (OverflowError, ValueError, TypeError, RecursionError)


def encode_body(message: Any) -> msgspec.Raw:
    """Encode one message.

    Raises
    ------
    LinkError
        If a value of the message cannot be encoded.
    """
    try:
        return msgspec.Raw(_ENCODER.encode(message))
    except _ENCODE_ERRORS as error:
        raise LinkError(f"{type(message).__name__} not encoded: {error}") from error


def encode_frame(envelopes: list[Envelope]) -> bytes:
    """Encode envelopes that are sent together."""
    return _ENCODER.encode(envelopes)


def decode_frame(frame: bytes) -> list[Envelope]:
    """Decode a frame.

    Raises
    ------
    LinkError
        If the frame is not a list of envelopes.
    """
    try:
        return _FRAME_DECODER.decode(frame)
    except (msgspec.DecodeError, RecursionError) as error:
        raise LinkError(f"frame of {len(frame)} bytes: {error}") from error


def decode_body(envelope: Envelope) -> Any:
    """Decode the message of an envelope.

    Raises
    ------
    LinkError
        If the kind is unknown or the body does not match it.
    """
    decoder = _DECODERS_BY_KIND.get(envelope.kind)
    if decoder is None:
        raise LinkError(f"unknown message kind {envelope.kind!r}")
    try:
        return decoder.decode(envelope.body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise LinkError(f"{envelope.kind} from {envelope.sender!r}: {error}") from error
