"""Decoding of configurations, endpoint entries and headers."""

import json

import testtools

from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.common import messages
from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.platform import config_codec
from fireflyspur.platform import endpoint_codec
from fireflyspur.platform import header_codec
from tests.support import gateway_fleet
from tests.support import platform_config

_ENTRY = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "zone-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 4,
    "born": 17,
    "new_field": [],
}


class EndpointCodecTest(testtools.TestCase):
    """Guards against requests to endpoints without a valid entry."""

    def decode(self, **changes):
        entry = {**_ENTRY, **changes}
        entry = {k: v for k, v in entry.items() if v is not None}
        return endpoint_codec.decode("i-1", json.dumps(entry).encode())

    def test_valid_entry(self):
        endpoint = self.decode()
        self.assertEqual("10.0.0.1:80", str(endpoint.address))
        self.assertIs(endpoints.EndpointState.READY, endpoint.state)
        self.assertIs(
            endpoints.EndpointState.LEAVING,
            self.decode(state="draining").state,
        )

    def test_time_for_which_it_is_cold(self):
        for wire, expected in (
            (None, 0),
            (0, 0),
            (-5, 0),
            (1_500.4, 1_500),
            (1e300, 2**32 - 1),
        ):
            endpoint = self.decode(cold_remaining_ms=wire)
            self.assertEqual(expected, endpoint.cold_ms)

    def test_invalid_entries(self):
        for changes in (
            {"state": "sleeping"},
            {"state": None},
            {"address": "10.0.0.1"},
            {"address": 7},
            {"address": "10.0.0.1:99999"},
            {"service": None},
            {"slots": "eight"},
            {"slots": 0},
            {"slots": -3},
            {"slots": 2**62},
            {"slots": 10**400},
            {"sequence": -5},
            {"sequence": 2**63},
            {"born": -1},
            {"born": 2**64},
            {"born": 1e400},
            {"address": "999.1.1.1:80"},
            {"address": "host:80"},
            {"address": "::1:80"},
            {"address": "10.0.0.1:" + "9" * 5_000},
            {"address": "10.0.0.1:0"},
            {"address": "10.0.0.1:-1"},
            {"service": ""},
            {"service": "x" * 100_000},
            {"service": "\ud800"},
            {"zone": "x" * 100_000},
        ):
            self.assertRaises(
                exceptions.RecordInvalidError, self.decode, **changes
            )
        for value in (b"", b"\xff\xfe", b"[]", b'"text"', b"{"):
            self.assertRaises(
                exceptions.RecordInvalidError,
                endpoint_codec.decode,
                "i-1",
                value,
            )


class ConfigCodecTest(testtools.TestCase):
    """Guards against configurations that are only partly understood."""

    def decode(self, config):
        return config_codec.decode(platform_config.encode(config))

    def test_kind_of_route_determines_repeatability(self):
        config = self.decode(gateway_fleet.config())
        may_repeat = {r.name: r.may_repeat for r in config.routes}
        self.assertEqual(
            {
                "safe": True,
                "unsafe": False,
                "chat": True,
                "once": False,
                "open": True,
            },
            may_repeat,
        )

    def test_no_key_is_needed_without_accounts(self):
        config = gateway_fleet.config()
        del config["tenants"]
        self.assertFalse(self.decode(config).requires_api_key)

    def test_limits_of_cold_endpoints(self):
        for fields, expected in (
            ({}, None),
            ({"cold_start_s": 3.0}, None),
            ({"cold_start_s": 3.0, "cold_per_s": 0}, None),
            (
                {"cold_start_s": 3.0, "cold_per_s": 14},
                routing_config.ColdSpec(3.0, 14.0),
            ),
            ({"cold_per_s": 14}, routing_config.ColdSpec(0.0, 14.0)),
        ):
            config = gateway_fleet.config()
            config["services"][0] = {"name": "desk", **fields}
            service = self.decode(config).services["desk"]
            self.assertEqual(expected, service.cold)

    def test_invalid_configurations(self):
        for change in (
            {"version": "seven"},
            {"routes": {}},
            {"routes": [{"name": "r"}]},
            {"routes": [gateway_fleet.route("r", "sometimes", "desk")]},
            {"limits": None},
        ):
            self.assertRaises(
                exceptions.RecordInvalidError,
                self.decode,
                {**gateway_fleet.config(), **change},
            )

    def test_unknown_kind_is_rejected(self):
        self.assertRaises(ValueError, routing_config.RouteKind, "keyed")


class HeaderCodecTest(testtools.TestCase):
    """Guards against failures caused by invalid values from callers."""

    def decode(self, *headers):
        return header_codec.HeaderCodec().decode_request(list(headers))

    def test_invalid_numbers_count_as_missing(self):
        info = self.decode(
            (b"X-Fireflyspur-Deadline-Ms", b"soon"),
            (b"X-Fireflyspur-Token-Count", b"many,-3"),
        )
        self.assertIsNone(info.timeout_s)
        self.assertEqual(0, info.prompt_tokens)
        self.assertEqual(0, info.max_output_tokens)

    def test_rate_limit_is_a_plain_decimal(self):
        for value, rate in ((b"2", 2.0), (b"0.5", 0.5), (b"0", 0.0)):
            info = self.decode_limit(value)
            self.assertEqual((rate, False), info)
        for value in (b"-1", b"nan", b"inf", b"9" * 400, b"", b"1e3", b"+2"):
            self.assertEqual((None, True), self.decode_limit(value))
        self.assertEqual((None, True), self.decode_limit(b"2", b"2"))
        self.assertEqual((None, False), self.decode_limit())

    def decode_limit(self, *values):
        headers = [(b"Server-Limit", value) for value in values]
        info = header_codec.HeaderCodec().decode_response(
            messages.ResponseHead(200, headers)
        )
        return info.notice.rate_limit, info.notice.is_rate_limit_invalid

    def test_last_part_of_a_prompt_is_its_own(self):
        info = self.decode(
            (b"X-Fireflyspur-Prompt-Prefix", b"5c1e:800, 91bd:410,e440:250")
        )
        self.assertEqual(("5c1e", "91bd"), info.shared_parts)

    def test_invalid_prompt_prefixes_name_no_parts(self):
        for value in (b"", b",,,", b":,:", b"5c1e:800", b"\xff\xfe"):
            info = self.decode((b"X-Fireflyspur-Prompt-Prefix", value))
            self.assertEqual((), info.shared_parts)

    def test_parts_of_a_prompt_are_bounded(self):
        value = b",".join(b"%x:1" % n for n in range(500))
        info = self.decode((b"X-Fireflyspur-Prompt-Prefix", value))
        self.assertEqual(32, len(info.shared_parts))

    def test_other_authorization_scheme_is_ignored(self):
        info = self.decode((b"Authorization", b"Bearer abc"))
        self.assertIsNone(info.api_key)
        info = self.decode((b"authorization", b"Token abc"))
        self.assertEqual("abc", info.api_key)
