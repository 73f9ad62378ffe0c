"""Which route and client account a request gets."""

import testtools

from fireflyspur.gateway import route_table
from fireflyspur.platform import config_codec
from tests.support import gateway_fleet
from tests.support import platform_config


def table(*prefixes, **changes):
    routes = [
        gateway_fleet.route(prefix, "safe", "desk", path_prefix=prefix)
        for prefix in prefixes
    ]
    wanted = gateway_fleet.config(routes=routes, **changes)
    return route_table.RouteTable(
        config_codec.decode(platform_config.encode(wanted))
    )


class RouteTableTest(testtools.TestCase):
    """Guards against requests that go to another route's service."""

    def find(self, found, path, host=gateway_fleet.HOST):
        route = found.find_route(host, path)
        return route and route.prefix

    def test_longest_prefix(self):
        found = table("/a/", "/a/b/", "/")
        self.assertEqual("/a/b/", self.find(found, "/a/b/c/d"))
        self.assertEqual("/a/", self.find(found, "/a/bc"))
        self.assertEqual("/", self.find(found, "/b"))

    def test_prefix_ends_at_a_slash(self):
        found = table("/a/b/")
        self.assertIsNone(self.find(found, "/a/bc"))
        self.assertIsNone(self.find(found, "/a/b"))
        self.assertEqual("/a/b/", self.find(found, "/a/b/"))

    def test_host(self):
        found = table("/a/")
        self.assertIsNone(self.find(found, "/a/", host="other.example"))
        self.assertEqual(
            "/a/", self.find(found, "/a/", host="SHOP.example:80")
        )

    def test_split_follows_weights(self):
        route = gateway_fleet.route("r", "safe", None)
        del route["service"]
        route["traffic_split"] = [
            {"service": "desk", "weight": 0},
            {"service": "models", "weight": 3},
        ]
        wanted = gateway_fleet.config(routes=[route])
        found = route_table.RouteTable(
            config_codec.decode(platform_config.encode(wanted))
        )
        chosen = {
            found.pick_service(found.config.routes[0]) for _ in range(50)
        }
        self.assertEqual({"models"}, chosen)

    def test_account_of_a_key(self):
        found = table("/a/")
        account = found.find_account(gateway_fleet.KEY)
        self.assertEqual(gateway_fleet.ACCOUNT, account.name)
        self.assertIsNone(found.find_account("other"))
