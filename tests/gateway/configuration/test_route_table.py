"""Lookup of the route and the client account of a request."""

import testtools

from fireflyspur.gateway.configuration import route_table
from fireflyspur.platform import config_codec
from tests.support import gateway_fleet
from tests.support import platform_config


def make_table(*prefixes, **changes):
    routes = [
        gateway_fleet.route(prefix, "safe", "desk", path_prefix=prefix)
        for prefix in prefixes
    ]
    config = gateway_fleet.config(routes=routes, **changes)
    return route_table.RouteTable(
        config_codec.decode(platform_config.encode(config))
    )


class RouteTableTest(testtools.TestCase):
    """Guards against requests that are sent to another route's service."""

    def find(self, table, path, host=gateway_fleet.HOST):
        route = table.find_route(host, path)
        return route and route.prefix

    def test_longest_prefix(self):
        table = make_table("/a/", "/a/b/", "/")
        self.assertEqual("/a/b/", self.find(table, "/a/b/c/d"))
        self.assertEqual("/a/", self.find(table, "/a/bc"))
        self.assertEqual("/", self.find(table, "/b"))

    def test_prefix_ends_at_a_slash(self):
        table = make_table("/a/b/")
        self.assertIsNone(self.find(table, "/a/bc"))
        self.assertIsNone(self.find(table, "/a/b"))
        self.assertEqual("/a/b/", self.find(table, "/a/b/"))

    def test_host(self):
        table = make_table("/a/")
        self.assertIsNone(self.find(table, "/a/", host="other.example"))
        self.assertEqual(
            "/a/", self.find(table, "/a/", host="SHOP.example:80")
        )

    def test_services_are_picked_by_weight(self):
        route = gateway_fleet.route("r", "safe", None)
        del route["service"]
        route["traffic_split"] = [
            {"service": "desk", "weight": 0},
            {"service": "models", "weight": 3},
        ]
        config = gateway_fleet.config(routes=[route])
        table = route_table.RouteTable(
            config_codec.decode(platform_config.encode(config))
        )
        chosen = {
            table.pick_service(table.config.routes[0]) for _ in range(50)
        }
        self.assertEqual({"models"}, chosen)

    def test_account_is_found_by_api_key(self):
        table = make_table("/a/")
        account = table.find_account(gateway_fleet.KEY)
        self.assertEqual(gateway_fleet.ACCOUNT, account.name)
        self.assertIsNone(table.find_account("other"))
