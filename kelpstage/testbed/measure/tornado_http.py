"""HTTP by tornado's server and its curl client: the baseline for measurements of the product's
transport. The product does not use it."""

from __future__ import annotations

import asyncio
from typing import Any, Callable

import pycurl
from tornado import httpserver, httputil, iostream
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError, HTTPRequest

from kelpstage.common.errors.base import KelpstageError
from kelpstage.common.errors.transport import ConnectionLostError
from kelpstage.common.ports.interfaces import HttpCall, HttpReply
from kelpstage.common.transport.address import split_address


class TornadoHttp:
    """The baseline client and server; all failures have one error type."""

    def __init__(self) -> None:
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=1000)

    async def fetch(self, *, call: HttpCall) -> HttpReply | KelpstageError:
        """Send a request by curl on a new connection, with the timeout `wait_us`.

        Every failure of the transport is returned as `ConnectionLostError`.
        """
        request = HTTPRequest(
            call.url,
            method=call.method,
            headers=call.headers,
            body=call.body if call.method in ("POST", "PUT") else None,
            connect_timeout=call.wait_us / 1_000_000,
            request_timeout=call.wait_us / 1_000_000,
            follow_redirects=False,
            decompress_response=False,
            prepare_curl_callback=_disable_connection_reuse,
            allow_nonstandard_methods=True,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except HTTPClientError as error:
            return ConnectionLostError(address=call.url, why=error.message or "")
        return HttpReply(
            status=response.code,
            headers={name.lower(): value for name, value in response.headers.get_all()},
            body=response.body or b"",
        )

    async def serve_http(self, *, address: str, on_call: Callable, body_limit: int) -> Any:
        """Listen with tornado's HTTP server; `body_limit` is in bytes.

        Headers may have up to 32 KiB; a connection is closed after 120 s without a request.
        """
        host, port = split_address(address=address)
        server = httpserver.HTTPServer(
            _Delegate(on_call=on_call),
            max_header_size=32 * 1024,
            max_body_size=body_limit,
            idle_connection_timeout=120,
        )
        server.listen(port, host)
        return server


def _disable_connection_reuse(curl: pycurl.Curl) -> None:
    curl.setopt(pycurl.FRESH_CONNECT, 1)
    curl.setopt(pycurl.FORBID_REUSE, 1)
    curl.setopt(pycurl.NOSIGNAL, 1)


class _Delegate(httputil.HTTPServerConnectionDelegate):
    def __init__(self, *, on_call: Callable) -> None:
        self.on_call = on_call

    def start_request(self, server_conn: object, request_conn: httputil.HTTPConnection) -> Any:
        return _Message(delegate=self, connection=request_conn)


class _Message(httputil.HTTPMessageDelegate):
    def __init__(self, *, delegate: _Delegate, connection: httputil.HTTPConnection) -> None:
        self._delegate = delegate
        self._connection = connection
        self._chunks: list[bytes] = []

    def headers_received(self, start_line: Any, headers: httputil.HTTPHeaders) -> None:
        self._start = start_line
        self._headers = {name.lower(): value for name, value in headers.get_all()}

    def data_received(self, chunk: bytes) -> None:
        self._chunks.append(chunk)

    def finish(self) -> None:
        asyncio.ensure_future(self._send_reply())

    async def _send_reply(self) -> None:
        reply = await self._delegate.on_call(
            HttpCall(
                method=self._start.method,
                url=self._start.path,
                headers=self._headers,
                body=b"".join(self._chunks),
            )
        )
        headers = httputil.HTTPHeaders(reply.headers)
        headers["Content-Length"] = str(len(reply.body))
        start = httputil.ResponseStartLine(
            "HTTP/1.1", reply.status, httputil.responses.get(reply.status, "Unknown")
        )
        try:
            self._connection.write_headers(start, headers, reply.body)
            self._connection.finish()
        except (iostream.StreamClosedError, httputil.HTTPOutputError):
            return
