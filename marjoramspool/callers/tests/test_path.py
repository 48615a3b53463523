"""The whole path: chats, plain services, accounts and problem details."""

import ssl

import aiohttp
import msgspec
import pytest
import trustme
from yarl import URL

from bench.chats import Chat, take_turn
from standins.engine import words_of

OUTCOME = "Marjoramspool-Outcome"


async def start(fleet, routers=2):
    await fleet.add_engines(2)
    await fleet.add_services(2)
    await fleet.add_routers(routers)
    await fleet.apply_model()
    await fleet.apply_plain()
    await fleet.meet()


async def test_chat_returns_to_the_engine_that_holds_its_prefix(fleet):
    await start(fleet)
    chat = Chat("chat-1")
    turns = [await take_turn(fleet.session, fleet.url(n % 2), chat, "grip-model") for n in range(4)]
    assert all(turn.is_whole for turn in turns)
    assert all(turn.cached_tokens > 0 for turn in turns[1:])
    assert sorted(engine.executions.__len__() for engine in fleet.engines) == [0, 4]


async def test_answer_belongs_to_its_question(fleet):
    await start(fleet)
    status, headers, body = await fleet.chat("how slick is road 7?")
    assert (status, headers[OUTCOME]) == (200, "completed")
    question = {"messages": [{"content": "how slick is road 7?"}]}
    answer = msgspec.json.decode(body)["choices"][0]["message"]["content"]
    assert answer.startswith(words_of(question))


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
async def test_bad_input_gets_a_problem_with_its_remedy(fleet, path, body, headers, status):
    await start(fleet, routers=1)
    got, answer_headers, answer = await fleet.post(path, body, **headers)
    assert (got, answer_headers[OUTCOME]) == (status, "not-run")
    assert answer_headers["Content-Type"] == "application/problem+json"
    assert msgspec.json.decode(answer)["detail"]


async def test_foreign_service_is_forbidden(fleet):
    await fleet.add_engines(1)
    await fleet.add_services(1)
    await fleet.add_routers(1)
    await fleet.apply_model(accounts={"crews": 1})
    await fleet.apply_plain(accounts={"patrols": 1})
    status, _, _ = await fleet.post("/services/field-desk/x", b"")
    assert status == 403


@pytest.mark.parametrize("hint", ["garbage", "gA", "k" * 600, "kZKlZ3JpcC0wAQ", "kpKlZW5naQ"])
async def test_a_tampered_hint_is_harmless(fleet, hint):
    await start(fleet, routers=1)
    status, headers, _ = await fleet.chat("hello", headers={"Marjoramspool-Affinity": hint})
    assert (status, headers[OUTCOME]) == (200, "completed")


async def test_dot_segments_do_not_pass_the_check_for_unsafe_requests(fleet):
    await start(fleet, routers=1)
    url = fleet.url() + "/services/field-desk/look/%2E%2E/closures"
    headers = {"Authorization": "Bearer crews-key"}
    async with fleet.session.post(URL(url, encoded=True), headers=headers) as response:
        assert response.status in (400, 404)
    assert not fleet.services[0].executions


async def test_an_encoded_path_and_query_reach_the_target_unchanged(fleet):
    await start(fleet, routers=1)
    url = fleet.url() + "/services/field-desk/look/a%2Fb?q=x%20y"
    headers = {"Authorization": "Bearer crews-key"}
    async with fleet.session.get(URL(url, encoded=True), headers=headers) as response:
        body = msgspec.json.decode(await response.read())
    assert body["ran"] == "/look/a%2Fb?q=x%20y"


async def test_callers_may_use_tls(fleet, tmp_path):
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


async def test_a_router_that_knows_no_configuration_yet_calls_no_key_unknown(fleet):
    await fleet.add_services(1)
    await fleet.apply_plain()
    fleet.arm(fleet.platform, "outage", times=-1)
    await fleet.add_routers(1)
    status, headers, _ = await fleet.post("/services/field-desk/look", b"road")
    assert (status, headers["Marjoramspool-Outcome"]) == (503, "not-run")
    assert int(headers["Retry-After"]) >= 1


async def test_requests_wait_for_the_first_configuration_of_a_start(fleet):
    await fleet.add_services(1)
    await fleet.apply_plain()
    fleet.arm(fleet.platform, "slow", times=2, seconds=0.3)
    await fleet.add_routers(1)
    assert (await fleet.post("/services/field-desk/look", b"road"))[0] == 200
