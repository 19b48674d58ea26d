"""Selects the route and the service of a forwarded request."""

from heathertack.routing._route_table import RouteMatch, RouteTable, choose_service

__all__ = ["RouteMatch", "RouteTable", "choose_service"]
