"""The command names the cause of each kind of failed request from a recorded run."""

import io
from collections import Counter

import pytest

from bench.local import until
from bench.platform_fleet import KEY, route
from marjoramspool import json_logs
from marjoramspool.operators.commands import main
from marjoramspool.operators.log_reader import explain_request, read_lines


@pytest.fixture
def recorded(monkeypatch):
    """Record the log of all routers of a test."""
    monkeypatch.setattr(json_logs, "MAX_LINES_PER_S", 10**6)
    text = io.BytesIO()
    handler = json_logs.JsonLinesHandler(1)
    handler.flush = lambda: (text.write(bytes(handler.buffer)), handler.buffer.clear())
    with handler.applicationbound():
        yield lambda: text.getvalue().decode().splitlines()


async def start(site):
    for _ in range(2):
        await site.add_engine("desk")
    await site.add_engine("model", is_stream=True)
    await site.configure(
        route("/order/", "non_idempotent", "desk", max_attempts=1),
        route("/report/", "streaming", "model", max_attempts=1),
    )
    await site.add_router()


def cause(recorded, request):
    return explain_request(request, read_lines(recorded())).cause


async def test_a_refusal_by_full_engines(site, recorded):
    await start(site)
    for engine in site.engines:
        engine.faults = Counter(shed=5)
    await site.ask("/order/x", "r1")
    found = cause(recorded, "r1")
    assert found.startswith("refused, has not run")
    assert found.count("refused with 503") >= 2


async def test_an_engine_whose_run_is_unknown(site, recorded):
    await start(site)
    for engine in site.engines:
        engine.faults = Counter(reset=1)
    await site.ask("/order/x", "r1")
    found = cause(recorded, "r1")
    assert found.startswith("failed, may have run")
    assert "gave no answer" in found


async def test_a_key_that_was_taken_away(site, recorded):
    await start(site)
    await site.configure(route("/order/", "non_idempotent", "desk"), keys=("other",))
    tables = site.routers[0].table_watcher
    await until(lambda: KEY not in tables.table.accounts, "the key is gone")
    await site.ask("/order/x", "r1")
    found = cause(recorded, "r1")
    assert found.startswith("status 401: no account of version 6 has the key, in force since")


async def test_a_stream_that_broke_off(site, recorded):
    await start(site)
    site.engines[2].faults = Counter(cut=1)
    await site.ask("/report/x", "r1")
    assert "the answer broke off" in cause(recorded, "r1")


async def test_the_command_prints_the_lines_and_the_cause(site, recorded, tmp_path, capsys):
    await start(site)
    await site.ask("/order/x", "r1")
    lines = recorded()
    halves = [tmp_path / "one", tmp_path / "two"]
    halves[0].write_text("\n".join(f"12.5 front-1 {line}" for line in lines[::2]))
    halves[1].write_text("\n".join([*lines[1::2], "not a line", "{broken"]))
    with pytest.raises(SystemExit) as ended:
        main(["explain", "r1", "--logs", str(halves[0]), str(halves[1])])
    assert ended.value.code == 0
    out = capsys.readouterr().out
    assert "REQUEST_PLACED" in out
    assert "cause: served; no attempt failed" in out
    with pytest.raises(SystemExit) as ended:
        main(["explain", "nobody", "--logs", str(halves[0])])
    assert ended.value.code == 5


def test_nothing_is_said_of_a_request_that_no_log_names():
    assert explain_request("r", read_lines(["", "x", "{}", "[1]"])) is None
