"""Credentials for mutual TLS between routers."""

import grpc

from marjoramspool.settings import TlsFiles

__all__ = ["client_credentials", "server_credentials"]


def client_credentials(files: TlsFiles | None) -> grpc.ChannelCredentials | None:
    """Return the credentials for calls to other routers, None without TLS."""
    if files is None:
        return None
    return grpc.ssl_channel_credentials(*read_pem(files))


def server_credentials(files: TlsFiles | None) -> grpc.ServerCredentials | None:
    """Return the server credentials, None without TLS; clients must present a certificate."""
    if files is None:
        return None
    authority, key, certificate = read_pem(files)
    return grpc.ssl_server_credentials(
        [(key, certificate)], root_certificates=authority, require_client_auth=True
    )


def read_pem(files: TlsFiles) -> tuple[bytes, bytes, bytes]:
    """Read the PEM files of the authority, the key and the certificate."""
    parts = []
    for path in (files.authority, files.key, files.certificate):
        with open(path, "rb") as file:
            parts.append(file.read())
    return tuple(parts)
