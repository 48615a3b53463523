"""The load that targets tell in the header X-Server-Load."""

import pytest

from marjoramspool.engine_state.reported_speed import LoadFigures
from marjoramspool.platform.headers import parse_load


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("1, 0, 2", LoadFigures(1, 0, 2)),
        ("1,0,2,500", LoadFigures(1, 0, 2, 500)),
        (" 12 ,3, 16 , 100 ", LoadFigures(12, 3, 16, 100)),
    ],
)
def test_three_or_four_figures_are_read(text, load):
    assert parse_load(text) == load


@pytest.mark.parametrize(
    "text",
    ["", "1", "1,2", "1,2,3,4,5", "-1,0,2", "1,0,2,-5", "1.5,0,2", "1,0,2,1e3", "a,b,c", "1,0,2,",
     "1,0,0", "1,0,2,0", "٣,0,2", "99999999999,0,2", "1 0 2"],
)  # fmt: skip
def test_malformed_figures_are_refused(text):
    """Guards against figures that are used although they cannot be right."""
    with pytest.raises(ValueError):
        parse_load(text)
