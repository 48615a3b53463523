"""Mutual TLS between routers; calls of foreign peers and malformed messages are refused."""

import grpc
import pytest
import trustme

from marjoramspool.routers import peers_pb2 as pb
from marjoramspool.routers import peers_pb2_grpc as rpc
from marjoramspool.routers.path_messages import CONNECT_METHOD, SERVE_METHOD, SERVICE


def write_tls(directory, authority, name):
    """Write the TLS files of one router; return the settings section that names them."""
    issued = authority.issue_cert("127.0.0.1")
    paths = {key: directory / f"{name}-{key}.pem" for key in ("certificate", "key", "authority")}
    paths["certificate"].write_bytes(b"".join(p.bytes() for p in issued.cert_chain_pems))
    issued.private_key_pem.write_to_path(paths["key"])
    authority.cert_pem.write_to_path(paths["authority"])
    return "[peers-tls]\n" + "".join(f"{key} = {path}\n" for key, path in paths.items())


async def test_routers_with_certificates_form_a_fleet(fleet, tmp_path):
    authority = trustme.CA()
    await fleet.add_engines(1)
    for number in range(3):
        extra = write_tls(tmp_path, authority, f"router-{number}")
        await fleet.add_router(f"router-{number}", "domain-0", extra)
    await fleet.apply_model()
    await fleet.wait_for_peers()
    for number in range(3):
        assert (await fleet.chat(f"question {number}", number))[0] == 200


async def test_a_foreign_certificate_is_refused(fleet, tmp_path):
    extra = write_tls(tmp_path, trustme.CA(), "router-0")
    router = await fleet.add_router("router-0", "domain-0", extra)
    foreign = trustme.CA().issue_cert("127.0.0.1")
    credentials = grpc.ssl_channel_credentials(
        (tmp_path / "router-0-authority.pem").read_bytes(),
        foreign.private_key_pem.bytes(),
        foreign.cert_chain_pems[0].bytes(),
    )
    address = router.membership.local_member.address
    channels = [
        grpc.aio.secure_channel(address, credentials),
        grpc.aio.insecure_channel(address),
    ]
    for channel in channels:
        with pytest.raises(grpc.RpcError):
            await rpc.RoutersStub(channel).Fetch(pb.FetchRequest(service="x"), timeout=2)
        with pytest.raises(grpc.RpcError):
            await channel.unary_unary(f"/{SERVICE}/{CONNECT_METHOD}")(b"", timeout=2)
        with pytest.raises(grpc.RpcError):
            await channel.stream_stream(f"/{SERVICE}/{SERVE_METHOD}")(timeout=2).read()
        await channel.close()


async def test_a_malformed_claim_is_refused(fleet):
    await fleet.add_engines(1)
    await fleet.add_routers(1)
    await fleet.apply_model()
    address = fleet.routers[0].membership.local_member.address
    async with grpc.aio.insecure_channel(address) as channel:
        with pytest.raises(grpc.RpcError) as caught:
            await rpc.RoutersStub(channel).Claim(pb.ClaimRequest(step=9, body=b"x"), timeout=2)
    assert caught.value.code() == grpc.StatusCode.INVALID_ARGUMENT
    assert (await fleet.chat("hello"))[0] == 200


async def test_malformed_requests_of_a_router_without_a_path_are_refused(fleet):
    await fleet.add_engines(1)
    await fleet.add_routers(1)
    await fleet.apply_model()
    address = fleet.routers[0].membership.local_member.address
    async with grpc.aio.insecure_channel(address) as channel:
        connect = channel.unary_unary(f"/{SERVICE}/{CONNECT_METHOD}")
        with pytest.raises(grpc.RpcError) as caught:
            await connect(b"\xff", timeout=2)
        assert caught.value.code() == grpc.StatusCode.INVALID_ARGUMENT
        call = channel.stream_stream(f"/{SERVICE}/{SERVE_METHOD}")(timeout=2)
        await call.write(b"\xff")
        with pytest.raises(grpc.RpcError) as caught:
            await call.read()
        assert caught.value.code() == grpc.StatusCode.INVALID_ARGUMENT
    assert (await fleet.chat("hello"))[0] == 200


@pytest.mark.parametrize("method", ["Probe", "Claim", "Fetch", "Place", "Explain", "ProbeFor"])
async def test_an_undecodable_message_fails_only_its_call(fleet, method):
    await fleet.add_engines(1)
    await fleet.add_routers(1)
    await fleet.apply_model()
    address = fleet.routers[0].membership.local_member.address
    async with grpc.aio.insecure_channel(address) as channel:
        path = f"/marjoramspool.routers.Routers/{method}"
        call = channel.unary_unary(path)(b"\xff\xff\xff\xff", timeout=2)
        with pytest.raises(grpc.RpcError):
            await call
    assert (await fleet.chat("hello"))[0] == 200
