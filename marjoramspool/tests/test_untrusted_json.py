"""Values of other writers that the decoder rejects, among values that it reads.

Guards against one unreadable value that hides all others in an answer.
"""

import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjoramspool.untrusted_json import decode_json, split_array, split_object

DEPTH = 200_000
TEXTS = st.text(max_size=8) | st.sampled_from(['"', "\\", '\\"', "[", "}", ",", ":", "é\u2028"])
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | TEXTS,
    lambda values: st.lists(values, max_size=4) | st.dictionaries(TEXTS, values, max_size=4),
)
INDENTS = st.sampled_from([None, 0, 3])
UNREADABLE = [
    b"[" * DEPTH + b"]" * DEPTH,
    b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    b'"\\ud83d"',
    b'"\xff\xfe"',
    b"9" * 5000,
    b"1e9999",
    b"NaN",
    b"-Infinity",
    b'"\x01"',
    b"'text'",
]


@given(values=st.lists(VALUES, max_size=5), indent=INDENTS, is_ascii=st.booleans())
def test_the_values_of_an_array_are_split(values, indent, is_ascii):
    data = json.dumps(values, indent=indent, ensure_ascii=is_ascii).encode()
    assert [json.loads(value) for value in split_array(data)] == values


@given(values=st.dictionaries(TEXTS, VALUES, max_size=5), indent=INDENTS, is_ascii=st.booleans())
def test_the_values_of_an_object_are_split(values, indent, is_ascii):
    data = json.dumps(values, indent=indent, ensure_ascii=is_ascii).encode()
    split = {name: json.loads(value) for name, value in split_object(data).items()}
    assert split == values


@pytest.mark.parametrize("unreadable", UNREADABLE)
def test_the_values_beside_an_unreadable_one_are_split(unreadable):
    assert split_array(b"[1, " + unreadable + b" ,2]") == [b"1", unreadable, b"2"]
    data = b'{"a":1,"odd" : ' + unreadable + b',"b":{"c":[]}}'
    assert split_object(data) == {"a": b"1", "odd": unreadable, "b": b'{"c":[]}'}
    assert split_object(b'{"\\ud83d":1,"b":2}') == {"b": b"2"}


@pytest.mark.parametrize("data", [b"", b"7", b"[", b'{"a"', b'["a', b"[1,[2]", b"{]"])
@pytest.mark.parametrize("split", [split_array, split_object])
def test_what_has_no_end_is_an_error(split, data):
    with pytest.raises(msgspec.DecodeError):
        split(data[:1] + data[1:].rstrip(b"]}"))


def test_a_value_that_is_nested_too_deeply_is_an_error_of_the_decoder():
    with pytest.raises(msgspec.DecodeError, match="too deeply"):
        decode_json(UNREADABLE[0], object)
