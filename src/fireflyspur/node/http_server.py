"""The node's HTTP interfaces."""

from tornado import httpserver
from tornado import netutil
from tornado import web

from fireflyspur.node import context
from fireflyspur.node.handlers import admin
from fireflyspur.node.handlers import base
from fireflyspur.node.handlers import completions
from fireflyspur.node.handlers import health
from fireflyspur.node.handlers import json_error_handler
from fireflyspur.node.handlers import models
from fireflyspur.node.handlers import services

# Handlers check the size of headers and bodies themselves, to respond with
# JSON errors. Tornado closes the connection without a response if the headers
# exceed this limit.
_SERVER_MAX_HEADER_BYTES = 2**20
_SERVER_MAX_BODY_BYTES = 2**40


def caller_application(node: context.NodeContext) -> web.Application:
    """Return the application for callers and the balancer."""
    arguments = {"node": node}
    return web.Application(
        [
            ("/v1/completions", completions.CompletionsHandler, arguments),
            (
                "/v1/chat/completions",
                completions.ChatCompletionsHandler,
                arguments,
            ),
            ("/v1/models", models.ModelsHandler, arguments),
            (
                r"/services/([\w.-]+)(?:/.*)?",
                services.ServicesHandler,
                arguments,
            ),
            ("/healthz", health.HealthHandler),
            ("/readyz", health.ReadyHandler, arguments),
        ],
        default_handler_class=base.UnknownPathHandler,
        default_handler_args=arguments,
        log_function=lambda handler: None,
    )


def admin_application(node: context.NodeContext) -> web.Application:
    """Return the application for operators."""
    arguments = {"node": node}
    return web.Application(
        [
            ("/admin/view", admin.ViewHandler, arguments),
            ("/admin/audit", admin.AuditHandler, arguments),
        ],
        default_handler_class=json_error_handler.UnknownAdminPathHandler,
        log_function=lambda handler: None,
    )


def listen(
    application: web.Application,
    address: str,
    port: int,
    max_header_bytes: int = _SERVER_MAX_HEADER_BYTES,
) -> tuple[httpserver.HTTPServer, int]:
    """Serve an application.

    :param port: port to listen on, 0 for a free one
    :returns: the server and the port it listens on
    """
    sockets = netutil.bind_sockets(port, address)
    server = httpserver.HTTPServer(
        application,
        max_body_size=_SERVER_MAX_BODY_BYTES,
        max_header_size=max_header_bytes,
    )
    server.add_sockets(sockets)
    return server, sockets[0].getsockname()[1]
