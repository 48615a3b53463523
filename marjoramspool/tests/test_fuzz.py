"""Malformed input is rejected or ignored and never raises an unexpected exception."""

import contextlib

from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramspool.callers.affinity import decode_hint, encode_hint
from marjoramspool.configuration import Configuration
from marjoramspool.document import InvalidFileError, read_document
from marjoramspool.engines.stream import chunk_id, parse_event
from marjoramspool.placement.bounded_placement import Holder
from marjoramspool.routers import peers_pb2 as pb
from marjoramspool.routers.convert import decode_operation, decode_result
from marjoramspool.settings import read_settings

FUZZ = settings(max_examples=200, deadline=None, derandomize=True)
LINES = st.lists(
    st.one_of(
        st.sampled_from(
            [
                "[service]",
                "[router]",
                "[engine e]",
                "[account a]",
                "[non-idempotent x]",
                "kind = model",
                "name = s",
                "address = 1.2.3.4:5",
                "address = nowhere",
                "slots = -1",
                "deadline = soon",
                "weight = 1e9",
            ]
        ),
        st.text(max_size=30),
    ),
    max_size=15,
)


@FUZZ
@given(LINES)
def test_documents_and_settings(lines):
    text = "\n".join(lines)
    for read in (read_document, read_settings):
        with contextlib.suppress(InvalidFileError):
            read("file.ini", text)


@FUZZ
@given(st.text(max_size=600))
def test_hints(text):
    assert isinstance(decode_hint(text), tuple)


@FUZZ
@given(st.lists(st.tuples(st.text(max_size=40), st.integers(0, 2**32 - 1)), max_size=3))
def test_hints_round_trip(parts):
    holders = tuple(Holder(*part) for part in parts)
    text = encode_hint(holders)
    assert decode_hint(text) == (holders if len(text) <= 512 else ())


@FUZZ
@given(st.binary(max_size=300))
def test_events_of_a_stream(raw):
    event = parse_event(raw)
    if event:
        assert chunk_id(event) is None or isinstance(chunk_id(event), str)


@FUZZ
@given(st.binary(max_size=200))
def test_stored_documents(body):
    configuration = Configuration()
    assert configuration.apply_if_newer("s", 1, body, "fuzz") is False
    assert configuration.documents() == []


@FUZZ
@given(st.integers(0, 9), st.binary(max_size=100))
def test_ledger_messages(kind, body):
    with contextlib.suppress(ValueError):
        decode_operation(pb.ClaimRequest(step=kind, body=body))
    with contextlib.suppress(ValueError):
        decode_result(pb.ClaimReply(kind=kind, answer=body))
