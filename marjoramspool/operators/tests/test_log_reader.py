"""`explain` finds the cause of a request's outcome in the logs of real routers.

Guards against events or keys of the routers' logs that change without the log reader, which would
then report a wrong cause or none.
"""

import io
from collections import Counter

import pytest

from bench.local import wait_until
from bench.platform_fleet import KEY, route
from marjoramspool import json_logs
from marjoramspool.operators.commands import main
from marjoramspool.operators.log_reader import explain_request, read_lines


@pytest.fixture
def read_recorded_lines(monkeypatch):
    """Return a function that returns the log lines of all routers of a test."""
    monkeypatch.setattr(json_logs, "MAX_LINES_PER_S", 10**6)
    text = io.BytesIO()
    handler = json_logs.JsonLinesHandler(1)
    handler.flush = lambda: (text.write(bytes(handler.buffer)), handler.buffer.clear())
    with handler.applicationbound():
        yield lambda: text.getvalue().decode().splitlines()


async def start_site(site):
    for _ in range(2):
        await site.add_engine("desk")
    await site.add_engine("model", is_stream=True)
    await site.configure(
        route("/order/", "non_idempotent", "desk", max_attempts=1),
        route("/report/", "streaming", "model", max_attempts=1),
    )
    await site.add_router()


def find_cause(read_recorded_lines, request):
    return explain_request(request, read_lines(read_recorded_lines())).cause


async def test_cause_of_refusal_by_overloaded_engines(site, read_recorded_lines):
    await start_site(site)
    for engine in site.engines:
        engine.faults = Counter(shed=5)
    await site.send("/order/x", "r1")
    cause = find_cause(read_recorded_lines, "r1")
    assert cause.startswith("refused, has not run")
    assert cause.count("refused with 503") >= 2


async def test_cause_of_failure_that_may_have_run(site, read_recorded_lines):
    await start_site(site)
    for engine in site.engines:
        engine.faults = Counter(reset=1)
    await site.send("/order/x", "r1")
    cause = find_cause(read_recorded_lines, "r1")
    assert cause.startswith("failed, may have run")
    assert "gave no answer" in cause


async def test_cause_of_rejection_after_key_removal(site, read_recorded_lines):
    await start_site(site)
    await site.configure(route("/order/", "non_idempotent", "desk"), keys=("other",))
    tables = site.routers[0].table_watcher
    await wait_until(lambda: KEY not in tables.table.accounts, "the router has removed the key")
    await site.send("/order/x", "r1")
    cause = find_cause(read_recorded_lines, "r1")
    assert cause.startswith("status 401: no account of version 6 has the key, in force since")


async def test_cause_of_incomplete_stream(site, read_recorded_lines):
    await start_site(site)
    site.engines[2].faults = Counter(cut=1)
    await site.send("/report/x", "r1")
    assert "the answer broke off" in find_cause(read_recorded_lines, "r1")


async def test_explain_prints_lines_and_cause(site, read_recorded_lines, tmp_path, capsys):
    await start_site(site)
    await site.send("/order/x", "r1")
    lines = read_recorded_lines()
    paths = [tmp_path / "one", tmp_path / "two"]
    paths[0].write_text("\n".join(f"12.5 front-1 {line}" for line in lines[::2]))
    paths[1].write_text("\n".join([*lines[1::2], "not a line", "{broken"]))
    with pytest.raises(SystemExit) as exit_info:
        main(["explain", "r1", "--logs", str(paths[0]), str(paths[1])])
    assert exit_info.value.code == 0
    out = capsys.readouterr().out
    assert "REQUEST_PLACED" in out
    assert "cause: served; no attempt failed" in out
    with pytest.raises(SystemExit) as exit_info:
        main(["explain", "nobody", "--logs", str(paths[0])])
    assert exit_info.value.code == 5


def test_request_absent_from_logs_has_no_explanation():
    assert explain_request("r", read_lines(["", "x", "{}", "[1]"])) is None
