"""Requests of callers from the HTTP interface to the targets and back.

Guards against requests that reach a wrong engine, service or account, and against invalid input
that is forwarded or rejected without a remedy, also while a starting router has no configuration.
"""

import ssl

import aiohttp
import msgspec
import pytest
import trustme
from yarl import URL

from bench.chats import Chat, take_turn
from standins.engine import answer_tag

OUTCOME_HEADER = "Marjoramspool-Outcome"


async def start_fleet(fleet, routers=2):
    await fleet.add_engines(2)
    await fleet.add_services(2)
    await fleet.add_routers(routers)
    await fleet.apply_model()
    await fleet.apply_plain()
    await fleet.wait_for_peers()


async def test_chat_turns_go_to_engine_with_cached_prefix(fleet):
    await start_fleet(fleet)
    chat = Chat("chat-1")
    turns = [await take_turn(fleet.session, fleet.url(n % 2), chat, "grip-model") for n in range(4)]
    assert all(turn.is_complete for turn in turns)
    assert all(turn.cached_tokens > 0 for turn in turns[1:])
    assert sorted(engine.executions.__len__() for engine in fleet.engines) == [0, 4]


async def test_caller_gets_answer_to_its_own_question(fleet):
    await start_fleet(fleet)
    status, headers, body = await fleet.chat("how slick is road 7?")
    assert (status, headers[OUTCOME_HEADER]) == (200, "completed")
    question = {"messages": [{"content": "how slick is road 7?"}]}
    answer = msgspec.json.decode(body)["choices"][0]["message"]["content"]
    assert answer.startswith(answer_tag(question))


@pytest.mark.parametrize(
    ("path", "body", "headers", "status"),
    [
        ("/v1/chat/completions", b"{", {}, 400),
        ("/v1/chat/completions", b'{"model":"grip-model","messages":[]}', {}, 400),
        ("/services/field-desk/x", b"", {"Authorization": ""}, 401),
        ("/services/field-desk/x", b"", {"Authorization": "Bearer nobody"}, 401),
        ("/services/nothing/x", b"", {}, 404),
        ("/services/grip-model/x", b"", {}, 404),
        ("/services/field-desk/x", b"", {"Idempotency-Key": "k" * 256}, 400),
        ("/services/field-desk/x", b"b" * (5 << 20), {}, 413),
    ],
)
async def test_invalid_request_is_rejected_with_remedy(fleet, path, body, headers, status):
    await start_fleet(fleet, routers=1)
    answer_status, answer_headers, answer = await fleet.post(path, body, **headers)
    assert (answer_status, answer_headers[OUTCOME_HEADER]) == (status, "not-run")
    assert answer_headers["Content-Type"] == "application/problem+json"
    assert msgspec.json.decode(answer)["detail"]


async def test_service_without_the_account_is_forbidden(fleet):
    await fleet.add_engines(1)
    await fleet.add_services(1)
    await fleet.add_routers(1)
    await fleet.apply_model(accounts={"crews": 1})
    await fleet.apply_plain(accounts={"patrols": 1})
    status, _, _ = await fleet.post("/services/field-desk/x", b"")
    assert status == 403


@pytest.mark.parametrize("hint", ["garbage", "gA", "k" * 600, "kZKlZ3JpcC0wAQ", "kpKlZW5naQ"])
async def test_malformed_affinity_hint_is_ignored(fleet, hint):
    await start_fleet(fleet, routers=1)
    status, headers, _ = await fleet.chat("hello", headers={"Marjoramspool-Affinity": hint})
    assert (status, headers[OUTCOME_HEADER]) == (200, "completed")


async def test_dot_segments_do_not_bypass_check_for_unsafe_requests(fleet):
    await start_fleet(fleet, routers=1)
    url = fleet.url() + "/services/field-desk/look/%2E%2E/closures"
    headers = {"Authorization": "Bearer crews-key"}
    async with fleet.session.post(URL(url, encoded=True), headers=headers) as response:
        assert response.status in (400, 404)
    assert not fleet.services[0].executions


async def test_encoded_path_and_query_reach_target_unchanged(fleet):
    await start_fleet(fleet, routers=1)
    url = fleet.url() + "/services/field-desk/look/a%2Fb?q=x%20y"
    headers = {"Authorization": "Bearer crews-key"}
    async with fleet.session.get(URL(url, encoded=True), headers=headers) as response:
        body = msgspec.json.decode(await response.read())
    assert body["ran"] == "/look/a%2Fb?q=x%20y"


async def test_callers_connect_only_over_tls_if_configured(fleet, tmp_path):
    authority = trustme.CA()
    issued = authority.issue_cert("127.0.0.1")
    issued.private_key_pem.write_to_path(tmp_path / "key.pem")
    (tmp_path / "cert.pem").write_bytes(issued.cert_chain_pems[0].bytes())
    extra = f"[callers-tls]\ncertificate = {tmp_path}/cert.pem\nkey = {tmp_path}/key.pem\n"
    router = await fleet.add_router("router-0", "domain-0", extra)
    context = ssl.create_default_context()
    authority.configure_trust(context)
    port = router.settings.callers_port
    async with fleet.session.get(f"https://127.0.0.1:{port}/livez", ssl=context) as response:
        assert response.status == 200
    with pytest.raises(aiohttp.ClientError):
        await fleet.session.get(f"http://127.0.0.1:{port}/livez")


async def test_router_without_configuration_answers_503_rather_than_401(fleet):
    await fleet.add_services(1)
    await fleet.apply_plain()
    fleet.arm(fleet.platform, "outage", times=-1)
    await fleet.add_routers(1)
    status, headers, _ = await fleet.post("/services/field-desk/look", b"road")
    assert (status, headers["Marjoramspool-Outcome"]) == (503, "not-run")
    assert int(headers["Retry-After"]) >= 1


async def test_requests_wait_for_initial_configuration(fleet):
    await fleet.add_services(1)
    await fleet.apply_plain()
    fleet.arm(fleet.platform, "slow", times=2, seconds=0.3)
    await fleet.add_routers(1)
    assert (await fleet.post("/services/field-desk/look", b"road"))[0] == 200
