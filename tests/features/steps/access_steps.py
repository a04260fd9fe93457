from __future__ import annotations

import asyncio
import contextlib
import datetime
import os
import pathlib
import ssl
import tempfile
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from command_steps import run_against_deployment
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.web import Application

from yuccapoint.exceptions import SettingsError
from yuccapoint.process.authenticator import Authenticator
from yuccapoint.process.settings.sections import AccessSection
from yuccapoint.process.tls_context import TlsContext
from yuccapoint.request.exceptions import AccessRefusedError
from yuccapoint_standins.deployment import find_free_address

if TYPE_CHECKING:
    from behave.runner import Context


def _replace(path: pathlib.Path, data: bytes, context: Context) -> None:
    """Write a file with a modification time unlike the previous one."""
    path.write_bytes(data)
    context.stamp = getattr(context, "stamp", 1_000) + 1
    os.utime(path, (context.stamp, context.stamp))


@when("a request is sent and the command line explains it")
def explain_request(context: Context) -> None:
    entry = context.deployment.entries[0]

    async def send() -> str:
        client = AsyncHTTPClient(force_instance=True)
        address = entry.settings.listen.caller_address
        route = next(iter(entry.cell.tables.current.routes.values()))
        answer = await client.fetch(f"http://{address}{route.prefix}/a")
        client.close()
        return answer.headers["Yuccapoint-Request"]

    name = context.loop.run_until_complete(send())
    run_against_deployment(context, "explain", name, "--request")


def _tokens(token: str) -> bytes:
    return f"[operators]\nana = {token}\n[callers]\nc1 = t1\n".encode()


@given('a token file with the operator token "{token}"')
def given_tokens(context: Context, token: str) -> None:
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    context.path = pathlib.Path(folder.name) / "tokens.ini"
    _replace(context.path, _tokens(token), context)
    context.authenticator = Authenticator(str(context.path))


@when('the token file is replaced by one with "{token}"')
def replace_tokens(context: Context, token: str) -> None:
    _replace(context.path, _tokens(token), context)
    assert context.authenticator.reload()
    assert not context.authenticator.reload()


@when("the token file is replaced by an invalid one")
def replace_tokens_by_invalid(context: Context) -> None:
    _replace(context.path, b"no section", context)
    with contextlib.suppress(SettingsError):
        context.authenticator.reload()
        raise AssertionError("an invalid file was accepted")


def _bearer(token: str) -> HTTPHeaders:
    return HTTPHeaders({"Authorization": f"Bearer {token}"})


@then('the operator token "{token}" is accepted and "{other}" is refused')
def only_one_token_accepted(context: Context, token: str, other: str) -> None:
    assert context.authenticator.authenticate_operator(_bearer(token)) == "ana"
    try:
        context.authenticator.authenticate_operator(_bearer(other))
    except AccessRefusedError as error:
        assert other not in str(error)
        return
    raise AssertionError("the token was accepted")


@then("a caller may not claim to be another customer")
def other_customer_refused(context: Context) -> None:
    headers = _bearer("t1")
    assert context.authenticator.authenticate_customer(headers, "C") == "c1"
    headers["C"] = "c2"
    try:
        context.authenticator.authenticate_customer(headers, "C")
    except AccessRefusedError:
        return
    raise AssertionError("the other customer was accepted")


def _certificate(name: str) -> tuple[bytes, bytes]:
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    made = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .sign(key, hashes.SHA256())
    )
    return (
        made.public_bytes(serialization.Encoding.PEM),
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        ),
    )


def _put_certificate(context: Context, name: str) -> None:
    certificate, key = _certificate(name)
    _replace(context.folder / "cert.pem", certificate, context)
    _replace(context.folder / "key.pem", key, context)


@given('a TLS port with the certificate "{name}"')
def given_tls(context: Context, name: str) -> None:
    folder = tempfile.TemporaryDirectory()
    context.cleanups.append(folder.cleanup)
    context.folder = pathlib.Path(folder.name)
    _put_certificate(context, name)
    context.tls = TlsContext(
        AccessSection(
            tls_certificate_file=str(context.folder / "cert.pem"),
            tls_key_file=str(context.folder / "key.pem"),
        )
    )
    context.address = find_free_address()
    host, _, port = context.address.rpartition(":")

    async def listen() -> None:
        server = HTTPServer(Application(), ssl_options=context.tls.context)
        server.listen(int(port), host)
        context.cleanups.append(server.stop)

    context.loop.run_until_complete(listen())


@when('the certificate is replaced by "{name}"')
def replace_certificate(context: Context, name: str) -> None:
    _put_certificate(context, name)
    assert context.tls.reload()


@then('a client sees the certificate "{name}"')
def client_sees_certificate(context: Context, name: str) -> None:
    host, _, port = context.address.rpartition(":")
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    client.check_hostname = False
    client.verify_mode = ssl.CERT_NONE

    async def connect() -> bytes:
        _, writer = await asyncio.open_connection(host, int(port), ssl=client)
        found = writer.get_extra_info("ssl_object").getpeercert(True)
        writer.close()
        return found

    found = context.loop.run_until_complete(connect())
    parsed = x509.load_der_x509_certificate(found)
    assert f"CN={name}" in parsed.subject.rfc4514_string()
