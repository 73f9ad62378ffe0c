"""Guards against bad input that leaks memory or gets no clear error."""

import json

from tests.support import polling
from tests.support import records
from tests.support import single_node

VALID_BODY = {"model": "quill", "prompt": "How much?", "max_tokens": 2}
REQUEST_HEAD = (
    "POST /v1/completions HTTP/1.1\r\nHost: node\r\n"
    f"Authorization: Bearer {records.KEY}\r\n"
)


class TestBadInput(single_node.SingleNodeTest):
    def tearDown(self):
        # Bad input must not leak a reservation or break the next request.
        self.wait_idle()
        self.assertEqual(200, self.request(VALID_BODY)[0])
        super().tearDown()

    def check_error(self, status, code, **arguments):
        actual_status, headers, body = self.request(**arguments)
        self.assertEqual(
            (status, code), (actual_status, body["error"]["code"])
        )
        self.assertEqual("not_run", body["error"]["verdict"])
        self.assertTrue(body["error"]["message"])
        self.assertEqual(headers["X-Request-Id"], body["error"]["request_id"])
        return headers, body["error"]["message"]

    def test_missing_and_wrong_key(self):
        self.check_error(
            401, "invalid_api_key", body=VALID_BODY, Authorization=""
        )
        self.check_error(
            401, "invalid_api_key", body=VALID_BODY, Authorization="Basic x"
        )
        self.check_error(
            401, "invalid_api_key", body=VALID_BODY, Authorization="Bearer x"
        )

    def test_a_refusal_without_a_body_keeps_the_connection(self):
        # Closing the connection unannounced would break the caller's next
        # request.
        request = b"GET /v1/models HTTP/1.1\r\nHost: node\r\n"
        key = f"Authorization: Bearer {records.KEY}\r\n".encode()
        with self.connect() as connection:
            reader = connection.makefile("rb")
            for header, status in ((b"", b" 401 "), (key, b" 200 ")):
                connection.sendall(request + header + b"\r\n")
                self.assertIn(status, reader.readline())
                length = 0
                while (line := reader.readline()) != b"\r\n":
                    if line.lower().startswith(b"content-length:"):
                        length = int(line.split(b":")[1])
                reader.read(length)

    def test_an_unknown_method_announces_the_close(self):
        headers, _ = self.check_error(405, "method_not_allowed", method="BREW")
        self.assertEqual("close", headers["Connection"])

    def test_unknown_model(self):
        self.check_error(
            404, "model_not_found", body={**VALID_BODY, "model": "none"}
        )

    def test_unknown_path_and_method(self):
        self.check_error(404, "not_found", path="/v2/none", body=VALID_BODY)
        headers, _ = self.check_error(405, "method_not_allowed", method="PUT")
        self.assertEqual("POST", headers["Allow"])
        self.check_error(405, "method_not_allowed", method="BREW")
        self.check_error(
            405, "method_not_allowed", path="/v1/models", body=VALID_BODY
        )
        self.check_error(405, "method_not_allowed", path="/healthz", body=b"")

    def test_bodies_that_are_not_valid(self):
        deep = b'{"model": "quill", "prompt": ' + b"[" * 90_000
        for body in (
            b"",
            b"{",
            b"[]",
            b"\xff\xfe",
            deep,
            b'{"prompt": "\\ud800", "model": "quill"}',
            {"model": "quill"},
            {**VALID_BODY, "model": 7},
            {**VALID_BODY, "prompt": {"text": "x"}},
            {**VALID_BODY, "prompt": ""},
            {**VALID_BODY, "prompt": ["a", "b"]},
            {**VALID_BODY, "max_tokens": "many"},
            {**VALID_BODY, "max_tokens": 10**30},
            {**VALID_BODY, "stream": "yes"},
        ):
            self.check_error(400, "invalid_request", body=body)

    def test_limits_that_are_not_positive(self):
        for value in (0, -1):
            self.check_error(
                400,
                "invalid_request",
                body={**VALID_BODY, "max_tokens": value},
            )
        for value in ("0", "-1", "nan", "inf", "soon"):
            _, message = self.check_error(
                400, "invalid_request", body=VALID_BODY, Request_Timeout=value
            )
            self.assertIn("Request-Timeout", message)

    def test_body_over_the_limit_with_a_declared_length(self):
        self.check_error(413, "body_too_large", body=b"x" * 4_000_000)

    def test_body_over_the_limit_without_a_declared_length(self):
        chunks = [b"x" * 100_000] * 40
        self.check_error(413, "body_too_large", body=iter(chunks))

    def test_headers_over_the_limit(self):
        self.check_error(
            431, "headers_too_large", body=VALID_BODY, X_Long="x" * 100_000
        )

    def test_headers_over_the_server_limit_end_the_connection(self):
        with self.connect() as connection:
            try:
                connection.sendall(b"GET / HTTP/1.1\r\nX: " + b"x" * 3_000_000)
                self.assertEqual(b"", connection.recv(100))
            except ConnectionError:
                pass

    def test_connection_lost_while_the_body_is_read(self):
        for framing in (
            "Content-Length: 100000\r\n\r\n{",
            "Transfer-Encoding: chunked\r\n\r\n4\r\n{{{{\r\n",
        ):
            with self.connect() as connection:
                connection.sendall((REQUEST_HEAD + framing).encode())
                polling.wait_until(
                    lambda: self.view()["body_bytes_held"] > 0,
                    "the node reads the body",
                )
            self.wait_idle()

    def test_a_stalled_body_ends_at_the_timeout(self):
        with self.connect() as connection:
            connection.sendall(
                f"{REQUEST_HEAD}Request-Timeout: 0.2\r\n"
                "Content-Length: 1000\r\n\r\n{".encode()
            )
            response = connection.makefile("rb").read().decode()
        head, _, body = response.partition("\r\n\r\n")
        self.assertIn(" 408 ", head)
        self.assertEqual("body_timeout", json.loads(body)["error"]["code"])


class TestBodyBudget(single_node.SingleNodeTest):
    settings = {
        "limits": {"max_body_bytes": 8_000, "buffered_body_bytes": 10_000}
    }

    def test_a_full_budget_returns_503_with_retry_after(self):
        with self.connect() as connection:
            connection.sendall(
                f"{REQUEST_HEAD}Content-Length: 8000\r\n\r\n{{".encode()
            )
            polling.wait_until(
                lambda: self.view()["body_bytes_held"] == 8_000,
                "the node reads the body",
            )
            status, headers, body = self.request(b"x" * 4_000)
        self.assertEqual(503, status)
        self.assertEqual("node_busy", body["error"]["code"])
        self.assertEqual("1", headers["Retry-After"])
        self.wait_idle()
