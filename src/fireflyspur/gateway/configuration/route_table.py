"""Lookup of routes and client accounts in a configuration."""

import random

from fireflyspur.gateway.configuration import routing_config


class RouteTable:
    """Finds the route and the client account of a request."""

    def __init__(self, config: routing_config.RoutingConfig) -> None:
        self._config = config
        self._hosts: dict[str, dict[str, routing_config.Route]] = {}
        for route in config.routes:
            prefixes = self._hosts.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route
        self._accounts = {
            key: account
            for account in config.accounts
            for key in account.api_keys
        }

    @property
    def config(self) -> routing_config.RoutingConfig:
        """The configuration."""
        return self._config

    def find_route(self, host: str, path: str) -> routing_config.Route | None:
        """Return the route with the longest matching prefix, or None.

        :param host: host of the request, with or without a port, in any case
        :param path: path of the request, without its query
        """
        prefixes = self._hosts.get(host.partition(":")[0].lower())
        if not prefixes:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_account(self, key: str) -> routing_config.ClientAccount | None:
        """Return the client account that an API key belongs to, or None."""
        return self._accounts.get(key)

    def pick_service(self, route: routing_config.Route) -> str:
        """Choose one of a route's services at random, by weight."""
        if len(route.shares) == 1:
            return route.shares[0].service
        names = [share.service for share in route.shares]
        weights = [share.weight for share in route.shares]
        if not any(weights):
            return names[0]
        return random.choices(names, weights)[0]
