"""Commands against a fleet, and their errors.

Guards against commands that report a wrong state or exit code, overwrite another operator's change,
or hide some of the faults of a file.
"""

import asyncio
import sys

import msgspec
import pytest

from bench.documents import EXAMPLES, model_document

EXAMPLE_NAMES = ["grip-model", "field-desk", "marjoram-llm", "rental-desk"]


async def run_command(*arguments, module="marjoramspool.operators.commands"):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", module, *arguments),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    async with asyncio.timeout(30):
        out, err = await process.communicate()
    return process.returncode, out.decode(), err.decode()


async def start_fleet(fleet):
    await fleet.add_engines(1)
    await fleet.add_routers(2)
    return f"127.0.0.1:{fleet.platform_port}"


@pytest.mark.parametrize("name", EXAMPLE_NAMES)
async def test_shipped_examples_are_valid(name):
    code, out, _ = await run_command("check", str(EXAMPLES / f"{name}.ini"), "--json")
    assert (code, msgspec.json.decode(out)) == (0, {"service": name, "valid": True})


async def test_apply_get_diff_status_and_audit_of_document(fleet, tmp_path):
    platform = await start_fleet(fleet)
    file = tmp_path / "grip-model.ini"
    file.write_text(model_document("grip-model", fleet.engine_ports))
    code, out, _ = await run_command("apply", str(file), "--platform", platform, "--who", "anna")
    assert code == 0 and "everywhere" in out
    code, out, _ = await run_command("get", "grip-model", "--platform", platform)
    assert out.strip() == file.read_text().strip()
    file.write_text(model_document("grip-model", fleet.engine_ports, deadline="9s"))
    code, out, _ = await run_command("diff", str(file), "--platform", platform)
    assert "+deadline = 9s" in out
    code, out, _ = await run_command("status", "--platform", platform)
    assert code == 0 and out.count("ready") == 2
    code, out, _ = await run_command("audit", "grip-model", "--platform", platform, "--json")
    assert [change["who"] for change in msgspec.json.decode(out)] == ["anna"]


async def test_explain_finds_trace_at_router_that_served_request(fleet):
    platform = await start_fleet(fleet)
    await fleet.apply_model()
    await fleet.wait_for_peers()
    await fleet.chat("hello", 1, headers={"X-Request-Id": "request-1"})
    code, out, _ = await run_command("explain", "request-1", "--platform", platform)
    assert code == 0
    assert "admitted target=engine-0" in out and "completed" in out
    code, _, err = await run_command("explain", "request-2", "--platform", platform)
    assert code == 5 and "no router has a trace of it" in err


async def test_apply_with_outdated_expected_version_is_a_conflict(fleet, tmp_path):
    platform = await start_fleet(fleet)
    await fleet.apply_model()
    file = tmp_path / "grip-model.ini"
    file.write_text(model_document("grip-model", fleet.engine_ports))
    code, _, err = await run_command("apply", str(file), "--platform", platform, "--expect", "0")
    assert code == 3 and "tester changed it first" in err


async def test_check_reports_every_fault_of_document(tmp_path):
    file = tmp_path / "bad.ini"
    file.write_text(
        "[service]\nname = x\nkind = model\nload-bound = 0.5\ntypo = 1\n"
        "[engine e]\naddress = example.com:80\n[account a]\nkey-sha256 = short\n[other]\n"
    )
    code, _, err = await run_command("check", str(file))
    assert code == 2
    for name in ("load-bound", "typo", "address", "key-sha256", "[other]"):
        assert name in err
    assert len(err.strip().splitlines()) == 5


async def test_unavailable_platform_is_reported(fleet, tmp_path):
    code, _, err = await run_command("get", "x", "--platform", "127.0.0.1:1")
    assert code == 4 and "platform" in err


async def test_daemon_reports_every_fault_of_its_settings(tmp_path):
    file = tmp_path / "router.ini"
    file.write_text("[router]\nname = r\ncallers-port = 0\n[limits]\nbody-bytes = many\n")
    code, _, err = await run_command("--settings", str(file), module="marjoramspool.daemon")
    assert code == 2
    for name in ("address", "failure-domain", "callers-port", "peers-port", "body-bytes"):
        assert name in err
    assert str(file) in err


async def test_example_settings_are_valid():
    file = str(EXAMPLES / "router.ini")
    code, _, err = await run_command("--settings", file, "--check", module="marjoramspool.daemon")
    assert (code, err) == (0, "")
